/*
 * Part net: the client side over Boost.Beast.
 */
#include "net/HttpTransport.h"

#include "transport/TransportError.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cassert>
#include <optional>
#include <sys/socket.h>

namespace magnoliaspan {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::size_t maxReplyBytes = 4'194'304;
constexpr unsigned httpVersion = 11;
constexpr const char *authorizationField = "X-Peer-Authorization";

/// Whether a connection that should be idle is still good.
enum class IdleState { Quiet, Ended };

/// The state of one connection; kept alive by the handlers that use it.
class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
    ClientSession(asio::io_context &context, Transport::ConnectHandler connected, Transport::ClosedHandler closed)
        : socket_(context)
        , connected_(std::move(connected))
        , closed_(std::move(closed))
    {
    }

    void connect(const Endpoint &endpoint)
    {
        const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
        socket_.async_connect(address, [self = shared_from_this()](boost::system::error_code error) { self->connectEnded(error); });
    }

    void exchange(WireRequest request, Connection::ReplyHandler handler)
    {
        assert(!handler_ && "a connection carries one exchange at a time");
        handler_ = std::move(handler);
        if (idleState() == IdleState::Ended) {
            asio::post(socket_.get_executor(), [self = shared_from_this()] { self->fail(TransportError::ConnectionLost); });
            return;
        }
        belongs_ = std::move(request.replyFilter);
        fill(std::move(request));
        bytesSent_ = true;
        writing_ = true;
        http::async_write(socket_, request_, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            self->writing_ = false;
            if (error) {
                self->fail(TransportError::ConnectionLost);
            }
        });
        // A target may answer a long request before it has read all of it.
        read();
    }

    void close()
    {
        closing_ = true;
        handler_ = nullptr;
        connected_ = nullptr;
        closed_ = nullptr;
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

private:
    void connectEnded(boost::system::error_code error)
    {
        if (closing_) {
            return;
        }
        const auto connected = std::move(connected_);
        connected_ = nullptr;
        if (error) {
            connected(TransportError::ConnectFailed);
            return;
        }
        boost::system::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        watchIdle();
        connected({});
    }

    void fill(WireRequest &&request)
    {
        request_ = {};
        request_.version(httpVersion);
        if (!request.method.empty()) {
            fillOpaque(std::move(request));
            return;
        }
        request_.method(request.body.empty() ? http::verb::get : http::verb::post);
        request_.target(request.path);
        request_.set(http::field::host, "magnoliaspan");
        if (!request.authorization.empty()) {
            request_.set(authorizationField, request.authorization);
        }
        for (const WireHeader &header : request.headers) {
            request_.set(header.name, header.value);
        }
        if (!request.body.empty()) {
            request_.set(http::field::content_type, "application/json");
            request_.body() = std::move(request.body);
        }
        request_.prepare_payload();
    }

    void fillOpaque(WireRequest &&request)
    {
        request_.method_string(request.method);
        request_.target(request.path);
        for (const WireHeader &header : request.headers) {
            request_.insert(header.name, header.value);
        }
        request_.body() = std::move(request.body);
        request_.prepare_payload();
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(maxReplyBytes);
        http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            self->readEnded(error);
        });
    }

    void readEnded(boost::system::error_code error)
    {
        if (closing_) {
            return;
        }
        if (error) {
            const bool ended = error == http::error::end_of_stream || error == http::error::partial_message
                               || error.category() == boost::system::system_category()
                               || error.category() == asio::error::get_misc_category();
            fail(ended ? TransportError::ConnectionLost : TransportError::MalformedReply);
            return;
        }
        WireReply reply = takeReply();
        const bool staysOpen = parser_->get().keep_alive();
        if (belongs_ && !belongs_(reply)) {
            if (!staysOpen) {
                fail(TransportError::ConnectionLost);
                return;
            }
            read();
            return;
        }
        // Bytes beyond the reply, or a request that is still being written, spoil the connection for the next one.
        const bool keepAlive = staysOpen && buffer_.size() == 0 && !writing_;
        bytesSent_ = false;
        const auto handler = std::move(handler_);
        handler_ = nullptr;
        handler(std::move(reply));
        if (closing_ || handler_) {
            return;
        }
        if (!keepAlive) {
            ended();
            return;
        }
        watchIdle();
    }

    WireReply takeReply()
    {
        auto &message = parser_->get();
        WireReply reply;
        reply.bytesSent = true;
        reply.status = message.result_int();
        reply.body = std::move(message.body());
        for (const auto &field : message.base()) {
            reply.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        return reply;
    }

    void fail(TransportError error)
    {
        if (closing_ || !handler_) {
            return;
        }
        WireReply reply;
        reply.error = error;
        reply.bytesSent = bytesSent_;
        const auto handler = std::move(handler_);
        handler_ = nullptr;
        handler(std::move(reply));
    }

    void watchIdle()
    {
        if (watching_) {
            return;
        }
        watching_ = true;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
            self->watching_ = false;
            if (self->closing_ || self->handler_) {
                return;
            }
            if (error || self->idleState() == IdleState::Ended) {
                self->ended();
                return;
            }
            self->watchIdle();
        });
    }

    // Bytes without a request would answer the next one: they end the connection like its close does.
    IdleState idleState()
    {
        char byte = 0;
        const auto received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool quiet = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        return quiet ? IdleState::Quiet : IdleState::Ended;
    }

    void ended()
    {
        const auto closed = std::move(closed_);
        closed_ = nullptr;
        if (closed) {
            closed();
        }
    }

    tcp::socket socket_;
    Transport::ConnectHandler connected_;
    Transport::ClosedHandler closed_;
    Connection::ReplyHandler handler_; // Set while an exchange runs.
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    beast::flat_buffer buffer_;
    bool bytesSent_ = false;                         // Whether any byte of the running exchange may have left.
    std::function<bool(const WireReply &)> belongs_; // Of the running exchange.
    bool writing_ = false;                           // Whether the request is not yet written in full.
    bool watching_ = false;
    bool closing_ = false;
};

class HttpConnection : public Connection
{
public:
    explicit HttpConnection(std::shared_ptr<ClientSession> session)
        : session_(std::move(session))
    {
    }

    ~HttpConnection() override
    {
        session_->close();
    }

    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    void exchange(WireRequest request, ReplyHandler handler) override
    {
        session_->exchange(std::move(request), std::move(handler));
    }

    void close() override
    {
        session_->close();
    }

private:
    std::shared_ptr<ClientSession> session_;
};

} // namespace

HttpTransport::HttpTransport(EventLoop &loop)
    : loop_(loop)
{
}

std::unique_ptr<Connection> HttpTransport::connect(const Endpoint &endpoint, ConnectHandler connected, ClosedHandler closed)
{
    auto session = std::make_shared<ClientSession>(loop_.context(), std::move(connected), std::move(closed));
    session->connect(endpoint);
    return std::make_unique<HttpConnection>(std::move(session));
}

} // namespace magnoliaspan
