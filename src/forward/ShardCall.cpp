/*
 * Decides when a call is hedged, retried, moved or ended.
 */
#include "forward/ShardCall.h"

#include "core/Text.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

// An attempt whose response is no longer needed runs on for this long, so that its connection can be kept; targets must be
// free of work that nobody waits for within half a second.
constexpr Duration detachedRunTime = std::chrono::milliseconds(400);
// Refusals after which a request is still retried; they do not count as targets at which it may run.
constexpr unsigned maxRefusals = 5;
// A queued attempt that must not run twice is moved to another target if it has no connection after this time.
constexpr Duration maxUnsentTime = std::chrono::milliseconds(150);
// While the budget of extra sends is used up, a hedge is tried again at this interval, as the target may be dead.
constexpr Duration hedgeRetryInterval = std::chrono::milliseconds(100);
// A refusal is useful to the caller within the first quarter of its latency goal.
constexpr int refusalGoalDivisor = 4;
// Allows several retries within the shortest latency goals without a busy loop.
constexpr Duration retryInterval = std::chrono::milliseconds(15);
// A target that sheds has free slots again within the time of a few requests.
constexpr Duration shedRetryInterval = std::chrono::milliseconds(40);

long long milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

ShardCall::ShardCall(const ForwardEnvironment &environment,
                     ReplicaController &replicas,
                     std::shared_ptr<const CallContext> context,
                     std::string service)
    : environment_(environment)
    , replicas_(replicas)
    , context_(std::move(context))
    , service_(std::move(service))
{
}

void ShardCall::start(Handler handler)
{
    handler_ = std::move(handler);
    replicas_.recordRequest(service_);
    retryOrFinish();
}

ReplicaQuery ShardCall::query() const
{
    return {service_, context_->route->name, context_->route->allowedRegions, excluded_};
}

Verdict ShardCall::verdict() const
{
    if (lastFailure_) {
        return Verdict::Ran;
    }
    return possibleRuns_ > 0 || connectionRejected_ ? Verdict::MayHaveRun : Verdict::NotRun;
}

bool ShardCall::hasSentBytes() const
{
    return sentAttempts_ > 0
           || std::any_of(running_.begin(), running_.end(), [](const Attempt &attempt) { return !attempt.replica->isQueued(attempt.id); });
}

unsigned ShardCall::attemptCount() const
{
    return attemptCount_;
}

const std::string &ShardCall::service() const
{
    return service_;
}

ShardCall::StartResult ShardCall::startAttempt(AttemptReason reason, std::shared_ptr<CrashTrial> trial)
{
    if (!trial) {
        SendPermit permit = environment_.crashGuard.acquireSend(context_->fingerprint);
        if (permit.decision != SendDecision::Allowed) {
            return permit.decision == SendDecision::Deferred ? StartResult::Deferred : StartResult::NoTarget;
        }
        trial = std::move(permit.trial);
    }
    const auto replica = replicas_.pick(query());
    if (!replica) {
        return StartResult::NoTarget;
    }
    // Only attempts after the first one sent use the budget: those that never left this host put no load on the service.
    if (sentAttempts_ > 0 && !replicas_.tryAcquireExtraSend(service_)) {
        environment_.counters.add("magnoliaspan_extra_sends_denied_total");
        return StartResult::NoTarget;
    }
    Attempt attempt;
    attempt.replica = replica;
    attempt.number = ++attemptCount_;
    attempt.startedAt = environment_.clock.now();
    attempt.expectedLatency = replica->expectedLatency(
        context_->route->name, replicas_.baselineFor(service_, context_->route->name, replica->limits().otherRegion));
    excluded_.push_back(replica->entry().id);
    AttemptOptions options;
    options.request = &context_->request;
    options.workKind = context_->route->name;
    options.goal = context_->goal;
    options.deadline = context_->deadline;
    options.idempotent = context_->route->repeatability == Repeatability::Idempotent;
    options.fingerprint = context_->fingerprint;
    options.trial = trial;
    attempt.trial = std::move(trial);
    options.handler
        = [self = shared_from_this(), number = attempt.number](AttemptResult result) { self->onAttemptEnded(number, std::move(result)); };
    attempt.id = replica->send(std::move(options));
    if (replica->isQueued(attempt.id) && replica->isConnectingForQueue()) {
        attempt.connectTime = replicas_.connectTime(replica->limits().otherRegion);
    }
    running_.push_back(attempt);
    environment_.counters.add("magnoliaspan_sends_total");
    if (reason != AttemptReason::Initial) {
        environment_.counters.add(reason == AttemptReason::Hedge ? "magnoliaspan_second_sends_total" : "magnoliaspan_retries_total");
        logAttempt(reason == AttemptReason::Hedge ? "hedge sent" : "retry sent", attempt, cause_);
    }
    sentAttempts_ += replica->isQueued(attempt.id) ? 0 : 1;
    armHedgeTimer();
    endTrialWhenLate(attempt);
    return StartResult::Started;
}

// Other shards do not wait for a target that may be hanging.
void ShardCall::endTrialWhenLate(const Attempt &attempt)
{
    if (!attempt.trial) {
        return;
    }
    const TimePoint late = attempt.startedAt + attempt.connectTime + hedgeDelay(attempt.expectedLatency, context_->single);
    environment_.scheduler.callAt(late, [weak = std::weak_ptr<CrashTrial>(attempt.trial)] {
        if (const auto trial = weak.lock()) {
            trial->end();
        }
    });
}

void ShardCall::waitForTrials()
{
    cause_ = "other targets run this request first, as it may crash them";
    environment_.scheduler.cancel(timer_);
    timer_ = TimerId::None;
    environment_.counters.add("magnoliaspan_sends_deferred_total");
    environment_.crashGuard.waitForTrials(context_->fingerprint, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->handler_ && self->running_.empty() && self->timer_ == TimerId::None) {
            self->retryOrFinish();
        }
    });
}

bool ShardCall::canRetry() const
{
    if (environment_.crashGuard.refusedUntil(context_->fingerprint)) {
        return false;
    }
    const bool idempotent = context_->route->repeatability == Repeatability::Idempotent;
    const auto running = static_cast<unsigned>(running_.size());
    if (!idempotent) {
        return possibleRuns_ + running == 0 && !connectionRejected_ && refusals_ <= maxRefusals;
    }
    return possibleRuns_ + running < context_->route->maxTargets && refusals_ <= maxRefusals;
}

// Sets the timer for the moment at which the only running attempt counts as late.
void ShardCall::armHedgeTimer()
{
    environment_.scheduler.cancel(timer_);
    timer_ = TimerId::None;
    if (running_.size() != 1 || !handler_) {
        return;
    }
    const Attempt &attempt = running_.front();
    const bool idempotent = context_->route->repeatability == Repeatability::Idempotent;
    Duration delay = idempotent ? attempt.connectTime + hedgeDelay(attempt.expectedLatency, context_->single) : maxUnsentTime;
    // A hedge that cannot respond before the latency goal is of little use, so it is sent earlier, but not before an ordinary
    // response of the first attempt.
    const TimePoint lastUsefulStart = context_->goal - goalReserve - hedgeDuration(attempt);
    if (idempotent && context_->goal > environment_.clock.now()) {
        const TimePoint earliest = attempt.startedAt + attempt.connectTime + attempt.expectedLatency + attempt.expectedLatency / 2;
        armHedgeTimerAt(std::min(attempt.startedAt + delay, std::max(earliest, lastUsefulStart)));
        return;
    }
    armHedgeTimerAt(attempt.startedAt + delay);
}

// Time that a hedge of the first attempt would take, rather longer than expected.
Duration ShardCall::hedgeDuration(const Attempt &first) const
{
    const Duration expected = replicas_.expectedDuration(query()).value_or(first.expectedLatency);
    return expected + expected / 4;
}

void ShardCall::armHedgeTimerAt(TimePoint instant)
{
    timer_ = environment_.scheduler.callAt(instant, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onHedgeTimer();
        }
    });
}

void ShardCall::onHedgeTimer()
{
    timer_ = TimerId::None;
    if (!handler_ || running_.size() != 1) {
        return;
    }
    const Attempt first = running_.front();
    // A hedge may be needed earlier than the trial ends by itself.
    if (first.trial) {
        first.trial->end();
    }
    if (first.replica->isQueued(first.id)) {
        moveQueuedAttempt(first);
        return;
    }
    sentAttempts_ = std::max(sentAttempts_, 1U);
    environment_.contact.recordSilence(first.replica->entry().id);
    if (!canRetry()) {
        return;
    }
    cause_ = "late";
    if (startAttempt(AttemptReason::Hedge) != StartResult::Started) {
        armHedgeTimerAt(environment_.clock.now() + hedgeRetryInterval);
    }
}

// Moving a queued attempt to another replica costs nothing, as no byte of it was sent. Without another it stays queued.
void ShardCall::moveQueuedAttempt(const Attempt &first)
{
    running_.clear();
    cause_ = "no connection in time";
    if (startAttempt(AttemptReason::Retry, first.trial) != StartResult::Started) {
        running_.push_back(first);
        return;
    }
    logAttempt("queued attempt moved to another target", first, cause_);
    first.replica->cancel(first.id);
    // This target was not at fault, only busy, so it may be selected again.
    std::erase(excluded_, first.replica->entry().id);
}

void ShardCall::onAttemptEnded(std::uint64_t number, AttemptResult result)
{
    const auto found
        = std::find_if(running_.begin(), running_.end(), [number](const Attempt &attempt) { return attempt.number == number; });
    if (!handler_ || found == running_.end()) {
        return;
    }
    Attempt attempt = *found;
    running_.erase(found);
    attempt.trial.reset();
    if (result.connectTime) {
        replicas_.recordConnectTime(attempt.replica->limits().otherRegion, *result.connectTime);
    }
    const bool sent = result.outcome != AttemptOutcome::NeverSent && result.outcome != AttemptOutcome::Withheld;
    if (!result.hasArrived) {
        sentAttempts_ -= std::min(sentAttempts_, 1U);
    } else if (sent) {
        sentAttempts_ = std::max(sentAttempts_, 1U);
    }
    if (result.outcome == AttemptOutcome::Answered && isSuccess(result.response)) {
        environment_.counters.observe(fmt::format("magnoliaspan_send_seconds{{route=\"{}\"}}", toLabelValue(context_->route->name)),
                                      result.elapsed);
        replicas_.recordLatency(context_->route->name, attempt.replica->limits().otherRegion, result.elapsed);
        finish({true, std::move(result.response), Verdict::Ran, ""});
        return;
    }
    const std::string status = result.response.status > 0 ? fmt::format(" status={}", result.response.status) : "";
    cause_ = fmt::format("{}{}", toString(result.outcome), status);
    logAttempt("attempt failed", attempt, cause_);
    environment_.counters.add(fmt::format("magnoliaspan_send_failures_total{{end=\"{}\"}}", toString(result.outcome)));
    if (result.outcome == AttemptOutcome::Answered) {
        lastFailure_ = std::move(result.response);
    }
    if (result.outcome == AttemptOutcome::Answered || result.outcome == AttemptOutcome::Lost) {
        ++possibleRuns_;
    } else if (sent) {
        // A reset new connection suggests that it has not run: enough to retry idempotent requests, but not to report it as
        // not run.
        connectionRejected_ = connectionRejected_ || result.outcome == AttemptOutcome::ConnectionRejected;
        ++refusals_;
        if (result.outcome == AttemptOutcome::NotRun) {
            shedding_.push_back(attempt.replica->entry().id);
        }
    }
    if (result.outcome == AttemptOutcome::Withheld) {
        std::erase(excluded_, attempt.replica->entry().id);
    }
    retryOrFinish();
}

void ShardCall::retryOrFinish()
{
    if (attemptCount_ == 0 || canRetry()) {
        const StartResult started = startAttempt(attemptCount_ == 0 ? AttemptReason::Initial : AttemptReason::Retry);
        if (started == StartResult::Started) {
            return;
        }
        if (started == StartResult::Deferred && running_.empty()) {
            waitForTrials();
            return;
        }
    }
    if (!running_.empty()) {
        armHedgeTimer();
        return;
    }
    if (environment_.crashGuard.refusedUntil(context_->fingerprint)) {
        cause_ = "request crashed targets";
    } else if (canRetry() && scheduleRetry()) {
        return;
    }
    finish({false, std::move(lastFailure_), verdict(), cause_});
}

// Waits until a target can be reached again or the budget allows another attempt, unless the latency goal would be missed.
bool ShardCall::scheduleRetry()
{
    const TimePoint now = environment_.clock.now();
    const Duration wait = shedding_.empty() ? retryInterval : shedRetryInterval;
    for (const std::string &target : shedding_) {
        std::erase(excluded_, target);
    }
    shedding_.clear();
    const auto nextRetry = replicas_.nextRetry(query());
    const TimePoint retryAt = replicas_.isAvailable(query()) ? now + wait : std::max(now + wait, nextRetry.value_or(now));
    const bool unavailable = !nextRetry && !replicas_.isAvailable(query());
    // A request that has not run is better refused early, so that its caller can try another host in time.
    const bool refusable = context_->single && verdict() == Verdict::NotRun;
    if (refusable && retryAt > context_->goal - context_->route->latencyGoal + context_->route->latencyGoal / refusalGoalDivisor) {
        return false;
    }
    if (unavailable || retryAt + replicas_.baselineLatency(context_->route->name, false) > std::min(context_->goal, context_->deadline)) {
        return false;
    }
    timer_ = environment_.scheduler.callAt(retryAt, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onRetryTimer();
        }
    });
    return true;
}

void ShardCall::onRetryTimer()
{
    timer_ = TimerId::None;
    if (handler_) {
        retryOrFinish();
    }
}

void ShardCall::finish(CallResult result)
{
    environment_.scheduler.cancel(timer_);
    dropAttempts(false);
    const auto handler = std::move(handler_);
    handler_ = nullptr;
    environment_.scheduler.callAt(environment_.clock.now(), [self = shared_from_this(), handler, result = std::move(result)]() mutable {
        handler(std::move(result));
    });
}

void ShardCall::cancel(bool callerDisconnected)
{
    environment_.scheduler.cancel(timer_);
    handler_ = nullptr;
    dropAttempts(callerDisconnected);
}

void ShardCall::dropAttempts(bool callerDisconnected)
{
    const bool idempotent = context_->route->repeatability == Repeatability::Idempotent;
    for (const Attempt &attempt : running_) {
        if (attempt.replica->isQueued(attempt.id) || (callerDisconnected && idempotent)) {
            attempt.replica->cancel(attempt.id);
        } else {
            // A request that must not run twice is not aborted: it would be unknown whether it ran.
            attempt.replica->detach(attempt.id, idempotent ? environment_.clock.now() + detachedRunTime : context_->deadline);
        }
    }
    running_.clear();
}

void ShardCall::logAttempt(std::string_view what, const Attempt &attempt, std::string_view detail) const
{
    environment_.journal.record(LogCategory::Route,
                                context_->request.id,
                                fmt::format("{} service={} target={} send={} cause=\"{}\" expected_ms={} waited_ms={} table={}",
                                            what,
                                            toLogValue(service_),
                                            toLogValue(attempt.replica->entry().id),
                                            attempt.number,
                                            detail,
                                            milliseconds(attempt.expectedLatency),
                                            milliseconds(environment_.clock.now() - attempt.startedAt),
                                            context_->table->version()));
}

} // namespace magnoliaspan
