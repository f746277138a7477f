/*
 * Results of submits by idempotency key, kept in memory by the entry host that
 * is the home of the key.
 *
 * A key carries its issue time, so that nothing needs to be persisted: a host
 * that started after a key was issued cannot know whether an earlier process
 * ran it, and refuses it for that reason.
 */
#pragma once

#include "core/Clock.h"
#include "core/Verdict.h"
#include "peer/HomeLease.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan {

/// \brief A caller's idempotency key: ISSUE_TIME_IN_UNIX_MS-TOKEN.
struct IdempotencyKey {
    std::string text;
    WallTime issued;

    static constexpr std::size_t maxLength = 128; ///< In bytes.

    /// \returns the key, or nothing when \p text is malformed.
    static std::optional<IdempotencyKey> parse(std::string_view text);
};

/// \brief Result of a submit as reported to the caller.
struct SubmitResult {
    Verdict verdict = Verdict::NotRun;
    unsigned status = 503; ///< HTTP status.
    std::string code;      ///< Of a refusal; empty when the submit ran.
    std::string detail;
    std::string result; ///< From the target when the submit ran.
};

/// \brief Stores keys in memory for their lifetime, so that the submit of a key runs at most once.
class IdempotencyKeyStore
{
public:
    using CompletionHandler = std::function<void(const SubmitResult &result)>;

    /// Outcome of admit().
    enum class Admission {
        Run,     ///< New key: the caller of admit() must run the submit and call complete().
        Waiting, ///< The same submit is in flight; the handler is called when it completes.
        Ended,   ///< The handler was called with the stored result or with a refusal.
    };

    /// Maximum number of stored keys; a submit beyond them is refused as not run.
    static constexpr std::size_t capacity = 100'000;

    /// Returns the range of issue times for which new keys are accepted now, if any.
    using WindowSource = std::function<std::optional<HomeLease::KeyWindow>()>;

    /// \param window called for each new key.
    IdempotencyKeyStore(const Clock &clock, WindowSource window);

    /// \brief Sets the published limits.
    void configure(Duration clockOffsetBound, Duration keyLifetime);

    /// \brief Admits, joins or refuses a submit with \p key.
    /// \param contentHash hash of its payload; a key cannot be reused with another one.
    /// \param unknownVerdict verdict of a refusal when an earlier attempt may have run elsewhere.
    /// \param handler called once with the result; within admit() when that returns Ended.
    Admission admit(const IdempotencyKey &key, std::uint64_t contentHash, Verdict unknownVerdict, CompletionHandler handler);

    /// \brief Completes an admitted submit and calls the handlers that wait for it.
    void complete(std::string_view key, const SubmitResult &result);

    std::size_t size() const;

private:
    struct Record {
        std::uint64_t contentHash = 0;
        WallTime expiresAt;
        std::optional<SubmitResult> result;                // Empty while the submit is in flight.
        std::vector<CompletionHandler> completionHandlers; // Invariant: empty once result is set.
    };

    std::optional<SubmitResult> refusalByIssueTime(const IdempotencyKey &key, Verdict unknownVerdict) const;
    void removeExpired();

    const Clock &clock_;
    WindowSource window_;
    Duration clockOffsetBound_{};
    Duration keyLifetime_{};
    std::map<std::string, Record, std::less<>> records_;
};

} // namespace magnoliaspan
