/*
 * Part request: one search, scattered over all shards of one snapshot.
 *
 * The plan pins the document and the snapshot before the first subrequest; an
 * answer from another snapshot is never merged. Coverage is counted from the
 * pinned shard map.
 */
#pragma once

#include "request/CallerMessages.h"
#include "request/RequestServices.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace magnoliaspan {

/// \brief Runs one search from plan to answer.
class SearchOperation : public CapacityWaiter, public std::enable_shared_from_this<SearchOperation>
{
public:
    using Handler = std::function<void(SearchResult result)>;

    /// \param deadline when the caller stops waiting; at most the system's hard deadline from now.
    /// \param handler called once unless abandon() comes first.
    SearchOperation(RequestServices &services, SearchQuery query, TimePoint deadline, Handler handler);
    ~SearchOperation() override;

    /// \brief Plans and sends the first subrequests.
    void start();

    /// \brief Gives the search up, since its caller left; cancels what runs.
    void abandon();

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
        std::vector<Attempt> attempts;    // Those that run.
        std::vector<std::string> tried;   // Links not to be tried again now.
        std::vector<std::string> lacking; // Links that do not hold the pinned snapshot.
        TimePoint notBefore;              // Earliest next attempt.
        TimePoint hedgeAt;                // When the only attempt is hedged.
        TimePoint secondAt;               // When the connection of the only attempt may be silent, so that another is tried.
        bool everSent = false;
        bool needsRetryToken = false;
        std::string lastFailure = "not sent";
        std::vector<Hit> hits;
    };

    /// \returns the snapshot to pin, zero when none but \p excluded is known.
    std::int64_t chooseSnapshot(std::int64_t excluded) const;
    void plan();
    void sendPending();
    void sendDue(TimePoint now);
    void sendShard(ShardProgress &shard);
    bool mayRetry(ShardProgress &shard);
    LinkRequest requestFor(const ShardProgress &shard, const ReplicaRoute &route, std::uint64_t attempt);
    void dispatch(ShardProgress &shard, const ReplicaRoute &route, bool hedge, bool singleRun);
    void replied(std::size_t shardIndex, std::uint64_t attemptNumber, LinkReply reply);
    void accept(ShardProgress &shard, const Attempt &attempt, ShardReply &&reply);
    void failed(ShardProgress &shard, const Attempt &attempt, const LinkReply &reply);
    bool restartIfUnavailable(ShardProgress &shard);
    void secondAttemptsDue();
    std::vector<std::string> avoided(const ShardProgress &shard) const;
    void hedge(ShardProgress &shard);
    void tryNewConnection(ShardProgress &shard);
    void cancelAttempts(ShardProgress &shard);
    void wake();
    void arm();
    TimePoint nextDue() const;
    bool anyPending() const;
    void finish();
    void refuse(unsigned status, std::string code, std::string detail);
    void deliver(SearchResult result);
    Coverage coverage() const;
    std::vector<Hit> mergedHits();
    Duration hedgeDelay() const;
    ReplicaCriteria wanted(const ShardProgress &shard, const std::vector<std::string> &avoid, ConnectionNeed need) const;

    RequestServices &services_;
    SearchQuery query_;
    TimePoint startedAt_;
    TimePoint deadline_;
    TimePoint softDeadline_;
    Handler handler_; // Empty once called or abandoned.
    std::uint64_t operation_;
    Fingerprint fingerprint_;
    EnvironmentPtr document_;            // Pinned by plan().
    const SystemSpec *system_ = nullptr; // In document_.
    SystemState *state_ = nullptr;
    std::int64_t snapshot_ = 0; // Invariant: every accepted answer names it.
    double minimumCoverage_ = 0;
    bool restarted_ = false;
    bool queued_ = false; // Whether this operation is in the queue for capacity.
    std::size_t answered_ = 0;
    std::uint64_t attempts_ = 0;
    Verdict verdict_ = Verdict::NotRun; // Of all attempts together.
    std::vector<ShardProgress> shards_;
    TimerId timer_ = TimerId::None;
    bool sending_ = false;
};

} // namespace magnoliaspan
