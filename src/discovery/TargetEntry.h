/*
 * Part discovery: what a target says of itself where it registers.
 */
#pragma once

#include "core/Endpoint.h"
#include "core/Time.h"

#include <cstdint>
#include <string>

namespace magnoliaspan {

/// Whether a target takes new work.
enum class TargetStage { Ready, Draining };

/// \brief One registered start of a target.
struct TargetEntry {
    std::string id; ///< Names one start, mostly; a target may start again under the same one.
    std::string service;
    Endpoint address;
    std::string zone;
    unsigned slots = 1; ///< Requests that it works on at once.
    TargetStage stage = TargetStage::Ready;
    Duration coldLeft{};        ///< How long it stays cold, from when it wrote this.
    std::int64_t startedAt = 0; ///< Unix time of its start in ms by its own clock; only compared for equality.

    bool operator==(const TargetEntry &) const = default;
};

} // namespace magnoliaspan
