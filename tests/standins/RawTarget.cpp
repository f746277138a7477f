/*
 * Implementation of the target with prepared responses with Boost.Asio.
 */
#include "standins/RawTarget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <set>

namespace magnoliaspan::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

std::string idOf(const std::string &request)
{
    constexpr std::string_view field = "\r\nX-Magnoliaspan-Request-Id: ";
    const auto at = request.find(field);
    if (at == std::string::npos) {
        return "";
    }
    const auto start = at + field.size();
    return request.substr(start, request.find("\r\n", start) - start);
}

std::string withId(std::string response, const std::string &id)
{
    for (auto at = response.find(RawTarget::idMark); at != std::string::npos; at = response.find(RawTarget::idMark, at + id.size())) {
        response.replace(at, RawTarget::idMark.size(), id);
    }
    return response;
}

} // namespace

class RawTarget::Impl : public std::enable_shared_from_this<RawTarget::Impl>
{
public:
    struct Session {
        explicit Session(tcp::socket accepted)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
        {
        }

        tcp::socket socket;
        asio::steady_timer timer;
        std::string received;
        std::string response;
        unsigned lastSetting = 0; // Of its last response; zero before that.
    };
    using SessionPtr = std::shared_ptr<Session>;

    Impl(EventLoop &loop, std::string response)
        : acceptor(loop.context(), tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , response(std::move(response))
    {
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
            if (error) {
                return;
            }
            socket.set_option(tcp::no_delay(true));
            const auto session = std::make_shared<Session>(std::move(socket));
            self->sessions.insert(session);
            self->read(session);
            self->accept();
        });
    }

    void read(const SessionPtr &session)
    {
        asio::async_read_until(session->socket,
                               asio::dynamic_buffer(session->received),
                               "\r\n\r\n",
                               [self = shared_from_this(), session](boost::system::error_code error, std::size_t size) {
                                   if (error) {
                                       self->sessions.erase(session);
                                       return;
                                   }
                                   ++self->requests;
                                   self->requestsOnOldConnections
                                       += session->lastSetting != 0 && session->lastSetting != self->setting ? 1 : 0;
                                   session->lastSetting = self->setting;
                                   session->response = withId(self->response, idOf(session->received.substr(0, size)));
                                   session->received.erase(0, size);
                                   self->respond(session);
                               });
    }

    void respond(const SessionPtr &session)
    {
        session->timer.expires_after(delay);
        session->timer.async_wait([self = shared_from_this(), session](boost::system::error_code) {
            asio::async_write(
                session->socket, asio::buffer(session->response), [self, session](boost::system::error_code error, std::size_t) {
                    if (error || self->closing) {
                        self->sessions.erase(session);
                        return;
                    }
                    self->read(session);
                });
        });
    }

    tcp::acceptor acceptor;
    std::string response;
    Duration delay{};
    bool closing = false;
    unsigned requests = 0;
    unsigned requestsOnOldConnections = 0;
    unsigned setting = 1; // Counts the responses set.
    std::set<SessionPtr> sessions;
};

RawTarget::RawTarget(EventLoop &loop, std::string response)
    : impl_(std::make_shared<Impl>(loop, std::move(response)))
{
    impl_->accept();
}

RawTarget::~RawTarget()
{
    boost::system::error_code ignored;
    impl_->acceptor.close(ignored);
    for (const auto &session : impl_->sessions) {
        session->timer.cancel();
        session->socket.close(ignored);
    }
}

void RawTarget::setResponse(std::string response)
{
    impl_->response = std::move(response);
    ++impl_->setting;
}

void RawTarget::setDelay(Duration delay)
{
    impl_->delay = delay;
}

void RawTarget::closeAfterResponses()
{
    impl_->closing = true;
}

Endpoint RawTarget::endpoint() const
{
    return {"127.0.0.1", impl_->acceptor.local_endpoint().port()};
}

unsigned RawTarget::requests() const
{
    return impl_->requests;
}

unsigned RawTarget::requestsOnOldConnections() const
{
    return impl_->requestsOnOldConnections;
}

std::size_t RawTarget::connections() const
{
    return impl_->sessions.size();
}

} // namespace magnoliaspan::testing
