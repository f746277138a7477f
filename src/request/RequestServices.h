/*
 * The controllers and interfaces that request operations depend on.
 */
#pragma once

#include "control/ConfigurationController.h"
#include "control/PauseDetector.h"
#include "control/QuarantineController.h"
#include "control/SystemController.h"
#include "control/TargetController.h"
#include "core/Clock.h"
#include "core/Counters.h"
#include "core/Journal.h"
#include "core/Scheduler.h"

#include <functional>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Dependencies of request operations; all referenced objects must outlive every request.
struct RequestServices {
    const Clock &clock;
    Scheduler &scheduler;
    Journal &journal;
    Counters &counters;
    ConfigurationController &configuration;
    TargetController &targets;
    SystemController &systems;
    QuarantineController &quarantine;
    PauseDetector &pauseDetector;
    std::string seat; ///< Prefix of subrequest ids, which makes them unique over all entry hosts.

    /// \returns the value of the authorization header of a request to another entry host.
    std::function<std::string(std::string_view path, std::string_view body)> authorize;

    /// \returns the best snapshot of a system reported by entry hosts of other zones, zero if none was reported.
    std::function<std::int64_t(std::string_view system)> bestPeerSnapshot;

    /// \returns an id that no other operation of this process has.
    std::function<std::uint64_t()> nextOperationId;
};

} // namespace magnoliaspan
