/*
 * Part forward: when to send again, and where.
 */
#include "forward/ShardCall.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

// A send that lost runs on this long, so that its connection can be kept; targets must be idle of work nobody waits for
// within half a second.
constexpr Duration lingerTime = std::chrono::milliseconds(400);
// Beyond the targets that may run a request, this many that refuse to are asked.
constexpr unsigned maxRefusals = 2;
// A send of work that must not run twice moves to another target when no connection stands after this time.
constexpr Duration unsentLimit = std::chrono::milliseconds(150);
// A send that is late while the budget of extra sends is used up asks again after this time: its target may be dead.
constexpr Duration lateInterval = std::chrono::milliseconds(100);
// A refusal is of full use to the caller within the first quarter of its latency goal.
constexpr int refusalParts = 4;
// Several times within the shortest latency goals, and no busy loop.
constexpr Duration parkInterval = std::chrono::milliseconds(15);
// A target that sheds has slots free again within some requests' time.
constexpr Duration refusalInterval = std::chrono::milliseconds(40);

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
    replicas_.requestBegins(service_);
    if (!sendNext(Reason::First)) {
        afterFailure();
    }
}

ReplicaQuery ShardCall::query() const
{
    return {service_, context_->route->name, context_->route->allowedRegions, tried_};
}

Verdict ShardCall::verdict() const
{
    if (failure_) {
        return Verdict::Ran;
    }
    return mayHaveRun_ > 0 || turnedAway_ ? Verdict::MayHaveRun : Verdict::NotRun;
}

bool ShardCall::offered() const
{
    return arrivals_ > 0
           || std::any_of(running_.begin(), running_.end(), [](const Attempt &attempt) { return !attempt.replica->waiting(attempt.send); });
}

unsigned ShardCall::sends() const
{
    return sends_;
}

const std::string &ShardCall::service() const
{
    return service_;
}

bool ShardCall::sendNext(Reason reason)
{
    const auto replica = replicas_.pick(query());
    if (!replica) {
        return false;
    }
    // What never left this host is no extra load for the service.
    if (arrivals_ > 0 && !replicas_.takeExtraSend(service_)) {
        environment_.counters.add("magnoliaspan_extra_sends_denied_total");
        return false;
    }
    Attempt attempt;
    attempt.replica = replica;
    attempt.number = ++sends_;
    attempt.startedAt = environment_.clock.now();
    attempt.expected
        = replica->expected(context_->route->name, replicas_.usualAt(service_, context_->route->name, replica->limits().otherRegion));
    tried_.push_back(replica->entry().id);
    SendOrder order;
    order.request = &context_->request;
    order.workKind = context_->route->name;
    order.goal = context_->goal;
    order.deadline = context_->deadline;
    order.repeatable = context_->route->repeatability == Repeatability::Idempotent;
    order.handler = [self = shared_from_this(), number = attempt.number](SendResult result) { self->ended(number, std::move(result)); };
    attempt.send = replica->send(std::move(order));
    running_.push_back(attempt);
    environment_.counters.add("magnoliaspan_sends_total");
    if (reason != Reason::First) {
        environment_.counters.add(reason == Reason::Late ? "magnoliaspan_second_sends_total" : "magnoliaspan_retries_total");
        note(reason == Reason::Late ? "sent again, the first is late" : "sent again after a failure", attempt, cause_);
    }
    arrivals_ += replica->waiting(attempt.send) ? 0 : 1;
    arm();
    return true;
}

bool ShardCall::mayRunAgain() const
{
    if (environment_.crashes.refusedUntil(context_->fingerprint)) {
        return false;
    }
    const bool repeatable = context_->route->repeatability == Repeatability::Idempotent;
    const auto running = static_cast<unsigned>(running_.size());
    if (!repeatable) {
        return mayHaveRun_ + running == 0 && !turnedAway_ && refused_ <= maxRefusals;
    }
    return mayHaveRun_ + running < context_->route->maxTargets && refused_ <= maxRefusals;
}

// Sets the timer for the moment at which the only running send counts as late.
void ShardCall::arm()
{
    environment_.scheduler.cancel(timer_);
    timer_ = TimerId::None;
    if (running_.size() != 1 || !handler_) {
        return;
    }
    const Attempt &attempt = running_.front();
    const bool repeatable = context_->route->repeatability == Repeatability::Idempotent;
    Duration delay = repeatable ? secondSendDelay(attempt.expected, context_->single) : unsentLimit;
    // A second send that cannot answer before the goal is of little use.
    const TimePoint now = environment_.clock.now();
    const TimePoint lastUse = context_->goal - goalReserve - attempt.expected - attempt.expected / 2;
    if (repeatable && lastUse > now && attempt.startedAt + delay > lastUse) {
        delay = std::max(attempt.expected + attempt.expected / 2, lastUse - attempt.startedAt);
    }
    armAt(attempt.startedAt + delay);
}

void ShardCall::armAt(TimePoint instant)
{
    timer_ = environment_.scheduler.callAt(instant, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->secondDue();
        }
    });
}

void ShardCall::secondDue()
{
    timer_ = TimerId::None;
    if (!handler_ || running_.size() != 1) {
        return;
    }
    const Attempt first = running_.front();
    if (first.replica->waiting(first.send)) {
        moveWaiting(first);
        return;
    }
    arrivals_ = std::max(arrivals_, 1U);
    if (!mayRunAgain()) {
        return;
    }
    cause_ = "late";
    if (!sendNext(Reason::Late)) {
        armAt(environment_.clock.now() + lateInterval);
    }
}

// A send that waits for a connection may move to another replica at no cost; without another it goes on waiting.
void ShardCall::moveWaiting(const Attempt &first)
{
    running_.clear();
    cause_ = "no connection in time";
    if (!sendNext(Reason::Failed)) {
        running_.push_back(first);
        return;
    }
    note("send given up before it left", first, cause_);
    first.replica->abandon(first.send);
    // Nothing speaks against this target but its load.
    std::erase(tried_, first.replica->entry().id);
}

void ShardCall::ended(std::uint64_t number, SendResult result)
{
    const auto found
        = std::find_if(running_.begin(), running_.end(), [number](const Attempt &attempt) { return attempt.number == number; });
    if (!handler_ || found == running_.end()) {
        return;
    }
    const Attempt attempt = *found;
    running_.erase(found);
    tellCrashGuard(attempt, result);
    const bool left = result.end != SendEnd::NeverSent;
    if (result.end == SendEnd::TurnedAway) {
        arrivals_ -= std::min(arrivals_, 1U);
    } else if (left) {
        arrivals_ = std::max(arrivals_, 1U);
    }
    if (result.end == SendEnd::Answered && isGood(result.answer)) {
        environment_.counters.observe(fmt::format("magnoliaspan_send_seconds{{route=\"{}\"}}", context_->route->name), result.elapsed);
        replicas_.observe(context_->route->name, attempt.replica->limits().otherRegion, result.elapsed);
        finish({true, std::move(result.answer), Verdict::Ran, ""});
        return;
    }
    const std::string status = result.answer.status > 0 ? fmt::format(" status={}", result.answer.status) : "";
    cause_ = fmt::format("{}{}", toString(result.end), status);
    note("send failed", attempt, cause_);
    environment_.counters.add(fmt::format("magnoliaspan_send_failures_total{{end=\"{}\"}}", toString(result.end)));
    if (result.end == SendEnd::Answered) {
        failure_ = std::move(result.answer);
    }
    if (result.end == SendEnd::Answered || result.end == SendEnd::Lost) {
        ++mayHaveRun_;
    } else if (left) {
        // A guess that it has not run allows another try, but no promise.
        turnedAway_ = turnedAway_ || result.end == SendEnd::TurnedAway;
        ++refused_;
        if (result.end == SendEnd::NotRun) {
            refusing_.push_back(attempt.replica->entry().id);
        }
    }
    afterFailure();
}

void ShardCall::tellCrashGuard(const Attempt &attempt, const SendResult &result)
{
    CrashGuard &crashes = environment_.crashes;
    if (result.end == SendEnd::Lost) {
        crashes.lost(context_->fingerprint, attempt.replica->entry(), environment_.clock.now() - result.elapsed);
        return;
    }
    if (result.end == SendEnd::Answered || result.end == SendEnd::NotRun) {
        crashes.answered(attempt.replica->entry());
    }
    if (result.end == SendEnd::Answered) {
        crashes.completed(context_->fingerprint);
    }
}

void ShardCall::afterFailure()
{
    if (mayRunAgain() && sendNext(Reason::Failed)) {
        return;
    }
    if (!running_.empty()) {
        arm();
        return;
    }
    if (mayRunAgain() && park()) {
        return;
    }
    finish({false, std::move(failure_), verdict(), cause_});
}

// Waits for a target to be tried again or for leave to send once more, while the answer may still be of full use.
bool ShardCall::park()
{
    const TimePoint now = environment_.clock.now();
    const Duration wait = refusing_.empty() ? parkInterval : refusalInterval;
    for (const std::string &target : refusing_) {
        std::erase(tried_, target);
    }
    refusing_.clear();
    const auto trial = replicas_.nextTrial(query());
    const TimePoint retryAt = replicas_.available(query()) ? now + wait : std::max(now + wait, trial.value_or(now));
    const bool hopeless = !trial && !replicas_.available(query());
    // A request that ran nowhere is better refused soon, so that its caller can try another host in time.
    const bool refusable = context_->single && verdict() == Verdict::NotRun;
    if (refusable && retryAt > context_->goal - context_->route->latencyGoal + context_->route->latencyGoal / refusalParts) {
        return false;
    }
    if (hopeless || retryAt + replicas_.usual(context_->route->name, false) > std::min(context_->goal, context_->deadline)) {
        return false;
    }
    timer_ = environment_.scheduler.callAt(retryAt, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->retryParked();
        }
    });
    return true;
}

void ShardCall::retryParked()
{
    timer_ = TimerId::None;
    if (handler_) {
        afterFailure();
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

void ShardCall::stop(bool callerLeft)
{
    environment_.scheduler.cancel(timer_);
    handler_ = nullptr;
    dropAttempts(callerLeft);
}

void ShardCall::dropAttempts(bool callerLeft)
{
    const bool repeatable = context_->route->repeatability == Repeatability::Idempotent;
    for (const Attempt &attempt : running_) {
        if (attempt.replica->waiting(attempt.send) || (callerLeft && repeatable)) {
            attempt.replica->abandon(attempt.send);
        } else {
            // Work that must not run twice is not broken off: it could not be told whether it ran.
            attempt.replica->release(attempt.send, repeatable ? environment_.clock.now() + lingerTime : context_->deadline);
        }
    }
    running_.clear();
}

void ShardCall::note(std::string_view what, const Attempt &attempt, std::string_view detail) const
{
    environment_.journal.record(LogCategory::Route,
                                context_->request.id,
                                fmt::format("{} service={} target={} send={} cause=\"{}\" expected_ms={} waited_ms={} table={}",
                                            what,
                                            service_,
                                            attempt.replica->entry().id,
                                            attempt.number,
                                            detail,
                                            milliseconds(attempt.expected),
                                            milliseconds(environment_.clock.now() - attempt.startedAt),
                                            context_->table->version()));
}

} // namespace magnoliaspan
