/*
 * Part forward: bounds that all hosts keep together, and this host's share of them.
 */
#pragma once

#include "core/Time.h"

#include <cstddef>

namespace magnoliaspan {

/// The merge and the way back to the caller: what comes in this long before a goal is still in time.
inline constexpr Duration goalReserve = std::chrono::milliseconds(12);

/// \brief Bounds of a deployment; replaced when the settings change.
struct ForwardLimits {
    unsigned hosts = 1;            ///< Hosts that share the bounds, counted high rather than low.
    double extraSendRatio = 0.2;   ///< Sends beyond the first of a request to a service, as a share of its requests.
    double extraSendSlack = 0;     ///< Extra sends allowed beyond the ratio, for all hosts, in the window of the bound.
    double coldFactor = 1;         ///< How far the published rate of a cold target may be exceeded.
    double coldSlack = 0;          ///< Requests a second beyond that, for all hosts.
    std::size_t maxInFlight = 512; ///< Requests that this host runs at once.
};

} // namespace magnoliaspan
