/*
 * Interface of a client connection to a target or peer, and the HTTP messages exchanged on it.
 */
#pragma once

#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace magnoliaspan {

/// \brief An HTTP header field other than those set for every request.
struct WireHeader {
    std::string name;
    std::string value;
};

/// \brief The result of one exchange: a complete response or an error.
struct WireReply {
    std::error_code error;  ///< Set when no complete response arrived.
    bool bytesSent = false; ///< Whether any byte of the request may have left this process.
    unsigned status = 0;    ///< HTTP status, zero when error is set.
    std::string body;
    std::vector<WireHeader> headers = {};
    bool bytesReceived = false; ///< Whether any byte arrived in return, valid or not.
};

/// \brief An HTTP request to be sent on a connection.
struct WireRequest {
    std::string path;          ///< Starts with a slash.
    std::string body;          ///< JSON, unless method is set.
    std::string authorization; ///< Value of the peer authorization header; empty for none.
    std::vector<WireHeader> headers = {};

    /// HTTP method. If empty, the request is a GET when body is empty and a POST of JSON otherwise. If set, the headers
    /// are sent unchanged and only the content length is added.
    std::string method = {};

    /// Returns whether a response belongs to this request. One that does not is discarded, a few times at most, and the next
    /// one awaited; the connection is closed after the exchange. If empty, every response is accepted.
    std::function<bool(const WireReply &)> replyFilter = {};
};

/// \brief A client connection that carries one exchange at a time.
/// The destructor closes the connection.
class Connection
{
public:
    using ReplyHandler = std::function<void(WireReply reply)>;

    virtual ~Connection() = default;

    /// \brief Sends \p request. Must only be called when no exchange is running.
    /// \param handler called exactly once, unless close() is called first.
    virtual void exchange(WireRequest request, ReplyHandler handler) = 0;

    /// \brief Closes the connection immediately; no handler is called afterwards.
    virtual void close() = 0;
};

} // namespace magnoliaspan
