/*
 * Implementation of the fault-injecting relay with Boost.Asio.
 */
#include "standins/Relay.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <limits>
#include <set>
#include <vector>

namespace magnoliaspan::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

} // namespace

class Relay::Impl : public std::enable_shared_from_this<Relay::Impl>
{
public:
    class Pair;

    Impl(EventLoop &loop, const Endpoint &listen, Endpoint upstream)
        : context(loop.context())
        , acceptor(context)
        , listen(asio::ip::make_address(listen.address), listen.port)
        , upstream(std::move(upstream))
    {
    }

    void open();
    void accept();
    void resetPairs();

    asio::io_context &context;
    tcp::acceptor acceptor;
    tcp::endpoint listen;
    Endpoint upstream;
    std::set<std::shared_ptr<Pair>> pairs;
    bool cut = false;
    Duration delay{};
    std::size_t nextRequestBytes = unlimited;
    std::size_t nextReplyBytes = unlimited;
};

/// One relayed connection: a socket to the client and one to the upstream server.
class Relay::Impl::Pair : public std::enable_shared_from_this<Pair>
{
public:
    Pair(std::shared_ptr<Impl> relay, tcp::socket client)
        : relay_(std::move(relay))
        , client_(std::move(client))
        , server_(relay_->context)
        , requestBytes_(relay_->nextRequestBytes)
        , replyBytes_(relay_->nextReplyBytes)
    {
        relay_->nextRequestBytes = unlimited;
        relay_->nextReplyBytes = unlimited;
    }

    void start()
    {
        const tcp::endpoint address(asio::ip::make_address(relay_->upstream.address), relay_->upstream.port);
        server_.async_connect(address, [self = shared_from_this()](boost::system::error_code error) {
            if (error) {
                self->close();
                return;
            }
            boost::system::error_code ignored;
            self->client_.set_option(tcp::no_delay(true), ignored);
            self->server_.set_option(tcp::no_delay(true), ignored);
            self->relayBytes(self->client_, self->server_, self->requestBytes_, self->requestBuffer_);
            self->relayBytes(self->server_, self->client_, self->replyBytes_, self->replyBuffer_);
        });
    }

    void silence()
    {
        silent_ = true;
    }

    void close()
    {
        const auto self = shared_from_this();
        relay_->pairs.erase(self);
        boost::system::error_code ignored;
        // A linger time of zero makes close() send a reset, as the kernel does for a crashed process.
        client_.set_option(asio::socket_base::linger(true, 0), ignored);
        client_.close(ignored);
        server_.close(ignored);
    }

private:
    using Buffer = std::vector<char>;

    void relayBytes(tcp::socket &from, tcp::socket &to, std::size_t &budget, Buffer &buffer)
    {
        constexpr std::size_t chunk = 16'384;
        buffer.resize(chunk);
        from.async_read_some(asio::buffer(buffer),
                             [self = shared_from_this(), &from, &to, &budget, &buffer](boost::system::error_code error, std::size_t size) {
                                 if (self->silent_ || self->relay_->cut) {
                                     return;
                                 }
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 self->forward(from, to, budget, buffer, size);
                             });
    }

    void forward(tcp::socket &from, tcp::socket &to, std::size_t &budget, Buffer &buffer, std::size_t size)
    {
        const std::size_t forwardedBytes = std::min(size, budget);
        const bool closesAfterWrite = forwardedBytes < size || (budget != unlimited && forwardedBytes == budget);
        budget -= budget == unlimited ? 0 : forwardedBytes;
        const auto timer = std::make_shared<asio::steady_timer>(relay_->context, relay_->delay);
        timer->async_wait(
            [self = shared_from_this(), timer, &from, &to, &budget, &buffer, forwardedBytes, closesAfterWrite](boost::system::error_code) {
                asio::async_write(to,
                                  asio::buffer(buffer.data(), forwardedBytes),
                                  [self, &from, &to, &budget, &buffer, closesAfterWrite](boost::system::error_code error, std::size_t) {
                                      if (error || closesAfterWrite) {
                                          self->close();
                                          return;
                                      }
                                      self->relayBytes(from, to, budget, buffer);
                                  });
            });
    }

    std::shared_ptr<Impl> relay_;
    tcp::socket client_;
    tcp::socket server_;
    std::size_t requestBytes_;
    std::size_t replyBytes_;
    Buffer requestBuffer_;
    Buffer replyBuffer_;
    bool silent_ = false;
};

void Relay::Impl::open()
{
    acceptor.open(listen.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(listen);
    acceptor.listen();
    accept();
}

void Relay::Impl::accept()
{
    acceptor.async_accept([weak = weak_from_this()](boost::system::error_code error, tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || error) {
            return;
        }
        const auto pair = std::make_shared<Pair>(self, std::move(socket));
        self->pairs.insert(pair);
        if (!self->cut) {
            pair->start();
        }
        self->accept();
    });
}

void Relay::Impl::resetPairs()
{
    const auto openPairs = pairs;
    for (const auto &pair : openPairs) {
        pair->close();
    }
}

Relay::Relay(EventLoop &loop, const Endpoint &listen, const Endpoint &upstream)
    : impl_(std::make_shared<Impl>(loop, listen, upstream))
{
    impl_->open();
}

Relay::~Relay()
{
    boost::system::error_code ignored;
    impl_->acceptor.close(ignored);
    impl_->resetPairs();
}

bool Relay::set(const std::string &condition, Duration addedDelay)
{
    if (condition == "heal") {
        impl_->cut = false;
        impl_->delay = Duration::zero();
        if (!impl_->acceptor.is_open()) {
            impl_->open();
        }
    } else if (condition == "cut") {
        impl_->cut = true;
    } else if (condition == "refuse") {
        boost::system::error_code ignored;
        impl_->acceptor.close(ignored);
        impl_->resetPairs();
    } else if (condition == "silence") {
        for (const auto &pair : impl_->pairs) {
            pair->silence();
        }
    } else if (condition == "delay") {
        impl_->delay = addedDelay;
    } else {
        return false;
    }
    return true;
}

void Relay::breakAfterRequestBytes(std::size_t bytes)
{
    impl_->nextRequestBytes = bytes;
}

void Relay::breakAfterReplyBytes(std::size_t bytes)
{
    impl_->nextReplyBytes = bytes;
}

} // namespace magnoliaspan::testing
