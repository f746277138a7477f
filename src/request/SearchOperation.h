/*
 * A search, scattered over all shards of one snapshot and gathered into one response.
 *
 * The document and the snapshot are pinned before the first subrequest; results from another snapshot are never merged.
 * Coverage is counted from the pinned shard map.
 */
#pragma once

#include "request/CallerMessages.h"
#include "request/RequestServices.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace magnoliaspan {

/// \brief Runs one search: plans it, sends subrequests with hedges and retries, and merges the results.
class SearchOperation : public CapacityWaiter, public std::enable_shared_from_this<SearchOperation>
{
public:
    using Handler = std::function<void(SearchResult result)>;

    /// \param deadline when the caller stops waiting; at most the system's hard deadline from now.
    /// \param handler called once, unless cancel() is called first.
    SearchOperation(RequestServices &services, SearchQuery query, TimePoint deadline, Handler handler);
    ~SearchOperation() override;

    /// \brief Pins the document and the snapshot, and sends the first subrequests.
    void start();

    /// \brief Cancels the search and its running subrequests because the caller disconnected.
    void cancel();

    bool onCapacityFreed() override;

private:
    struct Attempt {
        std::uint64_t number = 0;
        TargetLink *link = nullptr; // Valid while the exchange runs.
        ExchangeId exchange = ExchangeId::None;
        TimePoint sentAt;
        bool singleRun = false;
        bool viaPeer = false;
        std::string linkName;
    };

    enum class ShardState { Pending, Running, Answered };

    struct ShardProgress {
        const ShardSpec *spec = nullptr; // In the pinned document.
        ShardState state = ShardState::Pending;
        std::vector<Attempt> attempts;            // In flight.
        std::vector<std::string> triedLinks;      // Links not to be used again in this round.
        std::vector<std::string> withoutSnapshot; // Links that do not hold the pinned snapshot.
        TimePoint notBefore;                      // Earliest time of the next attempt.
        TimePoint hedgeAt;                        // When a hedge is sent if there is only one attempt.
        TimePoint newConnectionAt;                // When the connection of the only attempt is assumed silent, so that another is tried.
        bool everSent = false;
        bool needsRetryToken = false;
        std::string lastFailure = "not sent";
        std::vector<Hit> hits;
    };

    /// \returns the snapshot to pin, zero if none other than \p excluded is known.
    std::int64_t chooseSnapshot(std::int64_t excluded) const;
    void recordPlan();
    void sendPending();
    void sendDueShards(TimePoint now);
    void sendShard(ShardProgress &shard);
    /// \returns whether the shard may be sent; takes a retry token if it needs one.
    bool tryAcquireRetryToken(ShardProgress &shard);
    LinkRequest createRequest(const ShardProgress &shard, const ReplicaRoute &route, std::uint64_t attempt);
    void dispatch(ShardProgress &shard, const ReplicaRoute &route, bool hedge, bool singleRun);
    void handleReply(std::size_t shardIndex, std::uint64_t attemptNumber, LinkReply reply);
    void acceptReply(ShardProgress &shard, const Attempt &attempt, ShardReply &&reply);
    void handleFailure(ShardProgress &shard, const Attempt &attempt, const LinkReply &reply);
    /// \brief Restarts the search with another snapshot if a replica of \p shard lacks the pinned one.
    /// \returns whether the search was restarted.
    bool tryRestart(ShardProgress &shard);
    void sendSecondAttempts();
    std::vector<std::string> excludedLinks(const ShardProgress &shard) const;
    void sendHedge(ShardProgress &shard);
    void tryNewConnection(ShardProgress &shard);
    void cancelAttempts(ShardProgress &shard);
    void onTimer();
    void armTimer();
    TimePoint nextTimerAt() const;
    bool hasPendingShards() const;
    void finish();
    void refuse(unsigned status, std::string code, std::string detail);
    void deliver(SearchResult result);
    Coverage coverage() const;
    std::vector<Hit> mergeHits();
    Duration hedgeDelay() const;
    ReplicaCriteria replicaCriteria(const ShardProgress &shard, const std::vector<std::string> &avoid, ConnectionNeed need) const;

    RequestServices &services_;
    SearchQuery query_;
    TimePoint startedAt_;
    TimePoint deadline_;
    TimePoint softDeadline_;
    Handler handler_; // Empty once called or cancelled.
    std::uint64_t operationId_;
    Fingerprint fingerprint_;
    EnvironmentPtr document_;            // Pinned by start().
    const SystemSpec *system_ = nullptr; // In document_.
    SystemState *systemState_ = nullptr;
    std::int64_t snapshot_ = 0; // Invariant: every accepted result is from this snapshot.
    double minimumCoverage_ = 0;
    bool restarted_ = false;
    bool queued_ = false; // Whether this operation is queued for capacity.
    std::size_t answeredCount_ = 0;
    std::uint64_t attemptCount_ = 0;
    Verdict verdict_ = Verdict::NotRun; // Combined over all attempts.
    std::vector<ShardProgress> shards_;
    TimerId timer_ = TimerId::None;
    bool sending_ = false; // Prevents sendPending() from being entered again.
};

} // namespace magnoliaspan
