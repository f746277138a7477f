/*
 * Implements HTTP client connections with Boost.Beast.
 */
#include "net/HttpTransport.h"

#include "core/Text.h"
#include "net/internal/ReplyParser.h"
#include "transport/TransportError.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
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
// The parser waits for the end of chunk sizes, chunk extensions and trailers in the buffer; its own limits don't cover these.
constexpr std::size_t maxUnparsedBytes = 65'536;
constexpr unsigned httpVersion = 11;
// A target in trouble may send a response twice; one that goes on is not waited for.
constexpr unsigned maxUnaskedReplies = 3;
// A request may have several interim responses; a target that goes on with them is not waited for.
constexpr unsigned maxInterimReplies = 16;
constexpr const char *authorizationField = "X-Peer-Authorization";

/// Whether an idle connection can carry another exchange.
enum class IdleState { Usable, Unusable };

// The HTTP library writes what it is given.
bool isSendable(const WireRequest &request)
{
    return isRequestTarget(request.path) && (request.method.empty() || isToken(request.method)) && isFieldValue(request.authorization)
           && std::all_of(request.headers.begin(), request.headers.end(), [](const WireHeader &header) {
                  return isToken(header.name) && isFieldValue(header.value);
              });
}

/// State of one connection; pending handlers keep it alive.
class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
    ClientSession(asio::io_context &context, Transport::ConnectHandler connected, Transport::ClosedHandler closed)
        : socket_(context)
        , connectHandler_(std::move(connected))
        , closedHandler_(std::move(closed))
    {
    }

    void connect(const Endpoint &endpoint)
    {
        const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
        socket_.async_connect(address, [self = shared_from_this()](boost::system::error_code error) { self->onConnected(error); });
    }

    void exchange(WireRequest request, Connection::ReplyHandler handler)
    {
        assert(!replyHandler_ && "exchange() called while another exchange is running on the connection");
        replyHandler_ = std::move(handler);
        // The handler of a response may start the next exchange before the connection is reported as closed.
        if (!reusable_ || idleState() == IdleState::Unusable) {
            asio::post(socket_.get_executor(), [self = shared_from_this()] { self->fail(TransportError::ConnectionLost); });
            return;
        }
        bytesReceived_ = false;
        if (!isSendable(request)) {
            asio::post(socket_.get_executor(), [self = shared_from_this()] { self->fail(TransportError::UnsendableRequest); });
            return;
        }
        interimReplies_ = 0;
        belongs_ = std::move(request.replyFilter);
        fillRequest(std::move(request));
        bytesSent_ = true;
        writing_ = true;
        http::async_write(socket_, request_, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            self->writing_ = false;
            if (error) {
                self->fail(TransportError::ConnectionLost);
            }
        });
        // Reads while writing: a target may respond to a long request before it has read all of it.
        readReply();
    }

    void close()
    {
        closing_ = true;
        boost::system::error_code ignored;
        if (replyHandler_) {
            // Nobody waits for the exchange any more. Without a reset, bytes of its request that a network partition holds up
            // would reach the target when the partition heals.
            socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        replyHandler_ = nullptr;
        connectHandler_ = nullptr;
        closedHandler_ = nullptr;
        socket_.close(ignored);
    }

private:
    void onConnected(boost::system::error_code error)
    {
        if (closing_) {
            return;
        }
        const auto connected = std::move(connectHandler_);
        connectHandler_ = nullptr;
        if (error) {
            connected(TransportError::ConnectFailed);
            return;
        }
        boost::system::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        watchForClose();
        connected({});
    }

    void fillRequest(WireRequest &&request)
    {
        request_ = {};
        request_.version(httpVersion);
        if (!request.method.empty()) {
            fillVerbatim(std::move(request));
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

    void fillVerbatim(WireRequest &&request)
    {
        request_.method_string(request.method);
        request_.target(request.path);
        for (const WireHeader &header : request.headers) {
            request_.insert(header.name, header.value);
        }
        request_.body() = std::move(request.body);
        // prepare_payload() throws for a method that should not have a body.
        if (!request_.body().empty() || hasLengthWhenEmpty(request_.method())) {
            request_.content_length(request_.body().size());
        }
    }

    static bool hasLengthWhenEmpty(http::verb method)
    {
        return method == http::verb::post || method == http::verb::put || method == http::verb::options;
    }

    void readReply()
    {
        parser_.emplace(maxReplyBytes);
        parseArrived();
    }

    void parseArrived()
    {
        boost::system::error_code error;
        const auto arrived = buffer_.data();
        if (arrived.size() > 0) {
            buffer_.consume(parser_->parse({static_cast<const char *>(arrived.data()), arrived.size()}, error));
        }
        const std::size_t room = beast::read_size(buffer_, maxUnparsedBytes);
        if (!error && !parser_->isComplete() && room == 0) {
            error = http::error::buffer_overflow;
        }
        if (error || parser_->isComplete()) {
            onReplyRead(error);
            return;
        }
        socket_.async_read_some(buffer_.prepare(room), [self = shared_from_this()](boost::system::error_code readError, std::size_t count) {
            self->onBytesRead(readError, count);
        });
    }

    void onBytesRead(boost::system::error_code error, std::size_t count)
    {
        if (closing_) {
            return;
        }
        buffer_.commit(count);
        bytesReceived_ = bytesReceived_ || count > 0;
        if (!error) {
            parseArrived();
            return;
        }
        if (error == asio::error::eof) {
            parser_->parseEnd(error);
        }
        onReplyRead(error);
    }

    void onReplyRead(boost::system::error_code error)
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
        if (parser_->isInterim()) {
            onInterimReply();
            return;
        }
        WireReply reply = parser_->takeReply();
        const bool staysOpen = parser_->staysOpen();
        if (belongs_ && !belongs_(reply)) {
            onUnaskedReply(staysOpen);
            return;
        }
        // The connection cannot be reused if bytes follow the response, if the request is still being written, or if a response
        // to another request arrived: more of them may follow.
        reusable_ = staysOpen && buffer_.size() == 0 && !writing_ && unaskedReplies_ == 0;
        bytesSent_ = false;
        const auto handler = std::move(replyHandler_);
        replyHandler_ = nullptr;
        handler(std::move(reply));
        if (closing_ || replyHandler_) {
            return;
        }
        if (!reusable_) {
            notifyClosed();
            return;
        }
        watchForClose();
    }

    // The response follows. Callers are not sent interim responses: they have not asked for any.
    void onInterimReply()
    {
        if (++interimReplies_ > maxInterimReplies) {
            fail(TransportError::MalformedReply);
        } else {
            readReply();
        }
    }

    // The response to the running request may still follow.
    void onUnaskedReply(bool staysOpen)
    {
        ++unaskedReplies_;
        if (!staysOpen) {
            fail(TransportError::ConnectionLost);
        } else if (unaskedReplies_ > maxUnaskedReplies) {
            fail(TransportError::MalformedReply);
        } else {
            readReply();
        }
    }

    void fail(TransportError error)
    {
        if (closing_ || !replyHandler_) {
            return;
        }
        WireReply reply;
        reply.error = error;
        reply.bytesSent = bytesSent_;
        reply.bytesReceived = bytesReceived_;
        const auto handler = std::move(replyHandler_);
        replyHandler_ = nullptr;
        handler(std::move(reply));
    }

    void watchForClose()
    {
        if (watchingForClose_) {
            return;
        }
        watchingForClose_ = true;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
            self->watchingForClose_ = false;
            if (self->closing_ || self->replyHandler_) {
                return;
            }
            if (error || self->idleState() == IdleState::Unusable) {
                self->notifyClosed();
                return;
            }
            self->watchForClose();
        });
    }

    // Bytes that arrive without a request would be taken for the response to the next one: they make the
    // connection unusable, as does its close.
    IdleState idleState()
    {
        char byte = 0;
        const auto received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool quiet = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        return quiet ? IdleState::Usable : IdleState::Unusable;
    }

    void notifyClosed()
    {
        const auto closed = std::move(closedHandler_);
        closedHandler_ = nullptr;
        if (closed) {
            closed();
        }
    }

    tcp::socket socket_;
    Transport::ConnectHandler connectHandler_;
    Transport::ClosedHandler closedHandler_;
    Connection::ReplyHandler replyHandler_; // Set while an exchange is running.
    http::request<http::string_body> request_;
    std::optional<internal::ReplyParser> parser_;
    beast::flat_buffer buffer_{maxUnparsedBytes};
    bool bytesSent_ = false;                         // Whether any byte of the running exchange's request may have been sent.
    std::function<bool(const WireReply &)> belongs_; // Of the running exchange; whether a reply is to its request.
    bool bytesReceived_ = false;                     // Whether any byte arrived during the running exchange.
    unsigned interimReplies_ = 0;                    // Of the running exchange.
    unsigned unaskedReplies_ = 0;                    // Responses to other requests than the running one, on this connection.
    bool reusable_ = true;                           // Whether another exchange may start, as far as the last response tells.
    bool writing_ = false;                           // Whether the request is still being written.
    bool watchingForClose_ = false;
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
