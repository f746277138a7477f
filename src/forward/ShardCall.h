/*
 * Part forward: one request's work at one service: the first send, a second
 * one when the first is late, and others after failures.
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

/// \brief What a call needs of its request; outlives the call.
struct CallContext {
    ForwardRequest request;
    Fingerprint fingerprint{}; ///< Of what the request asks, whoever asks it.
    RoutingTablePtr table;     ///< In force when the request arrived; keeps route alive.
    const Route *route = nullptr;
    TimePoint deadline; ///< When the caller or the operators stop waiting.
    TimePoint goal;     ///< When the answer loses most of its use; earlier than now when it has.
    bool single = true; ///< Whether the request has no other shards.
};

/// \brief How a call ended.
struct CallResult {
    bool success = false;                   ///< answer is a success.
    std::optional<TargetResponse> response; ///< The last one of a target, if any came.
    Verdict verdict = Verdict::NotRun;      ///< What is known when there is no good answer.
    std::string cause;                      ///< Why there is none.
};

/// \brief Sends to replicas of one service until one answers well or nothing more can be done.
class ShardCall : public std::enable_shared_from_this<ShardCall>
{
public:
    using Handler = std::function<void(CallResult result)>;

    ShardCall(const ForwardEnvironment &environment,
              ReplicaController &replicas,
              std::shared_ptr<const CallContext> context,
              std::string service);

    /// \brief Sends first; \p handler is called once, never from inside, unless stop() comes first.
    void start(Handler handler);

    /// \brief Ends the call without a result.
    /// \param callerLeft whether nobody waits for any of the request, so that targets are to stop at once.
    void cancel(bool callerDisconnected);

    /// \returns what is known of the sends so far.
    Verdict verdict() const;

    /// \returns whether a byte of the request was sent to a target.
    bool hasSentBytes() const;

    /// \returns sends to targets, for the log.
    unsigned attemptCount() const;

    const std::string &service() const;

private:
    struct Attempt {
        std::shared_ptr<Replica> replica;
        AttemptId id = AttemptId::None;
        std::uint64_t number = 0;
        TimePoint startedAt;
        Duration expectedLatency{};
    };

    enum class AttemptReason { Initial, Hedge, Retry };

    bool startAttempt(AttemptReason reason);
    void moveQueuedAttempt(const Attempt &first);
    bool scheduleRetry();
    void onRetryTimer();
    bool canRetry() const;
    void armHedgeTimer();
    void armHedgeTimerAt(TimePoint instant);
    void onHedgeTimer();
    void onAttemptEnded(std::uint64_t number, AttemptResult result);
    void notifyCrashGuard(const Attempt &attempt, const AttemptResult &result);
    void retryOrFinish();
    void finish(CallResult result);
    void dropAttempts(bool callerDisconnected);
    void logAttempt(std::string_view what, const Attempt &attempt, std::string_view detail) const;
    ReplicaQuery query() const;

    const ForwardEnvironment &environment_;
    ReplicaController &replicas_;
    std::shared_ptr<const CallContext> context_;
    std::string service_;
    Handler handler_; // Empty once called or stopped.
    std::vector<Attempt> running_;
    std::vector<std::string> excluded_; // Targets not to be asked now.
    std::vector<std::string> shedding_; // Of tried_, those that may be asked again after a while.
    unsigned possibleRuns_ = 0;         // Targets at which it ran or may have run or still may.
    unsigned refusals_ = 0;             // Targets that said that they did not run it.
    bool connectionRejected_ = false;   // Whether a new connection was reset under it.
    unsigned sentAttempts_ = 0;         // Sends of which a byte has left this host.
    unsigned attemptCount_ = 0;
    std::optional<TargetResponse> lastFailure_; // The last answer that was not good.
    std::string cause_ = "no target can be used";
    TimerId timer_ = TimerId::None;
};

} // namespace magnoliaspan
