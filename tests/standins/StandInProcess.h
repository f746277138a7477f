/*
 * Test stand-in: the target and platform models as processes of their own.
 */
#pragma once

#include "core/Endpoint.h"

#include <string>

namespace magnoliaspan::testing {

/// How a stand-in target is started.
struct TargetProcessSettings {
    std::string name;
    Endpoint address;
    Endpoint control;   ///< Takes the acts of scripts.
    std::string traits; ///< TRAIT=VALUE, separated by semicolons.
    std::string record; ///< File that receives one line an event.
    bool cold = false;
};

/// Runs a target until it is killed or a request crashes it.
int runTarget(const TargetProcessSettings &settings);

/// Runs the platform until it is killed.
int runPlatform(const Endpoint &address, const Endpoint &control);

} // namespace magnoliaspan::testing
