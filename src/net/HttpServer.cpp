/*
 * Implements the HTTP server with Boost.Beast.
 */
#include "net/HttpServer.h"

#include "net/internal/ReceivedBody.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <optional>
#include <set>
#include <sys/socket.h>

namespace magnoliaspan {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr int listenBacklog = 1'024;
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);
constexpr std::size_t maxUnparsedBytes = 65'536;
// The parser throws for a longer field, with its name or value.
constexpr std::size_t maxFieldBytes = 65'533;

std::string headerValue(const http::request<internal::ReceivedBody> &request, std::string_view name)
{
    const auto value = request[boost::beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

ServiceRequest toServiceRequest(http::request<internal::ReceivedBody> &&request)
{
    ServiceRequest result;
    result.method = std::string(request.method_string());
    result.target = std::string(request.target());
    result.contentType = headerValue(request, "Content-Type");
    result.requestId = headerValue(request, "X-Request-Id");
    result.idempotencyKey = headerValue(request, "Idempotency-Key");
    result.authorization = headerValue(request, "X-Peer-Authorization");
    for (const auto &header : request.base()) {
        result.headers.push_back({std::string(header.name_string()), std::string(header.value())});
    }
    result.body = std::move(request.body());
    return result;
}

ServiceReply malformedRequestReply(boost::system::error_code error)
{
    unsigned status = 400;
    if (error == http::error::body_limit) {
        status = 413;
    } else if (error == http::error::header_limit) {
        status = 431;
    }
    ServiceReply reply;
    reply.status = status;
    reply.contentType = "application/problem+json";
    reply.body = fmt::format(
        R"({{"type":"urn:magnoliaspan:malformed_http","title":"malformed_http","status":{},"detail":"{}","verdict":"not_run"}})",
        status,
        error.message());
    reply.close = true;
    return reply;
}

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
public:
    class Session;

    Impl(EventLoop &loop, Service &service, const HttpServerLimits &limits)
        : context(loop.context())
        , service(service)
        , limits(limits)
        , acceptor(context)
        , acceptTimer(context)
    {
    }

    std::error_code listen(const Endpoint &endpoint)
    {
        const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
        boost::system::error_code error;
        acceptor.open(address.protocol(), error);
        if (!error) {
            acceptor.set_option(asio::socket_base::reuse_address(true), error);
        }
        if (!error) {
            acceptor.bind(address, error);
        }
        if (!error) {
            acceptor.listen(listenBacklog, error);
        }
        if (!error) {
            accept();
        }
        return error;
    }

    void accept();

    asio::io_context &context;
    Service &service;
    HttpServerLimits limits;
    tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    std::set<std::shared_ptr<Session>> sessions;
    bool closeAnnounced = false; // Whether each connection closes after its next response.
};

/// Accepted connection; handles one request at a time.
class HttpServer::Impl::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<Impl> server, tcp::socket socket)
        : server_(std::move(server))
        , socket_(std::move(socket))
        , timer_(socket_.get_executor())
    {
    }

    void waitForRequest()
    {
        if (buffer_.size() > 0) {
            readRequest();
            return;
        }
        idle_ = true;
        idleSince_ = std::chrono::steady_clock::now();
        startIdleTimer();
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
            self->idle_ = false;
            if (error) {
                self->close();
                return;
            }
            self->readRequest();
        });
    }

    bool isIdle() const
    {
        return idle_;
    }

    void close()
    {
        if (closed_) {
            return;
        }
        closed_ = true;
        timer_.cancel();
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
        const auto self = shared_from_this();
        server_->sessions.erase(self);
        if (cancel_) {
            const auto cancel = std::move(cancel_);
            cancel_ = nullptr;
            cancel();
        }
    }

private:
    void closeAfter(Duration duration)
    {
        timer_.expires_after(duration);
        timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (!error && self) {
                self->close();
            }
        });
    }

    // Checks the time-out again when it expires: setLimits() may have raised it while the connection was idle.
    void startIdleTimer()
    {
        const auto end = idleSince_ + server_->limits.idleTimeout;
        timer_.expires_at(end);
        timer_.async_wait([weak = weak_from_this(), end](boost::system::error_code error) {
            const auto self = weak.lock();
            if (error || !self || !self->idle_) {
                return;
            }
            if (self->idleSince_ + self->server_->limits.idleTimeout > end) {
                self->startIdleTimer();
                return;
            }
            self->close();
        });
    }

    void readRequest()
    {
        closeAfter(server_->limits.requestTimeout);
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(std::min(maxFieldBytes, server_->limits.maxHeaderBytes)));
        parser_->body_limit(server_->limits.maxBodyBytes);
        // The parser waits for the end of chunk extensions and trailers in the buffer; its limits don't cover these.
        buffer_.max_size(std::max(maxUnparsedBytes, server_->limits.maxHeaderBytes));
        http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            self->onRequestRead(error);
        });
    }

    void onRequestRead(boost::system::error_code error)
    {
        if (closed_) {
            return;
        }
        timer_.cancel();
        const bool disconnected = error == http::error::end_of_stream || error == http::error::partial_message
                                  || error.category() == boost::system::system_category()
                                  || error.category() == asio::error::get_misc_category();
        if (error && disconnected) {
            close();
            return;
        }
        if (error) {
            write(malformedRequestReply(error));
            return;
        }
        keepAlive_ = parser_->get().keep_alive();
        const std::uint64_t number = ++requestNumber_;
        replyPending_ = true;
        watchForDisconnect(number);
        auto cancel = server_->service.handle(toServiceRequest(parser_->release()), [weak = weak_from_this(), number](ServiceReply reply) {
            const auto self = weak.lock();
            if (self && self->requestNumber_ == number && self->replyPending_) {
                self->write(std::move(reply));
            }
        });
        if (replyPending_ && !closed_) {
            cancel_ = std::move(cancel);
        } else if (closed_ && cancel) {
            cancel();
        }
    }

    // Detects that the requester has closed the connection. Pipelined requests stay in the socket until the response is sent.
    void watchForDisconnect(std::uint64_t number)
    {
        socket_.async_wait(tcp::socket::wait_read, [weak = weak_from_this(), number](boost::system::error_code error) {
            const auto self = weak.lock();
            if (!self || self->closed_ || !self->replyPending_ || self->requestNumber_ != number) {
                return;
            }
            char byte = 0;
            const auto received = ::recv(self->socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (error || received == 0) {
                self->close();
            }
        });
    }

    void write(ServiceReply reply)
    {
        replyPending_ = false;
        cancel_ = nullptr;
        const bool close = reply.close || !keepAlive_ || server_->closeAnnounced;
        response_ = {};
        response_.version(11);
        response_.result(reply.status);
        for (const WireHeader &header : reply.headers) {
            response_.insert(header.name, header.value);
        }
        if (!reply.contentType.empty()) {
            response_.set(http::field::content_type, reply.contentType);
        }
        response_.keep_alive(!close);
        response_.body() = std::move(reply.body);
        response_.prepare_payload();
        closeAfter(server_->limits.requestTimeout);
        http::async_write(socket_, response_, [self = shared_from_this(), close](boost::system::error_code error, std::size_t) {
            if (error || close) {
                self->close();
                return;
            }
            self->timer_.cancel();
            self->waitForRequest();
        });
    }

    std::shared_ptr<Impl> server_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<internal::ReceivedBody>> parser_;
    http::response<http::string_body> response_;
    Service::CancelFunction cancel_;
    std::uint64_t requestNumber_ = 0;
    std::chrono::steady_clock::time_point idleSince_{};
    bool idle_ = false;         // Whether the connection waits for the first byte of a request.
    bool replyPending_ = false; // Whether the service has yet to reply.
    bool keepAlive_ = false;
    bool closed_ = false;
};

void HttpServer::Impl::accept()
{
    acceptor.async_accept([weak = weak_from_this()](boost::system::error_code error, tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            // Most likely out of file descriptors: retry later, when some may be free.
            self->acceptTimer.expires_after(acceptRetryDelay);
            self->acceptTimer.async_wait([weak](boost::system::error_code waitError) {
                const auto waiting = weak.lock();
                if (!waitError && waiting) {
                    waiting->accept();
                }
            });
            return;
        }
        if (self->sessions.size() < self->limits.maxConnections) {
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            auto session = std::make_shared<Session>(self, std::move(socket));
            self->sessions.insert(session);
            session->waitForRequest();
        }
        self->accept();
    });
}

HttpServer::HttpServer(EventLoop &loop, Service &service, const HttpServerLimits &limits)
    : impl_(std::make_shared<Impl>(loop, service, limits))
{
}

HttpServer::~HttpServer()
{
    stopAccepting();
    closeAll();
}

std::error_code HttpServer::listen(const Endpoint &endpoint)
{
    return impl_->listen(endpoint);
}

void HttpServer::announceClose()
{
    impl_->closeAnnounced = true;
}

void HttpServer::stopAccepting()
{
    boost::system::error_code ignored;
    impl_->acceptor.close(ignored);
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    impl_->limits = limits;
}

void HttpServer::closeIdle()
{
    const auto sessions = impl_->sessions;
    for (const auto &session : sessions) {
        if (!session->isIdle()) {
            continue;
        }
        session->close();
    }
}

void HttpServer::closeAll()
{
    const auto sessions = impl_->sessions;
    for (const auto &session : sessions) {
        session->close();
    }
}

std::size_t HttpServer::connections() const
{
    return impl_->sessions.size();
}

} // namespace magnoliaspan
