/*
 * Test stand-in: behaviour of a target.
 */
#include "standins/TargetModel.h"

#include "config/DocumentReader.h"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace magnoliaspan::testing {

namespace {

constexpr std::chrono::milliseconds leavingGrace{3'000};
constexpr std::string_view poison = "poison";

std::vector<std::int64_t> numbers(const std::string &text)
{
    std::vector<std::int64_t> values;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        values.push_back(std::stoll(item));
    }
    return values;
}

ServiceReply json(std::string body)
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
    , life_(std::make_shared<int>(0))
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

bool TargetModel::cold() const
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
        traits.snapshots = numbers(value);
    } else if (trait == "shards") {
        const auto list = numbers(value);
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
        traits.coldBears = static_cast<unsigned>(std::stoul(value));
    } else if (trait == "warm_after") {
        traits.warmAfter = static_cast<unsigned>(std::stoul(value));
    } else if (trait == "starts_cold") {
        traits.startsCold = value == "yes";
    } else if (trait == "sheds") {
        traits.sheds = value == "yes";
    } else if (trait == "lies") {
        traits.statusLies = value == "yes";
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
        // Turns cold without a restart, as when its caches are dropped.
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

void TargetModel::onEvent(std::function<void(const std::string &event)> listener)
{
    listener_ = std::move(listener);
}

void TargetModel::happened(const std::string &event)
{
    count(record_, event);
    if (listener_) {
        listener_(event);
    }
}

void TargetModel::count(TargetRecord &record, const std::string &event)
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
        ++record.workWhileLeaving;
    }
}

void TargetModel::restart(bool cold)
{
    life_ = std::make_shared<int>(0);
    for (const auto &[number, job] : jobs_) {
        scheduler_.cancel(job.timer);
    }
    jobs_.clear();
    waiting_.clear();
    running_ = 0;
    ++boot_;
    completed_ = 0;
    cold_ = cold;
    leaving_ = false;
}

TargetStatus TargetModel::notice() const
{
    return {fmt::format("{}#{}", traits_.name, boot_), cold(), leaving_, traits_.snapshots};
}

std::string TargetModel::state() const
{
    if (traits_.statusLies) {
        return encode(TargetStatus{traits_.name + "#1", false, false, traits_.snapshots});
    }
    return encode(notice());
}

Service::CancelFunction TargetModel::handle(ServiceRequest request, ReplyHandler handler)
{
    if (request.target == "/v1/state") {
        handler(json(state()));
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
    happened(fmt::format("arrival {}", clock_.wallNow().time_since_epoch().count()));
    if (leaving_ && clock_.wallNow() > leavingSince_ + leavingGrace) {
        happened("leaving");
    }
    return admit(std::move(job));
}

Service::CancelFunction TargetModel::admit(Job job)
{
    const auto load = static_cast<unsigned>(jobs_.size()) + 1;
    if (cold() && load > traits_.coldBears) {
        happened("overload");
    }
    if (cold()) {
        happened(fmt::format("cold {}", load));
    }
    if (load > record_.peak) {
        happened(fmt::format("load {}", load));
    }
    if (job.deadline <= clock_.wallNow()) {
        happened("expired");
        refuse(job, ShardOutcome::DeadlinePassed);
        return {};
    }
    if (leaving_) {
        refuse(job, ShardOutcome::Draining);
        return {};
    }
    const bool holds
        = job.key.empty() && std::find(traits_.snapshots.begin(), traits_.snapshots.end(), job.snapshot) == traits_.snapshots.end();
    if (holds || traits_.shards.count(job.shard) == 0) {
        refuse(job, ShardOutcome::SnapshotUnavailable);
        return {};
    }
    if (traits_.sheds || waiting_.size() >= traits_.queue) {
        happened("shed");
        refuse(job, ShardOutcome::Shed);
        return {};
    }
    if (crashes(job.query)) {
        return {};
    }
    const std::uint64_t number = ++lastJob_;
    jobs_.emplace(number, std::move(job));
    waiting_.push_back(number);
    startJobs();
    return [this, number, life = std::weak_ptr<int>(life_)] {
        if (!life.expired() && jobs_.count(number) != 0 && jobs_.at(number).key.empty()) {
            happened("cancel");
            end(number, ShardOutcome::Failed, Verdict::MayHaveRun);
        }
    };
}

bool TargetModel::crashes(const std::string &content)
{
    if (content.find(poison) == std::string::npos) {
        return false;
    }
    happened("crash");
    // The process ends before it can answer; whoever holds the transport closes it.
    scheduler_.callAt(clock_.now(), [this, life = std::weak_ptr<int>(life_)] {
        if (!life.expired()) {
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
        const bool slow = traits_.slowEvery != 0 && ++started_ % traits_.slowEvery == 0;
        const Duration service = cold() ? traits_.coldService : slow ? traits_.slowService : traits_.service;
        job.timer = scheduler_.callAt(clock_.now() + service, [this, number] { finish(number); });
    }
}

void TargetModel::finish(std::uint64_t number)
{
    const Job &job = jobs_.at(number);
    // A search ends at its deadline; a submit that was begun is completed.
    if (job.key.empty() && job.deadline <= clock_.wallNow()) {
        happened("expired");
        end(number, ShardOutcome::DeadlinePassed, Verdict::MayHaveRun);
        return;
    }
    if (job.key.empty()) {
        happened("run");
    } else {
        happened("submit " + job.key);
    }
    ++completed_;
    end(number, ShardOutcome::Answered, Verdict::Ran);
}

void TargetModel::end(std::uint64_t number, ShardOutcome outcome, Verdict verdict)
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
    job.handler(corrupt(replyTo(job, outcome, verdict)));
}

void TargetModel::refuse(const Job &job, ShardOutcome outcome)
{
    job.handler(json(encode(replyTo(job, outcome, Verdict::NotRun))));
}

ShardReply TargetModel::replyTo(const Job &job, ShardOutcome outcome, Verdict verdict) const
{
    ShardReply reply;
    reply.requestId = job.requestId;
    reply.shard = job.shard;
    reply.snapshot = job.snapshot;
    reply.outcome = outcome;
    reply.verdict = verdict;
    reply.targetStatus = notice();
    if (outcome == ShardOutcome::Answered && job.key.empty()) {
        // The id tells the judge which shard and snapshot the hit is from, the text whose it is.
        reply.hits.push_back(
            {fmt::format("snapshot{}.shard{}", job.snapshot, job.shard), 1.0 / static_cast<double>(job.shard + 1), job.query});
    } else if (outcome == ShardOutcome::Answered) {
        reply.result = "done " + job.key;
    }
    return reply;
}

ServiceReply TargetModel::corrupt(const ShardReply &reply)
{
    ShardReply wrong = reply;
    std::string body = encode(reply);
    if (traits_.malformed == "mislabelled") {
        wrong.snapshot += 1;
        body = encode(wrong);
    } else if (traits_.malformed == "wrong_shard") {
        wrong.shard += 1;
        body = encode(wrong);
    } else if (traits_.malformed == "truncated") {
        body.resize(body.size() / 2);
    } else if (traits_.malformed == "empty") {
        wrong.hits.clear();
        body = encode(wrong);
    } else if (traits_.malformed == "crossed" && !lastBody_.empty()) {
        std::swap(body, lastBody_);
        return json(std::move(body));
    }
    lastBody_ = body;
    return json(std::move(body));
}

} // namespace magnoliaspan::testing
