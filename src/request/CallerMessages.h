/*
 * Part request: the messages exchanged with callers.
 */
#pragma once

#include "control/KeyLedger.h"
#include "core/Time.h"
#include "core/Verdict.h"
#include "request/ShardMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace magnoliaspan {

/// \brief A caller's search over all shards of one system.
struct SearchQuery {
    std::string requestId; ///< The caller's, or made by the entry host.
    std::string system;
    std::string text;
    std::optional<Duration> timeout;       ///< From the caller; the system's hard deadline bounds it.
    std::optional<double> minimumCoverage; ///< 0 to 1; raises the system's own.
    unsigned limit = 10;                   ///< Hits in the answer, 1 to maxLimit.

    static constexpr unsigned maxLimit = 1'000;
};

/// \brief A caller's non-idempotent request for one shard.
struct SubmitCall {
    std::string requestId;
    std::string system;
    std::string key;     ///< Idempotency key as sent.
    std::string routing; ///< Chooses the shard; equal values meet the same shard of one map.
    std::string payload;
    std::optional<Duration> timeout;
    bool resend = false; ///< An earlier send of the key was not answered "not run".

    /// \returns what a refusal may claim that does not rest on the key's home.
    Verdict refusalVerdict() const
    {
        return resend ? Verdict::MayHaveRun : Verdict::NotRun;
    }
};

/// \brief Why a shard is not in an answer.
struct MissingShard {
    std::int64_t shard = 0;
    std::string reason;
};

/// \brief What an answer covers, counted from the pinned shard map.
struct Coverage {
    std::size_t answered = 0;
    std::size_t total = 0;
    std::vector<MissingShard> missing; // Invariant: total - answered entries.
};

/// \brief The answer to a SearchQuery; every hit is from the one snapshot.
struct SearchAnswer {
    std::string requestId;
    std::int64_t snapshot = 0;
    std::int64_t mapGeneration = 0;
    Coverage coverage;
    std::vector<Hit> hits; ///< By falling score.
};

using SearchResult = std::variant<SearchAnswer, Refusal>;

/// \brief Limits on what callers may send.
struct CallerLimits {
    static constexpr std::size_t maxBodyBytes = 65'536;
    static constexpr std::size_t maxQueryBytes = 4'096;
    static constexpr std::size_t maxPayloadBytes = 32'768;
    static constexpr std::size_t maxRequestIdBytes = 64;
    static constexpr std::int64_t maxTimeoutMs = 60'000;
};

/// \returns the query in \p body, or the refusal that says which field is wrong.
std::variant<SearchQuery, Refusal> parseSearchQuery(std::string_view body, std::string_view requestId);

/// \returns the submit in \p body, or the refusal that says which field is wrong.
std::variant<SubmitCall, Refusal> parseSubmitCall(std::string_view body, std::string_view requestId, std::string_view key);

std::string encode(const SearchAnswer &answer);
std::string encode(const SubmitCall &call);
std::string encode(const SubmitResult &result, std::string_view requestId);

/// \returns the result that encode() wrote, or nothing.
std::optional<SubmitResult> decodeSubmitResult(std::string_view body);

/// \returns \p refusal as application/problem+json.
std::string encodeProblem(const Refusal &refusal, std::string_view requestId);

} // namespace magnoliaspan
