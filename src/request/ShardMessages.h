/*
 * Messages exchanged with targets, and with entry hosts that relay to the targets of another zone, with their JSON
 * encoding.
 */
#pragma once

#include "core/Time.h"
#include "core/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan {

/// \brief One result of a search.
struct Hit {
    std::string id;
    double score = 0;
    std::string text;
};

/// \brief A search in one shard of one snapshot.
struct ShardSearch {
    std::string requestId; ///< Unique for each attempt; the response must repeat it.
    std::string system;
    std::string query;
    std::int64_t shard = 0;
    std::int64_t snapshot = 0;
    std::int64_t mapGeneration = 0;
    unsigned limit = 0; ///< Largest number of hits.
    WallTime deadline;  ///< After this time the target does no work for this request.
};

/// \brief Non-idempotent work for one shard.
struct ShardSubmit {
    std::string requestId; ///< Unique for each attempt; the response must repeat it.
    std::string system;
    std::string key; ///< The caller's idempotency key.
    std::string payload;
    std::int64_t shard = 0;
    WallTime deadline; ///< After this time the target does no work for this request.
};

/// Result of a subrequest as reported by the target.
enum class ShardOutcome {
    Answered,            ///< The work was done.
    Shed,                ///< Refused because of load.
    Draining,            ///< Refused because the target is leaving.
    SnapshotUnavailable, ///< The target does not hold the snapshot.
    DeadlinePassed,      ///< The deadline had passed before the work started.
    Failed,              ///< The work failed.
};

/// \returns the name used on the wire.
std::string_view toString(ShardOutcome outcome);

/// \brief The state that a target reports of itself in each response.
struct TargetStatus {
    std::string bootId; ///< Identifies the target instance: changes with each start of the target.
    bool cold = false;  ///< Whether the target is in a cold start.
    bool leaving = false;
    std::vector<std::int64_t> snapshots; ///< Snapshots that the target holds.
};

/// \brief A target's response to a ShardSearch or ShardSubmit.
struct ShardReply {
    std::string requestId;
    std::int64_t shard = 0;
    std::int64_t snapshot = 0;
    ShardOutcome outcome = ShardOutcome::Failed;
    Verdict verdict = Verdict::MayHaveRun;
    TargetStatus targetStatus;
    std::vector<Hit> hits; ///< Of a search.
    std::string result;    ///< Of a submit.
};

namespace internal {

/// Limits on the contents of a target's response.
inline constexpr std::size_t maxHitsPerReply = 10'000;
inline constexpr std::size_t maxSnapshotsPerStatus = 64;

} // namespace internal

std::string encode(const ShardSearch &message);
std::string encode(const ShardSubmit &message);
std::string encode(const ShardReply &message);
std::string encode(const TargetStatus &message);

/// \returns the decoded message, or nothing if \p body is malformed; never throws.
std::optional<ShardSearch> decodeShardSearch(std::string_view body);
std::optional<ShardSubmit> decodeShardSubmit(std::string_view body);
std::optional<ShardReply> decodeShardReply(std::string_view body);
std::optional<TargetStatus> decodeTargetStatus(std::string_view body);

} // namespace magnoliaspan
