/*
 * Interface between a server port and the service that answers its requests, independent of the transport.
 */
#pragma once

#include "transport/Connection.h"

#include <functional>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief A request received on a port.
struct ServiceRequest {
    std::string method;
    std::string target; ///< Path and query string.
    std::string contentType;
    std::string requestId; ///< From X-Request-Id, empty if absent.
    std::string idempotencyKey;
    std::string authorization; ///< Value of the peer authorization header.
    std::string body;
    std::vector<WireHeader> headers = {}; ///< All header fields, in the order received.
};

/// \brief The response to a ServiceRequest.
struct ServiceReply {
    unsigned status = 200;
    std::string contentType = "application/json"; ///< If empty, only a content type in headers is sent.
    std::string body;
    bool close = false;                   ///< Whether the connection is closed after this response.
    std::vector<WireHeader> headers = {}; ///< Additional header fields.
};

/// \brief Answers the requests of one port.
class Service
{
public:
    using ReplyHandler = std::function<void(ServiceReply reply)>;
    using CancelFunction = std::function<void()>;

    virtual ~Service() = default;

    /// \brief Handles \p request and calls \p handler once, either before or after it returns.
    /// \returns a function to be called when the requester disconnects before the response; may be empty.
    virtual CancelFunction handle(ServiceRequest request, ReplyHandler handler) = 0;
};

} // namespace magnoliaspan
