/*
 * Part forward: from the ends of calls to the caller's answer.
 */
#include "forward/ForwardOperation.h"

#include "forward/GreatestRecords.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
// A target that is not listed yet registers within about this time of its start.
constexpr Duration unlistedRetry = std::chrono::seconds(1);
constexpr Duration leastRetry = std::chrono::milliseconds(50);

// A caller takes these for the promise that its request has not run and never will.
bool promisesNotRun(unsigned status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

bool coverageReached(std::size_t in, std::size_t total, double minimumCoverage)
{
    assert(total > 0 && "a route over shards has at least one");
    // Shares such as 0.9 of 10 are not exact in binary.
    constexpr double rounding = 1e-9;
    return in > 0 && static_cast<double>(in) + rounding >= minimumCoverage * static_cast<double>(total);
}

GatherStep gatherStep(const GatherState &state)
{
    if (state.in == state.total) {
        return GatherStep::Answer;
    }
    if (!coverageReached(state.in + state.running, state.total, state.minimumCoverage)) {
        return GatherStep::GiveUp;
    }
    const bool enough = coverageReached(state.in, state.total, state.minimumCoverage);
    return enough && (state.goalReached || state.running == 0) ? GatherStep::Answer : GatherStep::Wait;
}

ServiceReply refusalReply(unsigned status, std::string_view cause, std::optional<Duration> retryAfter)
{
    ServiceReply reply;
    reply.status = status;
    reply.contentType = "text/plain";
    reply.body = fmt::format("{}\n", cause);
    if (retryAfter) {
        reply.headers.push_back({"Retry-After", fmt::format("{:.3f}", std::chrono::duration<double>(*retryAfter).count())});
    }
    return reply;
}

ForwardOperation::ForwardOperation(const ForwardEnvironment &environment,
                                   ReplicaController &replicas,
                                   std::shared_ptr<const CallContext> context,
                                   std::vector<std::string> services,
                                   const ToShards *shards,
                                   Handler handler)
    : environment_(environment)
    , replicas_(replicas)
    , context_(std::move(context))
    , shards_(shards)
    , handler_(std::move(handler))
    , startedAt_(environment.clock.now())
{
    for (std::string &service : services) {
        ServicePart part;
        part.call = std::make_shared<ShardCall>(environment_, replicas_, context_, std::move(service));
        parts_.push_back(std::move(part));
    }
}

void ForwardOperation::start()
{
    const auto self = shared_from_this();
    if (!admit()) {
        return;
    }
    deadlineTimer_ = environment_.scheduler.callAt(context_->deadline, [self] { self->deadlineDue(); });
    if (shards_ != nullptr && context_->goal > startedAt_) {
        goalTimer_ = environment_.scheduler.callAt(std::max(startedAt_, context_->goal - goalReserve), [self] { self->goalDue(); });
    } else {
        goalReached_ = true;
    }
    for (std::size_t index = 0; index < parts_.size(); ++index) {
        parts_[index].call->start([self, index](CallResult result) { self->partEnded(index, std::move(result)); });
    }
}

// What cannot be answered before the deadline is refused before it takes the time of any target.
bool ForwardOperation::admit()
{
    std::size_t reachable = 0;
    std::size_t inTime = 0;
    std::optional<Duration> leastLateness;
    for (const ServicePart &part : parts_) {
        const ReplicaQuery query{part.call->service(), context_->route->name, context_->route->allowedRegions, {}};
        const auto lateness = replicas_.lateness(query, context_->deadline);
        if (!lateness) {
            continue;
        }
        ++reachable;
        if (*lateness == Duration::zero()) {
            ++inTime;
        } else {
            leastLateness = std::min(*lateness, leastLateness.value_or(*lateness));
        }
    }
    const auto enough = [this](std::size_t count) {
        return shards_ == nullptr ? count == 1 : coverageReached(count, parts_.size(), shards_->minimumCoverage);
    };
    if (!enough(reachable)) {
        refuse(statusUnavailable, fmt::format("targets of {} of {} services can be reached", reachable, parts_.size()));
        return false;
    }
    if (!enough(inTime)) {
        const std::string cause = fmt::format("targets of {} of {} services can answer in time", inTime, parts_.size());
        deliver(refusalReply(statusUnavailable, cause, std::max(leastRetry, *leastLateness)), cause);
        return false;
    }
    return true;
}

void ForwardOperation::partEnded(std::size_t index, CallResult result)
{
    if (!handler_) {
        return;
    }
    parts_[index].ended = true;
    parts_[index].result = std::move(result);
    if (shards_ == nullptr) {
        singleEnded();
    } else {
        step();
    }
}

void ForwardOperation::singleEnded()
{
    CallResult &result = parts_.front().result;
    const bool passable
        = result.answer && !result.answer->signature.empty() && !result.answer->encoded && !promisesNotRun(result.answer->status);
    if (result.good || passable) {
        answerTarget(std::move(*result.answer));
        return;
    }
    refuse(result.verdict == Verdict::NotRun ? statusUnavailable : statusBadGateway, result.cause);
}

GatherState ForwardOperation::gatherState() const
{
    GatherState state{parts_.size(), 0, 0, shards_->minimumCoverage, goalReached_};
    for (const ServicePart &part : parts_) {
        state.in += part.ended && part.result.good ? 1 : 0;
        state.running += part.ended ? 0 : 1;
    }
    return state;
}

void ForwardOperation::step()
{
    switch (gatherStep(gatherState())) {
    case GatherStep::Wait:
        return;
    case GatherStep::Answer:
        answerMerged();
        return;
    case GatherStep::GiveUp:
        refuse(verdict() == Verdict::NotRun ? statusUnavailable : statusBadGateway, "too few shards answered");
        return;
    }
}

void ForwardOperation::goalDue()
{
    goalReached_ = true;
    if (handler_) {
        step();
    }
}

void ForwardOperation::deadlineDue()
{
    if (!handler_) {
        return;
    }
    if (shards_ != nullptr) {
        const GatherState state = gatherState();
        if (coverageReached(state.in, state.total, state.minimumCoverage)) {
            answerMerged();
            return;
        }
    }
    refuse(verdict() == Verdict::NotRun ? statusUnavailable : statusGatewayTimeout, "deadline reached");
}

void ForwardOperation::answerMerged()
{
    std::vector<std::string> signatures;
    std::vector<std::string_view> bodies;
    for (const ServicePart &part : parts_) {
        if (!part.ended || !part.result.good) {
            continue;
        }
        signatures.push_back(part.result.answer->signature);
        bodies.push_back(part.result.answer->body);
    }
    const std::size_t missing = parts_.size() - signatures.size();
    ServiceReply reply = environment_.codec.encodeMerged(signatures, missing, greatestRecords(bodies, shards_->topRecords));
    for (const ServicePart &part : parts_) {
        if (part.ended && part.result.good) {
            continue;
        }
        environment_.counters.add(fmt::format("magnoliaspan_parts_missing_total{{cause=\"{}\"}}", part.ended ? part.result.cause : "late"));
    }
    deliver(std::move(reply), missing == 0 ? "whole" : "partial");
}

void ForwardOperation::answerTarget(TargetAnswer answer)
{
    ServiceReply reply;
    reply.status = answer.status;
    reply.contentType.clear();
    reply.headers = std::move(answer.headers);
    reply.body = std::move(answer.body);
    deliver(std::move(reply), "answered");
}

Verdict ForwardOperation::verdict() const
{
    Verdict all = Verdict::NotRun;
    for (const ServicePart &part : parts_) {
        all = combine(all, part.ended ? part.result.verdict : part.call->verdict());
        if (part.call->offered() && !part.ended) {
            all = combine(all, Verdict::MayHaveRun);
        }
    }
    return all;
}

Duration ForwardOperation::retryAfter() const
{
    const TimePoint now = environment_.clock.now();
    std::optional<TimePoint> earliest;
    for (const ServicePart &part : parts_) {
        const auto trial = replicas_.nextTrial({part.call->service(), context_->route->name, context_->route->allowedRegions, {}});
        if (trial && (!earliest || *trial < *earliest)) {
            earliest = trial;
        }
    }
    return earliest ? std::max(leastRetry, *earliest - now) : unlistedRetry;
}

void ForwardOperation::refuse(unsigned status, std::string_view cause)
{
    const auto wait = status == statusUnavailable ? std::optional<Duration>(retryAfter()) : std::nullopt;
    deliver(refusalReply(status, cause, wait), cause);
}

std::string ForwardOperation::missingText() const
{
    std::string text;
    for (const ServicePart &part : parts_) {
        if (part.ended && part.result.good) {
            continue;
        }
        text += fmt::format("{}{}:{}", text.empty() ? "" : ",", part.call->service(), part.ended ? part.result.cause : "late");
    }
    return text;
}

void ForwardOperation::deliver(ServiceReply reply, std::string_view outcome)
{
    const TimePoint now = environment_.clock.now();
    environment_.scheduler.cancel(goalTimer_);
    environment_.scheduler.cancel(deadlineTimer_);
    unsigned sends = 0;
    for (const ServicePart &part : parts_) {
        sends += part.call->sends();
    }
    const auto ms = [](Duration duration) { return static_cast<double>(duration.count()) / 1'000; };
    environment_.journal.record(
        LogCategory::Plan,
        context_->request.id,
        fmt::format(
            "request ended route={} table={} status={} outcome=\"{}\" services={} sends={} max_targets={} repeatable={} missing=\"{}\" "
            "took_ms={:.1f} goal_left_ms={:.1f} deadline_left_ms={:.1f}",
            context_->route->name,
            context_->table->version(),
            reply.status,
            outcome,
            parts_.size(),
            sends,
            context_->route->maxTargets,
            context_->route->repeatability == Repeatability::Idempotent,
            missingText(),
            ms(now - startedAt_),
            ms(context_->goal - now),
            ms(context_->deadline - now)));
    environment_.counters.observe(
        fmt::format("magnoliaspan_request_seconds{{route=\"{}\",status=\"{}\"}}", context_->route->name, reply.status), now - startedAt_);
    for (ServicePart &part : parts_) {
        part.call->stop(false);
    }
    const auto handler = std::move(handler_);
    handler_ = nullptr;
    handler(std::move(reply));
}

void ForwardOperation::abandon()
{
    if (!handler_) {
        return;
    }
    handler_ = nullptr;
    environment_.scheduler.cancel(goalTimer_);
    environment_.scheduler.cancel(deadlineTimer_);
    environment_.journal.record(LogCategory::Plan, context_->request.id, "caller left before the answer");
    environment_.counters.add("magnoliaspan_callers_left_total");
    for (ServicePart &part : parts_) {
        part.call->stop(true);
    }
}

} // namespace magnoliaspan
