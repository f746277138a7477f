/*
 * Implements the UDP socket with Boost.Asio.
 */
#include "net/UdpPort.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace magnoliaspan {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

// Largest UDP payload over IPv4, in bytes.
constexpr std::size_t maxDatagram = 65'507;

} // namespace

class UdpPort::Impl : public std::enable_shared_from_this<UdpPort::Impl>
{
public:
    explicit Impl(asio::io_context &context)
        : socket(context)
    {
    }

    void receive()
    {
        socket.async_receive_from(
            asio::buffer(buffer), sender, [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                if (error == asio::error::operation_aborted) {
                    return;
                }
                // Errors refer to earlier datagrams, sent to ports on which nothing listens; receiving continues.
                if (!error && self->handler) {
                    self->handler(std::string_view(self->buffer.data(), size));
                }
                self->receive();
            });
    }

    udp::socket socket;
    udp::endpoint sender;
    std::array<char, maxDatagram> buffer{};
    Handler handler;
    std::uint64_t sendFailures = 0;
};

UdpPort::UdpPort(EventLoop &loop)
    : impl_(std::make_shared<Impl>(loop.context()))
{
}

UdpPort::~UdpPort()
{
    boost::system::error_code ignored;
    impl_->socket.close(ignored);
    impl_->handler = nullptr;
}

std::error_code UdpPort::listen(const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address_v4(endpoint.address, error);
    if (!error) {
        impl_->socket.open(udp::v4(), error);
    }
    if (!error) {
        impl_->socket.bind({address, endpoint.port}, error);
    }
    if (!error) {
        impl_->socket.non_blocking(true, error);
    }
    if (!error) {
        impl_->receive();
    }
    return error;
}

void UdpPort::send(const Endpoint &to, std::string_view datagram)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address_v4(to.address, error);
    if (!error) {
        impl_->socket.send_to(asio::buffer(datagram.data(), datagram.size()), {address, to.port}, 0, error);
    }
    impl_->sendFailures += error ? 1 : 0;
}

void UdpPort::setDatagramHandler(Handler handler)
{
    impl_->handler = std::move(handler);
}

std::uint64_t UdpPort::sendFailures() const
{
    return impl_->sendFailures;
}

} // namespace magnoliaspan
