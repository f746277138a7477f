/*
 * Stand-in for a search target with slots, snapshots, cold start, draining, load shedding, deadlines and
 * cancellation. It records the requests and load it received; scenarios check their invariants against these records.
 */
#pragma once

#include "core/Clock.h"
#include "core/Scheduler.h"
#include "request/Service.h"
#include "request/ShardMessages.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace magnoliaspan::testing {

/// Configuration of a stand-in target; may change at run time.
struct TargetTraits {
    std::string name;
    std::set<std::int64_t> shards;
    std::vector<std::int64_t> snapshots = {1};
    unsigned slots = 3;
    unsigned connections = 1'000; ///< Limit of concurrent connections; further ones are refused.
    Duration connectCost{};       ///< Time to set up a connection; in fake worlds only.
    unsigned queue = 30;          ///< Limit of requests waiting for a slot; further ones are shed.
    unsigned coldCapacity = 1;    ///< Concurrent requests that it can handle while cold.
    unsigned warmAfter = 5;       ///< Number of completed requests after which it is warm.
    Duration service = std::chrono::milliseconds(2);
    Duration coldService = std::chrono::milliseconds(10);
    unsigned slowEvery = 0; ///< Every n-th request takes slowService; zero for none.
    Duration slowService = std::chrono::milliseconds(120);
    bool startsCold = false;
    bool sheds = false;
    bool staleStatus = false; ///< The state endpoint always reports the first instance, warm and not leaving.
    std::string malformed;    ///< Fault of responses: crossed, truncated, mislabelled, wrong_shard or empty; empty string for none.
};

/// Sets a trait from text. \returns false for an unknown trait.
bool setTrait(TargetTraits &traits, const std::string &trait, const std::string &value);

/// Counts of the requests and load that a stand-in target received.
struct TargetRecord {
    unsigned runs = 0; ///< Completed searches.
    unsigned submitRuns = 0;
    std::map<std::string, unsigned> runsByKey;
    unsigned overloads = 0; ///< Requests that arrived above coldCapacity while cold.
    unsigned peakCold = 0;  ///< Maximum of concurrent requests while cold.
    unsigned peak = 0;      ///< Maximum of concurrent requests.
    unsigned arrivals = 0;
    unsigned cancelled = 0;
    unsigned sheds = 0;
    unsigned expired = 0; ///< Requests whose deadline passed before they completed.
    unsigned crashes = 0;
    unsigned requestsWhileLeaving = 0; ///< Requests that arrived after the grace period for leaving.
    std::int64_t lastArrival = 0;      ///< Unix time in milliseconds.
};

/// Behaviour of one target, independent of the transport.
class TargetModel : public Service
{
public:
    /// \param crash called when a request crashes the target; must close its connections
    TargetModel(const Clock &clock, Scheduler &scheduler, TargetTraits traits, std::function<void()> crash);

    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override;

    /// Sets a trait or one of the states "cold" and "leaving". \returns false for any other name.
    bool set(const std::string &trait, const std::string &value);

    /// Restarts the target with a new boot id; requests in flight are dropped without a reply.
    void restart(bool cold);

    /// Calls \p listener with each recorded event, so that records can outlive the process.
    void setEventListener(std::function<void(const std::string &event)> listener);

    /// Updates \p record with an event.
    static void applyEvent(TargetRecord &record, const std::string &event);

    const TargetRecord &record() const;
    const TargetTraits &traits() const;

private:
    struct Job {
        ReplyHandler handler;
        std::string requestId;
        std::int64_t shard = 0;
        std::int64_t snapshot = 0;
        std::string query;
        std::string key; // Idempotency key of a submit, empty for a search.
        unsigned limit = 0;
        WallTime deadline;
        TimerId timer = TimerId::None;
        bool running = false;
    };

    CancelFunction admit(Job job);
    bool crashIfPoisoned(const std::string &content);
    void startJobs();
    void finish(std::uint64_t number);
    void complete(std::uint64_t number, ShardOutcome outcome, Verdict verdict);
    void refuse(const Job &job, ShardOutcome outcome);
    ShardReply makeReply(const Job &job, ShardOutcome outcome, Verdict verdict) const;
    ServiceReply corrupt(const ShardReply &reply);
    TargetStatus targetStatus() const;
    std::string state() const;
    bool isCold() const;
    void recordEvent(const std::string &event);

    const Clock &clock_;
    Scheduler &scheduler_;
    TargetTraits traits_;
    std::function<void()> crash_;
    TargetRecord record_;
    unsigned bootCount_ = 1;
    unsigned startedJobs_ = 0;
    unsigned completed_ = 0; // Since the start of this instance.
    bool cold_ = false;
    bool leaving_ = false;
    WallTime leavingSince_;
    std::map<std::uint64_t, Job> jobs_;
    std::deque<std::uint64_t> waiting_;
    unsigned running_ = 0;
    std::uint64_t lastJob_ = 0;
    std::shared_ptr<int> instance_; // Held weakly by callbacks; replaced by a restart, which invalidates them.
    std::string previousBody_;
    std::function<void(const std::string &)> listener_;
};

} // namespace magnoliaspan::testing
