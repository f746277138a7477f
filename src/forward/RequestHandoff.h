/*
 * Interface by which an operation passes its request to another host that can serve it.
 */
#pragma once

#include "forward/ForwardMessages.h"
#include "request/Service.h"

#include <functional>
#include <optional>
#include <span>
#include <string>

namespace magnoliaspan {

/// \brief A request that this host passes on.
struct HandoffRequest {
    ForwardRequest request;
    TimePoint goal;                          ///< Time of the latency goal; may be in the past.
    TimePoint deadline;                      ///< When the caller or the route stops waiting.
    bool idempotent = true;                  ///< Whether it may run twice; if not, it is sent to one host only.
    std::vector<std::string> services;       ///< That have to respond.
    std::vector<std::string> allowedRegions; ///< To whose hosts it may be sent; empty: to all.
};

/// \brief What became of a request that was passed on.
struct HandoffResult {
    std::optional<ServiceReply> reply; ///< The other host's reply to the caller; no value if none arrived.
    bool mayHaveRun = false;           ///< Whether it may have run without a reply that says so.
};

/// \brief Passes requests to other hosts.
class RequestHandoff
{
public:
    using Handler = std::function<void(HandoffResult result)>;
    using CancelFunction = std::function<void()>;

    virtual ~RequestHandoff() = default;

    /// \returns whether some host is known that may be able to serve a request to \p services.
    virtual bool isPossible(std::span<const std::string> services, std::span<const std::string> allowedRegions) const = 0;

    /// \brief Passes \p request on. \p handler is called once, never before this function returns, unless the returned
    /// function is called first.
    virtual CancelFunction start(HandoffRequest request, Handler handler) = 0;
};

} // namespace magnoliaspan
