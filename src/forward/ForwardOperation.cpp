/*
 * Combines the results of the calls to services into the reply to the caller.
 */
#include "forward/ForwardOperation.h"

#include "core/Text.h"
#include "forward/GreatestRecords.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <fmt/format.h>
#include <numeric>
#include <random>
#include <utility>

namespace magnoliaspan {

namespace {

constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
// A target that is not registered yet does so within about this time of its start.
constexpr Duration unlistedRetryAfter = std::chrono::seconds(1);
// A host that is cut off from all targets probes them at about this interval, and so do hosts that could serve instead.
constexpr Duration lostContactRetryAfter = std::chrono::milliseconds(300);
constexpr Duration minRetryAfter = std::chrono::milliseconds(50);
// Callers that are refused during a pause of targets return over this time after its end, or over this part of their time left.
constexpr Duration maxReturnDelay = std::chrono::milliseconds(500);
constexpr int returnDelayDivisor = 10;

// Callers take these statuses for a guarantee that the request has not run and never will.
bool impliesNotRun(unsigned status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

bool coverageReached(std::size_t succeeded, std::size_t total, double minimumCoverage)
{
    assert(total > 0 && "a route over shards has at least one shard");
    // Products such as 0.9 * 10 are not exact in binary.
    constexpr double rounding = 1e-9;
    return succeeded > 0 && static_cast<double>(succeeded) + rounding >= minimumCoverage * static_cast<double>(total);
}

GatherStep gatherStep(const GatherState &state)
{
    if (state.succeeded == state.total) {
        return GatherStep::Respond;
    }
    if (!coverageReached(state.succeeded + state.pending, state.total, state.minimumCoverage)) {
        return GatherStep::GiveUp;
    }
    const bool enough = coverageReached(state.succeeded, state.total, state.minimumCoverage);
    return enough && (state.goalExpired || state.pending == 0) ? GatherStep::Respond : GatherStep::Wait;
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
                                   const ShardedDestination *shards,
                                   Handler handler)
    : environment_(environment)
    , replicas_(replicas)
    , context_(std::move(context))
    , shards_(shards)
    , handler_(std::move(handler))
    , startedAt_(environment.clock.now())
{
    for (std::string &service : services) {
        ServiceCall call;
        call.shardCall = std::make_shared<ShardCall>(environment_, replicas_, context_, std::move(service));
        calls_.push_back(std::move(call));
    }
}

void ForwardOperation::start()
{
    const auto self = shared_from_this();
    deadlineTimer_ = environment_.scheduler.callAt(context_->deadline, [self] { self->onDeadlineExpired(); });
    if (environment_.contact.isLost()) {
        constexpr std::string_view cause = "no target can be reached";
        if (!tryPassOn(cause)) {
            deliver(refusalReply(statusUnavailable, cause, lostContactRetryAfter), cause);
        }
        return;
    }
    if (!admit()) {
        return;
    }
    if (shards_ != nullptr && context_->goal > startedAt_) {
        goalTimer_ = environment_.scheduler.callAt(std::max(startedAt_, context_->goal - goalReserve), [self] { self->onGoalExpired(); });
    } else {
        goalExpired_ = true;
    }
    // Of a request that is suspect of crashing targets, the first attempts are trials: at services that lost a target.
    std::vector<std::size_t> order(calls_.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_partition(order.begin(), order.end(), [this](std::size_t index) {
        return environment_.crashGuard.isSuspectAt(context_->fingerprint, calls_[index].shardCall->service());
    });
    for (const std::size_t index : order) {
        calls_[index].shardCall->start([self, index](CallResult result) { self->onCallEnded(index, std::move(result)); });
    }
}

// Refuses a request that cannot be answered before its deadline, before it uses capacity of any target.
bool ForwardOperation::admit()
{
    std::size_t reachable = 0;
    std::size_t inTime = 0;
    std::optional<Duration> minLateness;
    std::vector<TimePoint> pauseEnds;
    for (const ServiceCall &call : calls_) {
        const ReplicaQuery query{call.shardCall->service(), context_->route->name, context_->route->allowedRegions, {}};
        const auto lateness = replicas_.lateness(query, context_->deadline);
        if (!lateness) {
            if (const auto end = replicas_.pausedUntil(query)) {
                pauseEnds.push_back(*end);
            }
            continue;
        }
        ++reachable;
        if (*lateness == Duration::zero()) {
            ++inTime;
        } else {
            minLateness = std::min(*lateness, minLateness.value_or(*lateness));
        }
    }
    const auto enough = [this](std::size_t count) {
        return shards_ == nullptr ? count == 1 : coverageReached(count, calls_.size(), shards_->minimumCoverage);
    };
    if (!enough(reachable) && enough(reachable + pauseEnds.size())) {
        refuseUntilPausesEnd(reachable, std::move(pauseEnds));
        return false;
    }
    if (!enough(reachable)) {
        servicesReachable_ = false;
        const std::string cause = fmt::format("{} of {} services have a reachable target", reachable, calls_.size());
        if (!tryPassOn(cause)) {
            refuse(statusUnavailable, cause);
        }
        return false;
    }
    if (!enough(inTime)) {
        const std::string cause = fmt::format("{} of {} services can respond before the deadline", inTime, calls_.size());
        deliver(refusalReply(statusUnavailable, cause, std::max(minRetryAfter, *minLateness)), cause);
        return false;
    }
    return true;
}

// Other hosts do not get the request: the targets ask for a pause because they are overloaded.
void ForwardOperation::refuseUntilPausesEnd(std::size_t reachable, std::vector<TimePoint> pauseEnds)
{
    std::sort(pauseEnds.begin(), pauseEnds.end());
    std::size_t ended = 1;
    while (shards_ != nullptr && !coverageReached(reachable + ended, calls_.size(), shards_->minimumCoverage)) {
        ++ended;
    }
    const Duration untilEnd = pauseEnds.at(ended - 1) - startedAt_;
    const std::string cause = fmt::format(
        "{} of {} services have a target that takes requests, {} asked for a pause", reachable, calls_.size(), pauseEnds.size());
    deliver(refusalReply(statusUnavailable, cause, std::max(minRetryAfter, untilEnd) + returnDelay()), cause);
}

// Callers that were refused during a pause return one after the other, those with the least time left first.
Duration ForwardOperation::returnDelay() const
{
    std::minstd_rand random(static_cast<unsigned>(std::hash<std::string>{}(context_->request.id)));
    const double part = std::uniform_real_distribution<double>(0, 1)(random);
    const Duration longest = std::min(maxReturnDelay, (context_->deadline - startedAt_) / returnDelayDivisor);
    return std::chrono::duration_cast<Duration>(part * longest);
}

std::vector<std::string> ForwardOperation::services() const
{
    std::vector<std::string> names;
    for (const ServiceCall &call : calls_) {
        names.push_back(call.shardCall->service());
    }
    return names;
}

bool ForwardOperation::mayPassOn() const
{
    if (!handler_ || context_->passedOn || verdictBeforeHandoff_ || environment_.crashGuard.refusedUntil(context_->fingerprint)) {
        return false;
    }
    if (context_->route->repeatability == Repeatability::Idempotent) {
        return true;
    }
    const bool sent = std::any_of(calls_.begin(), calls_.end(), [](const ServiceCall &call) { return call.shardCall->hasSentBytes(); });
    return !sent && verdict() == Verdict::NotRun;
}

bool ForwardOperation::tryPassOn(std::string_view cause)
{
    if (!mayPassOn() || !environment_.handoff.isPossible(services(), context_->route->allowedRegions)) {
        return false;
    }
    const bool sent = std::any_of(calls_.begin(), calls_.end(), [](const ServiceCall &call) { return call.shardCall->hasSentBytes(); });
    verdictBeforeHandoff_ = sent ? Verdict::MayHaveRun : verdict();
    for (ServiceCall &call : calls_) {
        // Closes the connections, so that bytes that are still on their way do not reach the targets later.
        call.shardCall->cancel(true);
    }
    environment_.scheduler.cancel(goalTimer_);
    environment_.journal.record(LogCategory::Route, context_->request.id, fmt::format("request is passed on cause=\"{}\"", cause));
    HandoffRequest request;
    request.request = context_->request;
    request.goal = context_->goal;
    request.deadline = context_->deadline;
    request.idempotent = context_->route->repeatability == Repeatability::Idempotent;
    request.services = services();
    request.allowedRegions = context_->route->allowedRegions;
    cancelHandoff_ = environment_.handoff.start(std::move(request), [self = shared_from_this()](HandoffResult result) {
        self->cancelHandoff_ = nullptr;
        self->onPassedOn(std::move(result));
    });
    return true;
}

void ForwardOperation::onPassedOn(HandoffResult result)
{
    if (!handler_) {
        return;
    }
    if (result.mayHaveRun) {
        verdictBeforeHandoff_ = Verdict::MayHaveRun;
    }
    const bool hasRun = *verdictBeforeHandoff_ != Verdict::NotRun;
    if (!result.reply || (hasRun && impliesNotRun(result.reply->status))) {
        constexpr std::string_view cause = "no other host served the request";
        const auto wait = hasRun ? std::nullopt : std::optional(lostContactRetryAfter);
        deliver(refusalReply(hasRun ? statusBadGateway : statusUnavailable, cause, wait), cause);
        return;
    }
    deliver(std::move(*result.reply), "served by another host");
}

void ForwardOperation::onContactLost()
{
    if (shards_ != nullptr) {
        const GatherState state = gatherState();
        if (coverageReached(state.succeeded, state.total, state.minimumCoverage)) {
            return;
        }
    }
    tryPassOn("no target can be reached any more");
}

void ForwardOperation::onCallEnded(std::size_t index, CallResult result)
{
    if (!handler_) {
        return;
    }
    calls_[index].ended = true;
    calls_[index].result = std::move(result);
    if (shards_ == nullptr) {
        finishSingle();
    } else {
        advanceGather();
    }
}

void ForwardOperation::finishSingle()
{
    CallResult &result = calls_.front().result;
    const bool passable
        = result.response && !result.response->signature.empty() && !result.response->encoded && !impliesNotRun(result.response->status);
    if (result.success || passable) {
        forwardResponse(std::move(*result.response));
        return;
    }
    if (!environment_.contact.isLost() || !tryPassOn(result.cause)) {
        refuse(result.verdict == Verdict::NotRun ? statusUnavailable : statusBadGateway, result.cause);
    }
}

GatherState ForwardOperation::gatherState() const
{
    GatherState state{calls_.size(), 0, 0, shards_->minimumCoverage, goalExpired_};
    for (const ServiceCall &call : calls_) {
        state.succeeded += call.ended && call.result.success ? 1 : 0;
        state.pending += call.ended ? 0 : 1;
    }
    return state;
}

void ForwardOperation::advanceGather()
{
    switch (gatherStep(gatherState())) {
    case GatherStep::Wait:
        return;
    case GatherStep::Respond:
        respondMerged();
        return;
    case GatherStep::GiveUp:
        if (!environment_.contact.isLost() || !tryPassOn("too few shards answered")) {
            refuse(verdict() == Verdict::NotRun ? statusUnavailable : statusBadGateway, "too few shards answered");
        }
        return;
    }
}

void ForwardOperation::onGoalExpired()
{
    goalExpired_ = true;
    if (handler_) {
        advanceGather();
    }
}

void ForwardOperation::onDeadlineExpired()
{
    if (!handler_) {
        return;
    }
    if (cancelHandoff_) {
        verdictBeforeHandoff_ = Verdict::MayHaveRun;
        deliver(refusalReply(statusGatewayTimeout, "deadline reached", std::nullopt), "deadline reached at another host");
        return;
    }
    if (shards_ != nullptr) {
        const GatherState state = gatherState();
        if (coverageReached(state.succeeded, state.total, state.minimumCoverage)) {
            respondMerged();
            return;
        }
    }
    refuse(verdict() == Verdict::NotRun ? statusUnavailable : statusGatewayTimeout, "deadline reached");
}

void ForwardOperation::respondMerged()
{
    std::vector<std::string> signatures;
    std::vector<std::string_view> bodies;
    for (const ServiceCall &call : calls_) {
        if (!call.ended || !call.result.success) {
            continue;
        }
        signatures.push_back(call.result.response->signature);
        bodies.push_back(call.result.response->body);
    }
    const std::size_t missing = calls_.size() - signatures.size();
    ServiceReply reply = environment_.codec.encodeMergedResponse(signatures, missing, greatestRecords(bodies, shards_->topRecords));
    for (const ServiceCall &call : calls_) {
        if (call.ended && call.result.success) {
            continue;
        }
        environment_.counters.add(fmt::format("magnoliaspan_parts_missing_total{{cause=\"{}\"}}", call.ended ? call.result.cause : "late"));
    }
    deliver(std::move(reply), missing == 0 ? "whole" : "partial");
}

void ForwardOperation::forwardResponse(TargetResponse response)
{
    ServiceReply reply;
    reply.status = response.status;
    reply.contentType.clear();
    reply.headers = std::move(response.headers);
    reply.body = std::move(response.body);
    deliver(std::move(reply), "answered");
}

Verdict ForwardOperation::verdict() const
{
    Verdict all = Verdict::NotRun;
    for (const ServiceCall &call : calls_) {
        all = combine(all, call.ended ? call.result.verdict : call.shardCall->verdict());
        if (call.shardCall->hasSentBytes() && !call.ended) {
            all = combine(all, Verdict::MayHaveRun);
        }
    }
    return all;
}

Duration ForwardOperation::retryAfter() const
{
    const TimePoint now = environment_.clock.now();
    std::optional<TimePoint> earliest;
    for (const ServiceCall &call : calls_) {
        const auto retryAt = replicas_.nextRetry({call.shardCall->service(), context_->route->name, context_->route->allowedRegions, {}});
        if (retryAt && (!earliest || *retryAt < *earliest)) {
            earliest = retryAt;
        }
    }
    return earliest ? std::max(minRetryAfter, *earliest - now) : unlistedRetryAfter;
}

void ForwardOperation::refuse(unsigned status, std::string_view cause)
{
    const auto wait = status == statusUnavailable ? std::optional<Duration>(retryAfter()) : std::nullopt;
    deliver(refusalReply(status, cause, wait), cause);
}

std::string ForwardOperation::describeMissing() const
{
    std::string text;
    for (const ServiceCall &call : calls_) {
        if (call.ended && call.result.success) {
            continue;
        }
        text += fmt::format("{}{}:{}", text.empty() ? "" : ",", call.shardCall->service(), call.ended ? call.result.cause : "late");
    }
    return text;
}

void ForwardOperation::deliver(ServiceReply reply, std::string_view outcome)
{
    const TimePoint now = environment_.clock.now();
    environment_.scheduler.cancel(goalTimer_);
    environment_.scheduler.cancel(deadlineTimer_);
    unsigned attempts = 0;
    for (const ServiceCall &call : calls_) {
        attempts += call.shardCall->attemptCount();
    }
    const auto ms = [](Duration duration) { return static_cast<double>(duration.count()) / 1'000; };
    environment_.journal.record(
        LogCategory::Plan,
        context_->request.id,
        fmt::format("request ended route={} table={} status={} outcome=\"{}\" services={} sends={} max_targets={} repeatable={} missing={} "
                    "took_ms={:.1f} goal_left_ms={:.1f} deadline_left_ms={:.1f}",
                    toLogValue(context_->route->name),
                    context_->table->version(),
                    reply.status,
                    outcome,
                    calls_.size(),
                    attempts,
                    context_->route->maxTargets,
                    context_->route->repeatability == Repeatability::Idempotent,
                    quoteForLog(describeMissing()),
                    ms(now - startedAt_),
                    ms(context_->goal - now),
                    ms(context_->deadline - now)));
    environment_.counters.observe(
        fmt::format("magnoliaspan_request_seconds{{route=\"{}\",status=\"{}\"}}", toLabelValue(context_->route->name), reply.status),
        now - startedAt_);
    for (ServiceCall &call : calls_) {
        call.shardCall->cancel(false);
    }
    if (const auto cancelHandoff = std::exchange(cancelHandoff_, nullptr)) {
        cancelHandoff();
    }
    const auto handler = std::move(handler_);
    handler_ = nullptr;
    handler({std::move(reply), servicesReachable_});
}

void ForwardOperation::cancel()
{
    if (!handler_) {
        return;
    }
    handler_ = nullptr;
    environment_.scheduler.cancel(goalTimer_);
    environment_.scheduler.cancel(deadlineTimer_);
    environment_.journal.record(LogCategory::Plan, context_->request.id, "caller disconnected before the response");
    environment_.counters.add("magnoliaspan_callers_left_total");
    for (ServiceCall &call : calls_) {
        call.shardCall->cancel(true);
    }
    if (const auto cancelHandoff = std::exchange(cancelHandoff_, nullptr)) {
        cancelHandoff();
    }
}

} // namespace magnoliaspan
