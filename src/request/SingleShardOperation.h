/*
 * Work for one shard: a caller's submit at the home of its key, or a subrequest that an entry host of another zone sends
 * for this zone's targets.
 *
 * Once the first byte of non-idempotent work has been sent, only the target's own verdict "not run" allows a retry.
 */
#pragma once

#include "request/RequestServices.h"
#include "request/ShardWork.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief The result of the work for one shard.
struct SingleShardResult {
    Verdict verdict = Verdict::NotRun;
    std::optional<ShardReply> reply; ///< The target's last response, if any.
    std::string failure;             ///< Why there is no result; empty if there is one.
};

/// \brief Runs work for one shard, with retries only where they are safe.
class SingleShardOperation : public CapacityWaiter, public std::enable_shared_from_this<SingleShardOperation>
{
public:
    using Handler = std::function<void(SingleShardResult result)>;

    /// \param replicas target names from the shard map.
    /// \param mayUsePeers false if the request came from an entry host of another zone.
    /// \param handler called once, unless cancel() is called first.
    SingleShardOperation(RequestServices &services,
                         ShardWork work,
                         std::string requestId,
                         std::vector<std::string> replicas,
                         TimePoint deadline,
                         bool mayUsePeers,
                         Handler handler);
    ~SingleShardOperation() override;

    void start();

    /// \brief Cancels idempotent work because its caller disconnected; other work runs to completion.
    /// \returns whether the work was cancelled.
    bool cancel();

    bool onCapacityFreed() override;

private:
    void trySend();
    /// A subrequest in flight.
    struct Attempt {
        unsigned number = 0;
        TargetLink *link = nullptr; // Valid while the exchange runs.
        ExchangeId exchange = ExchangeId::None;
        std::string linkName;
        bool viaPeer = false;
        bool singleRun = false;
    };

    ConnectionNeed connectionNeed() const;
    std::optional<ReplicaRoute> selectReplica(ConnectionNeed connection, RouteFailure &why);
    void tryNewConnection();
    void dispatch(const ReplicaRoute &route, bool singleRun);
    void handleReply(unsigned number, LinkReply reply);
    void cancelAttempts();
    bool canRetry(const LinkReply &reply) const;
    void recordTriedLink(const std::string &linkName, const LinkReply &reply);
    void finish(SingleShardResult result);
    void onTimer();
    void armTimer();

    RequestServices &services_;
    ShardWork work_;
    std::string requestId_;
    std::vector<std::string> replicas_;
    TimePoint deadline_;
    bool mayUsePeers_;
    Handler handler_; // Empty once called or cancelled.
    std::uint64_t operationId_;
    Fingerprint fingerprint_;
    SystemState *systemState_;
    std::vector<std::string> triedLinks_;
    std::string failure_ = "no usable replica";
    std::optional<ShardReply> lastReply_;
    Verdict verdict_ = Verdict::NotRun;
    std::vector<Attempt> runningAttempts_; // Invariant: at most two, and at most one of non-idempotent work.
    TimePoint newConnectionAt_;            // When the connection of the only attempt is assumed silent.
    bool queued_ = false;                  // Whether this operation is queued for capacity.
    bool needsRetryToken_ = false;
    unsigned attemptCount_ = 0;
    TimePoint notBefore_; // Earliest time of the next attempt.
    TimerId timer_ = TimerId::None;
};

} // namespace magnoliaspan
