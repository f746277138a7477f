/*
 * Part request: the messages exchanged with targets, and with entry hosts that
 * stand in front of another zone's targets.
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

/// \brief Asks one shard of one snapshot.
struct ShardSearch {
    std::string requestId; ///< Unique for each attempt; the answer must repeat it.
    std::string system;
    std::string query;
    std::int64_t shard = 0;
    std::int64_t snapshot = 0;
    std::int64_t mapGeneration = 0;
    unsigned limit = 0; ///< Largest number of hits.
    WallTime deadline;  ///< After it the target does no work for this request.
};

/// \brief Asks one shard to run non-idempotent work.
struct ShardSubmit {
    std::string requestId;
    std::string system;
    std::string key; ///< The caller's idempotency key.
    std::string payload;
    std::int64_t shard = 0;
    WallTime deadline;
};

/// How a target ended a subrequest.
enum class ShardOutcome {
    Answered,            ///< The work was done.
    Shed,                ///< Refused for load.
    Draining,            ///< Refused because the target is leaving.
    SnapshotUnavailable, ///< The target does not hold the snapshot.
    DeadlinePassed,      ///< The deadline had passed before the work began.
    Failed,              ///< The work failed.
};

/// \returns the name used on the wire.
std::string_view toString(ShardOutcome outcome);

/// \brief What a target says of itself in each answer.
struct TargetStatus {
    std::string bootId; ///< Changes with each start of the target.
    bool cold = false;  ///< In a cold start.
    bool leaving = false;
    std::vector<std::int64_t> snapshots; ///< Held snapshots.
};

/// \brief A target's answer to a ShardSearch or ShardSubmit.
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

/// Limits on what a target's answer may hold.
inline constexpr std::size_t maxHitsPerReply = 10'000;
inline constexpr std::size_t maxSnapshotsPerStatus = 64;

} // namespace internal

std::string encode(const ShardSearch &message);
std::string encode(const ShardSubmit &message);
std::string encode(const ShardReply &message);
std::string encode(const TargetStatus &message);

/// \returns the message, or nothing when \p body is not one; never throws.
std::optional<ShardSearch> decodeShardSearch(std::string_view body);
std::optional<ShardSubmit> decodeShardSubmit(std::string_view body);
std::optional<ShardReply> decodeShardReply(std::string_view body);
std::optional<TargetStatus> decodeTargetStatus(std::string_view body);

} // namespace magnoliaspan
