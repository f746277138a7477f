/*
 * The environment document, which operators publish for the entry hosts.
 * An accepted document is immutable and shared; a request keeps the one that it was planned with.
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

/// What a system does when the response of a shard is late.
enum class ResponsePolicy {
    Latency,  ///< Respond at the soft deadline with the coverage reached by then.
    Coverage, ///< Wait until the hard deadline.
};

struct ZoneSpec {
    std::string name;
    std::string region;
    bool inService = true; ///< False when operators have set the state of the zone to out.
};

struct SeatSpec {
    std::string name;
    std::string zone;
    Endpoint peer; ///< Address on which the process in this seat serves other entry hosts.
};

struct ShardSpec {
    std::int64_t shard = 0;
    std::vector<std::string> targets; // Invariant: names of targets of the same system, no name twice.
};

struct SystemSpec {
    std::string name;
    ResponsePolicy policy = ResponsePolicy::Coverage;
    Duration softDeadline{}; // Invariant: at most hardDeadline.
    Duration hardDeadline{};
    double minimumCoverage = 0;   ///< Least share of shards in a response, 0 to 1.
    std::size_t maxInFlight = 0;  ///< Requests that one entry host runs at once.
    double hedgeBudget = 0;       ///< Hedges as a share of all subrequests, 0 to 1.
    double retryBudget = 0;       ///< Retries as a share of all subrequests, 0 to 1.
    unsigned slots = 1;           ///< Requests that one target processes at once.
    unsigned connections = 1;     ///< Connections that one target accepts.
    unsigned coldConcurrency = 1; ///< Requests that one target processes at once during a cold start.
    unsigned warmAfter = 1;       ///< Successes after which a cold target is given more requests.
    std::int64_t shardMapGeneration = 0;
    std::vector<ShardSpec> shards; // Invariant: sorted by number, no number twice.
};

struct TargetSpec {
    std::string name;
    std::string system;
    std::string zone;
    Endpoint address;
};

/// \brief A published description of an environment.
struct EnvironmentDocument {
    std::string environment;
    std::int64_t generation = 0; ///< Order of the documents of an environment.
    std::string digest;          ///< Hexadecimal hash of the whole text.
    std::string text;            ///< The text as published; peers exchange it unchanged.
    Duration clockOffsetBound{}; ///< Largest difference between the clocks of two hosts.
    Duration coldSlice{};        ///< Time slot of a seat at a cold target. Invariant: at least 4 * clockOffsetBound.
    Duration keyLifetime{};      ///< Time for which idempotency keys are stored and accepted.
    std::vector<ZoneSpec> zones;
    std::vector<SeatSpec> seats;
    std::vector<SystemSpec> systems;
    std::map<std::string, TargetSpec, std::less<>> targets;

    /// \brief Parses and validates \p text.
    /// \param file name of the document in diagnostics.
    /// \returns the document, or null when an entry was added to \p diagnostics.
    static std::shared_ptr<const EnvironmentDocument> parse(std::string_view text, const std::string &file, Diagnostics &diagnostics);

    /// \returns the digest that parse() computes for \p text.
    static std::string digestOf(std::string_view text);

    /// \returns the system named \p name, or null.
    const SystemSpec *findSystem(std::string_view name) const;

    /// \returns the target named \p name, or null.
    const TargetSpec *findTarget(std::string_view name) const;

    /// \returns the seat named \p name, or null.
    const SeatSpec *findSeat(std::string_view name) const;

    /// \returns true when \p zone is published and not set to out, so that it takes new requests.
    bool isZoneInService(std::string_view zone) const;

    /// \returns the names of the seats in \p zone, sorted.
    std::vector<std::string> seatsInZone(std::string_view zone) const;
};

using EnvironmentPtr = std::shared_ptr<const EnvironmentDocument>;

} // namespace magnoliaspan
