/*
 * Limits on the load that one entry host puts on one target or peer.
 */
#pragma once

#include "control/ColdShare.h"

namespace magnoliaspan {

/// \brief Limits of a link, derived from the environment document.
struct LinkLimits {
    unsigned connections = 1; ///< This host's share of the published connections, at least one.
    unsigned slots = 1;       ///< This host's share of the published slots, at least one; the initial concurrency limit.
    unsigned warmAfter = 1;   ///< Number of successes that completes a cold start.
    bool hasColdStart = true; ///< False for peers, which have no cold start.
    ColdShareInput cold;
};

} // namespace magnoliaspan
