/*
 * Part request: what the entry host offers on its ports, without the transport.
 */
#pragma once

#include "transport/Connection.h"

#include <functional>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief A request as it arrived on a port.
struct ServiceRequest {
    std::string method;
    std::string target; ///< Path and query string.
    std::string contentType;
    std::string requestId; ///< From X-Request-Id, empty when absent.
    std::string idempotencyKey;
    std::string authorization; ///< Of a peer.
    std::string body;
    std::vector<WireHeader> headers = {}; ///< All of them, in the order received.
};

/// \brief The reply to a ServiceRequest.
struct ServiceReply {
    unsigned status = 200;
    std::string contentType = "application/json"; ///< Empty sends none but what headers hold.
    std::string body;
    bool close = false;                   ///< The connection ends after this reply.
    std::vector<WireHeader> headers = {}; ///< Further ones.
};

/// \brief Answers requests of one port.
class Service
{
public:
    using ReplyHandler = std::function<void(ServiceReply reply)>;
    using CancelFunction = std::function<void()>;

    virtual ~Service() = default;

    /// \brief Answers \p request through \p handler, now or later, once.
    /// \returns what to call when the requester leaves before the reply; may be empty.
    virtual CancelFunction handle(ServiceRequest request, ReplyHandler handler) = 0;
};

} // namespace magnoliaspan
