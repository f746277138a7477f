/*
 * Limits that apply to all hosts together, from which each host derives its share.
 */
#pragma once

#include "core/Time.h"

#include <cstddef>

namespace magnoliaspan {

/// Time for the merge and the way back to the caller: responses that arrive this long before the latency goal are in time.
inline constexpr Duration goalReserve = std::chrono::milliseconds(12);

/// \brief Limits of a deployment; replaced when the settings change.
struct ForwardLimits {
    unsigned hosts = 1;            ///< Hosts that share the limits; estimated high rather than low.
    double extraSendRatio = 0.2;   ///< Attempts beyond the first of each request to a service, as a share of its requests.
    double extraSendSlack = 0;     ///< Extra sends of all hosts allowed beyond the ratio, in one window of the limit.
    double coldFactor = 1;         ///< Factor by which the published rate of a cold target may be exceeded.
    double coldSlack = 0;          ///< Requests per second of all hosts allowed beyond that.
    std::size_t maxInFlight = 512; ///< Requests that this host runs at once.
};

} // namespace magnoliaspan
