/*
 * Entry under which a target registers itself.
 */
#pragma once

#include "core/Endpoint.h"
#include "core/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace magnoliaspan {

/// Whether a target accepts new requests.
enum class TargetStage { Ready, Draining };

/// \brief One registered target instance.
struct TargetEntry {
    std::string id; ///< Usually unique per instance; a target may restart under the same one.
    std::string service;
    Endpoint address;
    std::string zone;
    unsigned slots = 1; ///< Requests that it processes concurrently.
    TargetStage stage = TargetStage::Ready;
    Duration coldLeft{};        ///< Time until it is warm, counted from when it wrote this entry.
    std::int64_t startedAt = 0; ///< Unix time of its start in ms by its own clock; only compared for equality.
    /// Raised by the target with each entry that it writes, also those that change nothing else; starts anew with each start.
    std::optional<std::int64_t> writeNumber;

    bool operator==(const TargetEntry &) const = default;
};

} // namespace magnoliaspan
