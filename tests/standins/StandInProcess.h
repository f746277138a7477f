/*
 * Runs the target and platform stand-ins as separate processes.
 */
#pragma once

#include "core/Endpoint.h"

#include <string>

namespace magnoliaspan::testing {

/// Start parameters of a stand-in target.
struct TargetProcessSettings {
    std::string name;
    Endpoint address;
    Endpoint control;   ///< Receives the control requests of scripts.
    std::string traits; ///< TRAIT=VALUE, separated by semicolons.
    std::string record; ///< File to which one line per event is appended.
    bool cold = false;
};

/// Runs a target until it is killed or crashed by a request. \returns 1 if it cannot start.
int runTarget(const TargetProcessSettings &settings);

/// Runs the platform until it is killed. \returns 1 if it cannot start.
int runPlatform(const Endpoint &address, const Endpoint &control);

} // namespace magnoliaspan::testing
