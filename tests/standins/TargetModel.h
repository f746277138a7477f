/*
 * Test stand-in: a searcher with slots, snapshots, a cold start, draining,
 * shedding, deadlines and cancellation. It records what it bore, and these
 * records are what scenarios are judged by.
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

/// What a stand-in target is like; may change while it runs.
struct TargetTraits {
    std::string name;
    std::set<std::int64_t> shards;
    std::vector<std::int64_t> snapshots = {1};
    unsigned slots = 3;
    unsigned connections = 1'000; ///< Connections at once; more are refused.
    Duration connectCost{};       ///< Time of a new connection; of fakes only.
    unsigned queue = 30;          ///< Requests that wait for a slot; more are shed.
    unsigned coldCapacity = 1;
    unsigned warmAfter = 5; ///< Requests completed until it is warm.
    Duration service = std::chrono::milliseconds(2);
    Duration coldService = std::chrono::milliseconds(10);
    unsigned slowEvery = 0; ///< One request in so many takes slowService; zero for none.
    Duration slowService = std::chrono::milliseconds(120);
    bool startsCold = false;
    bool sheds = false;
    bool staleStatus = false; ///< The status shows the first start, warm and staying.
    std::string malformed;    ///< crossed, truncated, mislabelled, duplicate or empty: how answers are wrong.
};

/// Sets one trait from its textual form. \returns false for an unknown one.
bool setTrait(TargetTraits &traits, const std::string &trait, const std::string &value);

/// What a stand-in target bore.
struct TargetRecord {
    unsigned runs = 0; ///< Searches run to the end.
    unsigned submitRuns = 0;
    std::map<std::string, unsigned> runsByKey;
    unsigned overloads = 0; ///< Requests that arrived beyond what it bore while cold.
    unsigned peakCold = 0;  ///< Most requests at once while cold.
    unsigned peak = 0;
    unsigned arrivals = 0;
    unsigned cancelled = 0;
    unsigned sheds = 0;
    unsigned expired = 0; ///< Requests refused because their deadline had passed.
    unsigned crashes = 0;
    unsigned requestsWhileLeaving = 0; ///< Requests that arrived more than a grace after leaving began.
    std::int64_t lastArrival = 0;      ///< Unix time in milliseconds.
};

/// The model of one target; its transport is elsewhere.
class TargetModel : public Service
{
public:
    /// \param crash called when a request crashes the target; must end its connections.
    TargetModel(const Clock &clock, Scheduler &scheduler, TargetTraits traits, std::function<void()> crash);

    Abandon handle(ServiceRequest request, ReplyHandler handler) override;

    /// Sets a trait, or its state: cold or leaving. \returns false for an unknown one.
    bool set(const std::string &trait, const std::string &value);

    /// Starts anew: another boot id, nothing in flight.
    void restart(bool cold);

    /// Calls \p listener with each event that a record counts; for records that outlive the process.
    void setEventListener(std::function<void(const std::string &event)> listener);

    /// Counts an event into \p record.
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
        std::string key; // Of a submit.
        unsigned limit = 0;
        WallTime deadline;
        TimerId timer = TimerId::None;
        bool running = false;
    };

    Abandon admit(Job job);
    bool crashIfPoisoned(const std::string &content);
    void startJobs();
    void finish(std::uint64_t number);
    void complete(std::uint64_t number, ShardOutcome outcome, Verdict verdict);
    void refuse(const Job &job, ShardOutcome outcome);
    ShardReply makeReply(const Job &job, ShardOutcome outcome, Verdict verdict) const;
    ServiceReply corrupt(const ShardReply &reply);
    TargetNotice targetStatus() const;
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
    unsigned completed_ = 0; // Since the start.
    bool cold_ = false;
    bool leaving_ = false;
    WallTime leavingSince_;
    std::map<std::uint64_t, Job> jobs_;
    std::deque<std::uint64_t> waiting_;
    unsigned running_ = 0;
    std::uint64_t lastJob_ = 0;
    std::shared_ptr<int> instance_; // Replaced by a restart.
    std::string previousBody_;
    std::function<void(const std::string &)> listener_;
};

} // namespace magnoliaspan::testing
