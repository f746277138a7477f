/*
 * Admission, execution and fault injection of the target stand-in.
 */
#include "standins/TargetModel.h"

#include "config/DocumentReader.h"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace magnoliaspan::testing {

namespace {

constexpr std::chrono::milliseconds leavingGrace{3'000};
constexpr std::string_view poisonMarker = "poison";

std::vector<std::int64_t> parseIntegers(const std::string &text)
{
    std::vector<std::int64_t> values;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        values.push_back(std::stoll(item));
    }
    return values;
}

ServiceReply jsonReply(std::string body)
{
    return {200, "application/json", std::move(body), false};
}

} // namespace

TargetModel::TargetModel(const Clock &clock, Scheduler &scheduler, TargetTraits traits, std::function<void()> crash)
    : clock_(clock)
    , scheduler_(scheduler)
    , traits_(std::move(traits))
    , crash_(std::move(crash))
    , cold_(traits_.startsCold)
    , instance_(std::make_shared<int>(0))
{
}

const TargetRecord &TargetModel::record() const
{
    return record_;
}

const TargetTraits &TargetModel::traits() const
{
    return traits_;
}

bool TargetModel::isCold() const
{
    return cold_ && completed_ < traits_.warmAfter;
}

bool setTrait(TargetTraits &traits, const std::string &trait, const std::string &value)
{
    if (trait == "service") {
        traits.service = parseDuration(value).value_or(traits.service);
    } else if (trait == "cold_service") {
        traits.coldService = parseDuration(value).value_or(traits.coldService);
    } else if (trait == "slow_every") {
        traits.slowEvery = static_cast<unsigned>(std::stoul(value));
    } else if (trait == "slow_service") {
        traits.slowService = parseDuration(value).value_or(traits.slowService);
    } else if (trait == "snapshots") {
        traits.snapshots = parseIntegers(value);
    } else if (trait == "shards") {
        const auto list = parseIntegers(value);
        traits.shards = {list.begin(), list.end()};
    } else if (trait == "slots") {
        traits.slots = static_cast<unsigned>(std::stoul(value));
    } else if (trait == "connections") {
        traits.connections = static_cast<unsigned>(std::stoul(value));
    } else if (trait == "connect_cost") {
        traits.connectCost = parseDuration(value).value_or(traits.connectCost);
    } else if (trait == "queue") {
        traits.queue = static_cast<unsigned>(std::stoul(value));
    } else if (trait == "cold_bears") {
        traits.coldCapacity = static_cast<unsigned>(std::stoul(value));
    } else if (trait == "warm_after") {
        traits.warmAfter = static_cast<unsigned>(std::stoul(value));
    } else if (trait == "starts_cold") {
        traits.startsCold = value == "yes";
    } else if (trait == "sheds") {
        traits.sheds = value == "yes";
    } else if (trait == "lies") {
        traits.staleStatus = value == "yes";
    } else if (trait == "malformed") {
        traits.malformed = value == "no" ? "" : value;
    } else {
        return false;
    }
    return true;
}

bool TargetModel::set(const std::string &trait, const std::string &value)
{
    if (trait == "cold") {
        // Becomes cold without a restart, as when caches are dropped.
        cold_ = value == "yes";
        completed_ = 0;
        return true;
    }
    if (trait == "leaving") {
        leaving_ = value == "yes";
        leavingSince_ = clock_.wallNow();
        return true;
    }
    return setTrait(traits_, trait, value);
}

void TargetModel::setEventListener(std::function<void(const std::string &event)> listener)
{
    listener_ = std::move(listener);
}

void TargetModel::recordEvent(const std::string &event)
{
    applyEvent(record_, event);
    if (listener_) {
        listener_(event);
    }
}

void TargetModel::applyEvent(TargetRecord &record, const std::string &event)
{
    std::istringstream words(event);
    std::string word;
    std::string value;
    words >> word >> value;
    if (word == "run") {
        ++record.runs;
    } else if (word == "submit") {
        ++record.submitRuns;
        ++record.runsByKey[value];
    } else if (word == "overload") {
        ++record.overloads;
    } else if (word == "cold") {
        record.peakCold = std::max(record.peakCold, static_cast<unsigned>(std::stoul(value)));
    } else if (word == "load") {
        record.peak = std::max(record.peak, static_cast<unsigned>(std::stoul(value)));
    } else if (word == "arrival") {
        ++record.arrivals;
        record.lastArrival = std::stoll(value);
    } else if (word == "cancel") {
        ++record.cancelled;
    } else if (word == "shed") {
        ++record.sheds;
    } else if (word == "expired") {
        ++record.expired;
    } else if (word == "crash") {
        ++record.crashes;
    } else if (word == "leaving") {
        ++record.requestsWhileLeaving;
    }
}

void TargetModel::restart(bool cold)
{
    instance_ = std::make_shared<int>(0);
    for (const auto &[number, job] : jobs_) {
        scheduler_.cancel(job.timer);
    }
    jobs_.clear();
    waiting_.clear();
    running_ = 0;
    ++bootCount_;
    completed_ = 0;
    cold_ = cold;
    leaving_ = false;
}

TargetStatus TargetModel::targetStatus() const
{
    return {fmt::format("{}#{}", traits_.name, bootCount_), isCold(), leaving_, traits_.snapshots};
}

std::string TargetModel::state() const
{
    if (traits_.staleStatus) {
        return encode(TargetStatus{traits_.name + "#1", false, false, traits_.snapshots});
    }
    return encode(targetStatus());
}

Service::CancelFunction TargetModel::handle(ServiceRequest request, ReplyHandler handler)
{
    if (request.target == "/v1/state") {
        handler(jsonReply(state()));
        return {};
    }
    Job job;
    job.handler = std::move(handler);
    if (const auto search = decodeShardSearch(request.body); search && request.target == "/v1/shard-search") {
        job.requestId = search->requestId;
        job.shard = search->shard;
        job.snapshot = search->snapshot;
        job.query = search->query;
        job.limit = search->limit;
        job.deadline = search->deadline;
    } else if (const auto submit = decodeShardSubmit(request.body); submit && request.target == "/v1/shard-submit") {
        job.requestId = submit->requestId;
        job.shard = submit->shard;
        job.query = submit->payload;
        job.key = submit->key;
        job.deadline = submit->deadline;
    } else {
        job.handler({400, "application/json", "{}", false});
        return {};
    }
    recordEvent(fmt::format("arrival {}", clock_.wallNow().time_since_epoch().count()));
    if (leaving_ && clock_.wallNow() > leavingSince_ + leavingGrace) {
        recordEvent("leaving");
    }
    return admit(std::move(job));
}

Service::CancelFunction TargetModel::admit(Job job)
{
    const auto load = static_cast<unsigned>(jobs_.size()) + 1;
    if (isCold() && load > traits_.coldCapacity) {
        recordEvent("overload");
    }
    if (isCold()) {
        recordEvent(fmt::format("cold {}", load));
    }
    if (load > record_.peak) {
        recordEvent(fmt::format("load {}", load));
    }
    if (job.deadline <= clock_.wallNow()) {
        recordEvent("expired");
        refuse(job, ShardOutcome::DeadlinePassed);
        return {};
    }
    if (leaving_) {
        refuse(job, ShardOutcome::Draining);
        return {};
    }
    const bool lacksSnapshot
        = job.key.empty() && std::find(traits_.snapshots.begin(), traits_.snapshots.end(), job.snapshot) == traits_.snapshots.end();
    if (lacksSnapshot || traits_.shards.count(job.shard) == 0) {
        refuse(job, ShardOutcome::SnapshotUnavailable);
        return {};
    }
    if (traits_.sheds || waiting_.size() >= traits_.queue) {
        recordEvent("shed");
        refuse(job, ShardOutcome::Shed);
        return {};
    }
    if (crashIfPoisoned(job.query)) {
        return {};
    }
    const std::uint64_t number = ++lastJob_;
    jobs_.emplace(number, std::move(job));
    waiting_.push_back(number);
    startJobs();
    return [this, number, instance = std::weak_ptr<int>(instance_)] {
        if (!instance.expired() && jobs_.count(number) != 0 && jobs_.at(number).key.empty()) {
            recordEvent("cancel");
            complete(number, ShardOutcome::Failed, Verdict::MayHaveRun);
        }
    };
}

bool TargetModel::crashIfPoisoned(const std::string &content)
{
    if (content.find(poisonMarker) == std::string::npos) {
        return false;
    }
    recordEvent("crash");
    // The target crashes before it can reply; the crash handler closes its connections.
    scheduler_.callAt(clock_.now(), [this, instance = std::weak_ptr<int>(instance_)] {
        if (!instance.expired()) {
            crash_();
        }
    });
    return true;
}

void TargetModel::startJobs()
{
    while (running_ < traits_.slots && !waiting_.empty()) {
        const std::uint64_t number = waiting_.front();
        waiting_.pop_front();
        Job &job = jobs_.at(number);
        job.running = true;
        ++running_;
        const bool slow = traits_.slowEvery != 0 && ++startedJobs_ % traits_.slowEvery == 0;
        const Duration service = isCold() ? traits_.coldService : slow ? traits_.slowService : traits_.service;
        job.timer = scheduler_.callAt(clock_.now() + service, [this, number] { finish(number); });
    }
}

void TargetModel::finish(std::uint64_t number)
{
    const Job &job = jobs_.at(number);
    // A search past its deadline fails; a submit that has started is completed.
    if (job.key.empty() && job.deadline <= clock_.wallNow()) {
        recordEvent("expired");
        complete(number, ShardOutcome::DeadlinePassed, Verdict::MayHaveRun);
        return;
    }
    if (job.key.empty()) {
        recordEvent("run");
    } else {
        recordEvent("submit " + job.key);
    }
    ++completed_;
    complete(number, ShardOutcome::Answered, Verdict::Ran);
}

void TargetModel::complete(std::uint64_t number, ShardOutcome outcome, Verdict verdict)
{
    const Job job = std::move(jobs_.at(number));
    jobs_.erase(number);
    scheduler_.cancel(job.timer);
    if (job.running) {
        --running_;
    } else {
        waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), number), waiting_.end());
    }
    startJobs();
    job.handler(corrupt(makeReply(job, outcome, verdict)));
}

void TargetModel::refuse(const Job &job, ShardOutcome outcome)
{
    job.handler(jsonReply(encode(makeReply(job, outcome, Verdict::NotRun))));
}

ShardReply TargetModel::makeReply(const Job &job, ShardOutcome outcome, Verdict verdict) const
{
    ShardReply reply;
    reply.requestId = job.requestId;
    reply.shard = job.shard;
    reply.snapshot = job.snapshot;
    reply.outcome = outcome;
    reply.verdict = verdict;
    reply.targetStatus = targetStatus();
    if (outcome == ShardOutcome::Answered && job.key.empty()) {
        // For the invariant checker: the id names the snapshot and shard of the hit, the text its query.
        reply.hits.push_back(
            {fmt::format("snapshot{}.shard{}", job.snapshot, job.shard), 1.0 / static_cast<double>(job.shard + 1), job.query});
    } else if (outcome == ShardOutcome::Answered) {
        reply.result = "done " + job.key;
    }
    return reply;
}

ServiceReply TargetModel::corrupt(const ShardReply &reply)
{
    ShardReply corrupted = reply;
    std::string body = encode(reply);
    if (traits_.malformed == "mislabelled") {
        corrupted.snapshot += 1;
        body = encode(corrupted);
    } else if (traits_.malformed == "wrong_shard") {
        corrupted.shard += 1;
        body = encode(corrupted);
    } else if (traits_.malformed == "truncated") {
        body.resize(body.size() / 2);
    } else if (traits_.malformed == "empty") {
        corrupted.hits.clear();
        body = encode(corrupted);
    } else if (traits_.malformed == "crossed" && !previousBody_.empty()) {
        std::swap(body, previousBody_);
        return jsonReply(std::move(body));
    }
    previousBody_ = body;
    return jsonReply(std::move(body));
}

} // namespace magnoliaspan::testing
