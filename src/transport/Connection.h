/*
 * Part transport: one connection to a target or peer, as the decisions see it.
 */
#pragma once

#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace magnoliaspan {

/// \brief A header field beyond those that every request carries.
struct WireHeader {
    std::string name;
    std::string value;
};

/// \brief The end of one exchange.
struct WireReply {
    std::error_code error;  ///< Set when no complete answer arrived.
    bool bytesSent = false; ///< Whether any byte of the request may have left this process.
    unsigned status = 0;    ///< HTTP status, zero when error is set.
    std::string body;
    std::vector<WireHeader> headers = {};
};

/// \brief A request as handed to a connection.
struct WireRequest {
    std::string path;          ///< Begins with a slash.
    std::string body;          ///< JSON, unless method is set.
    std::string authorization; ///< Value of the peer authorization header; empty for none.
    std::vector<WireHeader> headers = {};

    /// Empty makes it a GET without a body and a POST of JSON with one; otherwise the headers are sent as they
    /// are and none but the length is added.
    std::string method = {};

    /// Tells whether a reply answers this request; one that doesn't is dropped and the next one awaited.
    /// Empty takes any.
    std::function<bool(const WireReply &)> replyFilter = {};
};

/// \brief A connection that carries one exchange at a time.
/// Destroying the object closes the connection.
class Connection
{
public:
    using ReplyHandler = std::function<void(WireReply reply)>;

    virtual ~Connection() = default;

    /// \brief Sends \p request; \p handler is called exactly once unless close() comes first.
    /// May only be called when no exchange is running.
    virtual void exchange(WireRequest request, ReplyHandler handler) = 0;

    /// \brief Closes at once; no handler is called any more.
    virtual void close() = 0;
};

} // namespace magnoliaspan
