/*
 * Part control: the idempotency keys that this entry host is home of.
 *
 * A key carries its issue time, so that nothing needs to be stored: a host
 * that started later than a key was issued cannot know whether an earlier
 * process ran it, and says so.
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

    static constexpr std::size_t maxLength = 128;

    /// \returns the key, or nothing when \p text does not have the form.
    static std::optional<IdempotencyKey> parse(std::string_view text);
};

/// \brief The end of a submit as the caller is told.
struct SubmitResult {
    Verdict verdict = Verdict::NotRun;
    unsigned status = 503; ///< HTTP status.
    std::string code;      ///< Of a refusal; empty when it ran.
    std::string detail;
    std::string result; ///< From the target when it ran.
};

/// \brief Remembers keys in memory for their lifetime.
class KeyLedger
{
public:
    using Waiter = std::function<void(const SubmitResult &result)>;

    /// What the ledger decides about a submit.
    enum class Entry {
        Run,     ///< First seen: the caller of begin() must run it and call end().
        Waiting, ///< The same submit runs already; the waiter is called at its end.
        Ended,   ///< The waiter was called with the remembered result or a refusal.
    };

    /// Keys remembered at most; a submit beyond them is refused as not run.
    static constexpr std::size_t capacity = 100'000;

    /// The issue times of keys that may be taken now, if any.
    using WindowSource = std::function<std::optional<HomeLease::KeyWindow>()>;

    /// \param window asked for each new key.
    KeyLedger(const Clock &clock, WindowSource window);

    /// \brief Sets the published bounds.
    void configure(Duration clockOffsetBound, Duration keyLifetime);

    /// \brief Decides about a submit with \p key and the hash \p content of its payload.
    /// \param unknown what a refusal may claim when an earlier send could have been run elsewhere.
    Entry begin(const IdempotencyKey &key, std::uint64_t content, Verdict unknown, Waiter waiter);

    /// \brief Ends a running submit and calls its waiters.
    void end(std::string_view key, const SubmitResult &result);

    std::size_t size() const;

private:
    struct Record {
        std::uint64_t content = 0;
        WallTime forgetAt;
        std::optional<SubmitResult> result; // Empty while it runs.
        std::vector<Waiter> waiters;        // Invariant: empty once result is set.
    };

    std::optional<SubmitResult> refuseByAge(const IdempotencyKey &key, Verdict unknown) const;
    void forgetExpired();

    const Clock &clock_;
    WindowSource window_;
    Duration clockOffsetBound_{};
    Duration keyLifetime_{};
    std::map<std::string, Record, std::less<>> records_;
};

} // namespace magnoliaspan
