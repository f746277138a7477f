/*
 * Part request: work for one shard: a caller's submit at its home, or a
 * subrequest that another zone's entry host asks of this zone's targets.
 *
 * After the first byte of non-idempotent work has left, only the target's own
 * "not run" allows another attempt.
 */
#pragma once

#include "request/RequestServices.h"
#include "request/ShardWork.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief How the work for one shard ended.
struct SingleShardResult {
    Verdict verdict = Verdict::NotRun;
    std::optional<ShardReply> reply; ///< The target's last answer, if any.
    std::string failure;             ///< Why there is no answer; empty when there is one.
};

/// \brief Runs work for one shard with the attempts that are safe.
class SingleShardOperation : public CapacityWaiter, public std::enable_shared_from_this<SingleShardOperation>
{
public:
    using Handler = std::function<void(SingleShardResult result)>;

    /// \param replicas target names from the shard map.
    /// \param mayUsePeers false when another zone's entry host asked.
    /// \param handler called once unless abandon() comes first.
    SingleShardOperation(RequestServices &services,
                         ShardWork work,
                         std::string requestId,
                         std::vector<std::string> replicas,
                         TimePoint deadline,
                         bool mayUsePeers,
                         Handler handler);
    ~SingleShardOperation() override;

    void start();

    /// \brief Gives up idempotent work whose caller left; other work runs to its end.
    /// \returns whether it was given up.
    bool cancel();

    bool capacityFreed() override;

private:
    void trySend();
    /// One subrequest that runs.
    struct Attempt {
        unsigned number = 0;
        TargetLink *link = nullptr; // Valid while the exchange runs.
        ExchangeId exchange = ExchangeId::None;
        std::string linkName;
        bool viaPeer = false;
        bool singleRun = false;
    };

    ConnectionNeed connectionNeed() const;
    std::optional<Route> selectReplica(ConnectionNeed connection, NoRoute &why);
    void tryNewConnection();
    void dispatch(const Route &route, bool singleRun);
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
    Handler handler_; // Empty once called or abandoned.
    std::uint64_t operationId_;
    Fingerprint fingerprint_;
    SystemState *systemState_;
    std::vector<std::string> triedLinks_;
    std::string failure_ = "no usable replica";
    std::optional<ShardReply> lastReply_;
    Verdict verdict_ = Verdict::NotRun;
    std::vector<Attempt> runningAttempts_; // At most two, and at most one of non-idempotent work.
    TimePoint newConnectionAt_;            // When the connection of the only attempt may be silent.
    bool queued_ = false;
    bool needsRetryToken_ = false;
    unsigned attemptCount_ = 0;
    TimePoint notBefore_;
    TimerId timer_ = TimerId::None;
};

} // namespace magnoliaspan
