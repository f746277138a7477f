/*
 * Sends one request to one service: a first attempt, a hedge when that is late, and retries after failures.
 */
#pragma once

#include "core/Verdict.h"
#include "forward/ReplicaController.h"
#include "routing/RoutingTable.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief State of a request that its calls share; outlives them.
struct CallContext {
    ForwardRequest request;
    Fingerprint fingerprint{}; ///< Of the request's content, independent of the caller.
    RoutingTablePtr table;     ///< In force when the request arrived; keeps route alive.
    const Route *route = nullptr;
    TimePoint deadline;    ///< When the time-out of the caller or of the route expires, whichever is first.
    TimePoint goal;        ///< Time of the latency goal, after which the response loses most of its use; may be in the past.
    bool passedOn = false; ///< Whether another host passed it on to this one; it is not passed on again.
    bool single = true;    ///< Whether the request goes to one service rather than to shards.
};

/// \brief Result of a call.
struct CallResult {
    bool success = false;                   ///< Whether response is a success.
    std::optional<TargetResponse> response; ///< The last one of a target, if any arrived.
    Verdict verdict = Verdict::NotRun;      ///< Whether the request may have run, when there is no success.
    std::string cause;                      ///< Why there is no success.
};

/// \brief Sends attempts to replicas of one service until one succeeds or no further attempt is possible.
class ShardCall : public std::enable_shared_from_this<ShardCall>
{
public:
    using Handler = std::function<void(CallResult result)>;

    ShardCall(const ForwardEnvironment &environment,
              ReplicaController &replicas,
              std::shared_ptr<const CallContext> context,
              std::string service);

    /// \brief Starts the first attempt; \p handler is called once, never before start() returns, unless cancel() is called first.
    void start(Handler handler);

    /// \brief Ends the call without a result.
    /// \param callerDisconnected whether nobody waits for the request any more, so that targets are to stop at once.
    void cancel(bool callerDisconnected);

    /// \returns whether the request may have run, from the attempts so far.
    Verdict verdict() const;

    /// \returns whether a byte of the request was sent to a target.
    bool hasSentBytes() const;

    /// \returns the number of attempts, for the log.
    unsigned attemptCount() const;

    const std::string &service() const;

private:
    struct Attempt {
        std::shared_ptr<Replica> replica;
        AttemptId id = AttemptId::None;
        std::uint64_t number = 0; // Counts the attempts of this call from 1.
        TimePoint startedAt;
        Duration expectedLatency{}; // From when it is sent.
        Duration connectTime{};     // Expected until it is sent; zero if it does not wait for a new connection.
        std::shared_ptr<CrashTrial> trial;
    };

    enum class AttemptReason { Initial, Hedge, Retry };

    enum class StartResult {
        Started,
        NoTarget, // No target can be used now, or the budget does not allow another attempt.
        Deferred, // Until a trial of the same request has ended.
    };

    StartResult startAttempt(AttemptReason reason, std::shared_ptr<CrashTrial> trial = nullptr);
    void waitForTrials();
    void endTrialWhenLate(const Attempt &attempt);
    void moveQueuedAttempt(const Attempt &first);
    bool scheduleRetry();
    void onRetryTimer();
    bool canRetry() const;
    void armHedgeTimer();
    void armHedgeTimerAt(TimePoint instant);
    Duration hedgeDuration(const Attempt &first) const;
    void onHedgeTimer();
    void onAttemptEnded(std::uint64_t number, AttemptResult result);
    void retryOrFinish();
    void finish(CallResult result);
    void dropAttempts(bool callerDisconnected);
    void logAttempt(std::string_view what, const Attempt &attempt, std::string_view detail) const;
    ReplicaQuery query() const;

    const ForwardEnvironment &environment_;
    ReplicaController &replicas_;
    std::shared_ptr<const CallContext> context_;
    std::string service_;
    Handler handler_; // Empty once called or cancelled.
    std::vector<Attempt> running_;
    std::vector<std::string> excluded_; // Targets that must not be selected now.
    std::vector<std::string> shedding_; // Those of excluded_ that may be selected again after a delay.
    unsigned possibleRuns_ = 0;         // Ended attempts after which the request ran or may have run.
    unsigned refusals_ = 0;             // Attempts that the target refused: shed, address of another target, or new connection reset.
    bool connectionRejected_ = false;   // Whether a new connection was reset under it.
    unsigned sentAttempts_ = 0;         // Attempts of which a byte has left this host.
    unsigned attemptCount_ = 0;
    std::optional<TargetResponse> lastFailure_; // The last response that was not a success.
    std::string cause_ = "no target can be used";
    TimerId timer_ = TimerId::None; // Of the hedge or of the next retry.
};

} // namespace magnoliaspan
