/*
 * Part config: the operators' environment document.
 * An accepted document is immutable and shared; a request pins the one it was planned on.
 */
#pragma once

#include "config/Diagnostic.h"
#include "core/Endpoint.h"
#include "core/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan {

/// How a system answers when a shard is late.
enum class ResponsePolicy {
    Latency,  ///< Answer at the soft deadline with the coverage reached.
    Coverage, ///< Wait to the hard deadline.
};

struct ZoneSpec {
    std::string name;
    std::string region;
    bool inService = true;
};

struct SeatSpec {
    std::string name;
    std::string zone;
    Endpoint peer;
};

struct ShardSpec {
    std::int64_t shard = 0;
    std::vector<std::string> targets; // Invariant: each names a target of the same system.
};

struct SystemSpec {
    std::string name;
    ResponsePolicy policy = ResponsePolicy::Coverage;
    Duration softDeadline{}; // Invariant: at most hardDeadline.
    Duration hardDeadline{};
    double minimumCoverage = 0; ///< Share of shards, 0 to 1.
    std::size_t maxInFlight = 0;
    double hedgeBudget = 0;
    double retryBudget = 0;
    unsigned slots = 1;
    unsigned connections = 1;
    unsigned coldConcurrency = 1;
    unsigned warmAfter = 1;
    std::int64_t shardMapGeneration = 0;
    std::vector<ShardSpec> shards; // Invariant: sorted by number, no number twice.
};

struct TargetSpec {
    std::string name;
    std::string system;
    std::string zone;
    Endpoint address;
};

/// \brief One published description of an environment.
struct EnvironmentDocument {
    std::string environment;
    std::int64_t generation = 0;
    std::string digest; ///< Hexadecimal hash of the whole text.
    std::string text;   ///< The text as published; what peers exchange.
    Duration clockOffsetBound{};
    Duration coldSlice{};
    Duration keyLifetime{};
    std::vector<ZoneSpec> zones;
    std::vector<SeatSpec> seats;
    std::vector<SystemSpec> systems;
    std::map<std::string, TargetSpec, std::less<>> targets;

    /// \returns the document, or null when \p diagnostics received an entry.
    static std::shared_ptr<const EnvironmentDocument> parse(std::string_view text, const std::string &file, Diagnostics &diagnostics);

    /// \returns the digest that parse() gives to \p text.
    static std::string digestOf(std::string_view text);

    /// \returns the system named \p name, or null.
    const SystemSpec *findSystem(std::string_view name) const;

    /// \returns the target named \p name, or null.
    const TargetSpec *findTarget(std::string_view name) const;

    /// \returns the seat named \p name, or null.
    const SeatSpec *findSeat(std::string_view name) const;

    /// \returns true when the zone is published and takes new work.
    bool isZoneInService(std::string_view zone) const;

    /// \returns the names of the seats in \p zone, sorted.
    std::vector<std::string> seatsInZone(std::string_view zone) const;
};

using EnvironmentPtr = std::shared_ptr<const EnvironmentDocument>;

} // namespace magnoliaspan
