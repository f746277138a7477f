/*
 * Services and callbacks that an entry host provides to all of its links.
 */
#pragma once

#include "core/Clock.h"
#include "core/Counters.h"
#include "core/Journal.h"
#include "core/Scheduler.h"
#include "transport/Transport.h"

#include <functional>

namespace magnoliaspan {

/// \brief References that must outlive every link.
struct LinkEnvironment {
    const Clock &clock;
    Scheduler &scheduler;
    Transport &transport;
    Journal &journal;
    Counters &counters;
    std::function<void()> onCapacityFreed; ///< Called when a link may be able to send more requests.

    /// Called when a target responds with an unchanged boot id after a connection to it was lost.
    std::function<void(const std::string &target, const std::string &bootId)> onTargetSurvived;
};

} // namespace magnoliaspan
