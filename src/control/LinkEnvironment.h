/*
 * Part control: what every link shares with its entry host.
 */
#pragma once

#include "core/Clock.h"
#include "core/Counters.h"
#include "core/Journal.h"
#include "core/Scheduler.h"
#include "transport/Transport.h"

#include <functional>

namespace magnoliaspan {

/// \brief References that outlive every link.
struct LinkEnvironment {
    const Clock &clock;
    Scheduler &scheduler;
    Transport &transport;
    Journal &journal;
    Counters &counters;
    std::function<void()> onCapacityFreed; ///< Called after a link can take more work.

    /// Called when a target answers from the same start although a connection to it was lost before.
    std::function<void(const std::string &target, const std::string &bootId)> onTargetSurvived;
};

} // namespace magnoliaspan
