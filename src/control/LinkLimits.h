/*
 * Part control: what one entry host may ask of one target or peer.
 */
#pragma once

#include "control/ColdShare.h"

namespace magnoliaspan {

/// \brief Limits of a link, derived from the environment document.
struct LinkLimits {
    unsigned connections = 1; ///< Share of the published connections, at least one.
    unsigned slots = 1;       ///< Share of the published slots, at least one; the first concurrency limit.
    unsigned warmAfter = 1;   ///< Successes that end a cold start.
    bool hasColdStart = true; ///< False for peers, which do not start cold.
    ColdShareInput cold;
};

} // namespace magnoliaspan
