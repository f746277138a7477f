/*
 * Part request: attempts for one shard.
 */
#include "request/SingleShardOperation.h"

#include "request/RunEvidence.h"
#include "transport/TransportError.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr Duration retryPause = std::chrono::milliseconds(5);
constexpr Duration pollInterval = std::chrono::milliseconds(10);
// An unanswered attempt leaves as much time for another on a new connection.
constexpr int silentParts = 2; // Of the time to the deadline.
// The answer to non-idempotent work is awaited a little longer than its
// deadline, because it may say for certain what became of it.
constexpr Duration lastWord = std::chrono::milliseconds(10);

} // namespace

SingleShardOperation::SingleShardOperation(RequestServices &services,
                                           ShardWork work,
                                           std::string requestId,
                                           std::vector<std::string> replicas,
                                           TimePoint deadline,
                                           bool mayUsePeers,
                                           Handler handler)
    : services_(services)
    , work_(std::move(work))
    , requestId_(std::move(requestId))
    , replicas_(std::move(replicas))
    , deadline_(deadline)
    , mayUsePeers_(mayUsePeers)
    , handler_(std::move(handler))
    , operation_(services.nextOperation())
    , fingerprint_(fingerprintOf(systemOf(work_), contentOf(work_)))
    , state_(services.systems.find(systemOf(work_)))
{
    assert(state_ != nullptr && "the filters admit only known systems");
}

SingleShardOperation::~SingleShardOperation()
{
    services_.scheduler.cancel(timer_);
}

void SingleShardOperation::start()
{
    state_->begun(services_.clock.now());
    trySend();
    if (handler_) {
        arm();
    }
}

bool SingleShardOperation::capacityFreed()
{
    if (handler_ && running_.empty()) {
        trySend();
    }
    queued_ = handler_ && running_.empty();
    return queued_;
}

ConnectionNeed SingleShardOperation::need() const
{
    return isIdempotent(work_) ? ConnectionNeed::Any : ConnectionNeed::FreshOrJustProved;
}

std::optional<Route> SingleShardOperation::pick(ConnectionNeed connection, NoRoute &why)
{
    const EnvironmentPtr document = services_.configuration.current();
    return services_.targets.pick({*document, replicas_, tried_, snapshotOf(work_), connection, deadline_, mayUsePeers_}, why);
}

void SingleShardOperation::trySend()
{
    const TimePoint now = services_.clock.now();
    if (!handler_ || !running_.empty() || now < notBefore_ || !services_.pause.fresh(now)) {
        return;
    }
    const Suspicion suspicion = services_.quarantine.suspicion(fingerprint_);
    if (suspicion == Suspicion::Quarantined) {
        end({verdict_, std::nullopt, "quarantined"});
        return;
    }
    NoRoute why = NoRoute::Busy;
    const auto route = pick(need(), why);
    if (!route) {
        if (why == NoRoute::NoReplica && !tried_.empty()) {
            tried_.clear();
            notBefore_ = now + retryPause;
        }
        if (!queued_) {
            queued_ = true;
            state_->wait(weak_from_this());
        }
        return;
    }
    if (needsRetryToken_ && !state_->retries.spend()) {
        notBefore_ = now + retryPause;
        return;
    }
    needsRetryToken_ = false;
    const bool singleRun = suspicion == Suspicion::Suspect;
    if (singleRun && !services_.quarantine.takeSingleRun(fingerprint_)) {
        return;
    }
    dispatch(*route, singleRun);
}

void SingleShardOperation::tryNewConnection()
{
    const TimePoint now = services_.clock.now();
    const bool alone = isIdempotent(work_) && running_.size() == 1 && !running_.front().singleRun;
    if (!alone || now < secondAt_ || !services_.pause.fresh(now)) {
        return;
    }
    NoRoute why = NoRoute::Busy;
    const auto route = pick(ConnectionNeed::New, why);
    if (!route || !state_->retries.spend()) {
        secondAt_ = now + pollInterval;
        return;
    }
    dispatch(*route, false);
}

void SingleShardOperation::dispatch(const Route &route, bool singleRun)
{
    const TimePoint now = services_.clock.now();
    Attempt attempt;
    attempt.number = ++attempts_;
    attempt.link = route.link;
    attempt.linkName = route.link->address().name;
    attempt.viaPeer = route.viaPeer;
    attempt.singleRun = singleRun;
    LinkRequest request;
    request.requestId = fmt::format("{}.{}.{}", services_.seat, operation_, attempt.number);
    request.shard = shardOf(work_);
    request.wire.path = pathOf(work_, route.viaPeer);
    request.wire.body = encodeAs(work_, request.requestId, services_.clock.toWall(route.permit.deadline));
    if (route.viaPeer) {
        request.wire.authorization = services_.authorize(request.wire.path, request.wire.body);
    }
    request.deadline = route.permit.deadline;
    request.silentAfter = route.permit.deadline + lastWord;
    request.handler = [weak = weak_from_this(), number = attempt.number](LinkReply reply) {
        if (const auto self = weak.lock()) {
            self->replied(number, std::move(reply));
        }
    };
    state_->retries.earn();
    services_.counters.add("magnoliaspan_subrequests_total");
    services_.journal.record(isIdempotent(work_) ? LogCategory::Route : LogCategory::Submit,
                             requestId_,
                             fmt::format("work sent shard={} {}={} attempt={} reason=\"{}\"",
                                         request.shard,
                                         route.viaPeer ? "seat" : "target",
                                         attempt.linkName,
                                         attempt.number,
                                         route.reason));
    secondAt_ = now + (deadline_ - now) / silentParts;
    running_.push_back(attempt);
    const ExchangeId exchange = route.link->send(route.permit, std::move(request));
    running_.back().exchange = exchange;
}

void SingleShardOperation::replied(unsigned number, LinkReply reply)
{
    const auto found
        = std::find_if(running_.begin(), running_.end(), [number](const Attempt &attempt) { return attempt.number == number; });
    if (found == running_.end() || !handler_) {
        return;
    }
    const Attempt attempt = *found;
    running_.erase(found);
    const auto self = shared_from_this();
    reportEvidence(services_.quarantine, {fingerprint_, attempt.linkName, attempt.viaPeer, attempt.singleRun}, reply);
    verdict_ = combine(verdict_, reply.verdict());
    if (reply.reply && reply.reply->outcome == ShardOutcome::Answered) {
        end({verdict_, std::move(reply.reply), ""});
        return;
    }
    failure_ = reply.error ? reply.error.message() : std::string(toString(reply.reply->outcome));
    services_.journal.record(
        isIdempotent(work_) ? LogCategory::Route : LogCategory::Submit,
        requestId_,
        fmt::format(
            "work failed shard={} link={} reason={} verdict={}", shardOf(work_), attempt.linkName, failure_, toString(reply.verdict())));
    if (!running_.empty()) {
        return;
    }
    if (!mayTryAgain(reply)) {
        end({verdict_, std::move(reply.reply), failure_});
        return;
    }
    rememberTried(attempt.linkName, reply);
    lastReply_ = std::move(reply.reply);
    // What never reached the target cost it nothing.
    needsRetryToken_ = reply.bytesSent;
    trySend();
    if (handler_) {
        arm();
    }
}

void SingleShardOperation::cancelAttempts()
{
    for (const Attempt &attempt : running_) {
        attempt.link->abandon(attempt.exchange);
        verdict_ = combine(verdict_, Verdict::MayHaveRun);
        if (attempt.singleRun) {
            services_.quarantine.releaseSingleRun(fingerprint_);
        }
    }
    running_.clear();
}

bool SingleShardOperation::mayTryAgain(const LinkReply &reply) const
{
    if (services_.clock.now() >= deadline_) {
        return false;
    }
    if (isIdempotent(work_)) {
        const bool final
            = reply.reply && reply.reply->outcome == ShardOutcome::SnapshotUnavailable && replicas_.size() <= tried_.size() + 1;
        return !final;
    }
    return reply.verdict() == Verdict::NotRun;
}

void SingleShardOperation::rememberTried(const std::string &linkName, const LinkReply &reply)
{
    const bool silent = reply.error == make_error_code(TransportError::Silent);
    const bool known = std::find(tried_.begin(), tried_.end(), linkName) != tried_.end();
    if (!silent && !known) {
        tried_.push_back(linkName);
    }
}

void SingleShardOperation::end(SingleShardResult result)
{
    if (!handler_) {
        return;
    }
    Handler handler = std::move(handler_);
    handler_ = nullptr;
    cancelAttempts();
    services_.scheduler.cancel(timer_);
    state_->ended(services_.clock.now());
    handler(std::move(result));
}

bool SingleShardOperation::abandon()
{
    if (!handler_ || !isIdempotent(work_)) {
        return false;
    }
    cancelAttempts();
    handler_ = nullptr;
    services_.scheduler.cancel(timer_);
    state_->ended(services_.clock.now());
    return true;
}

void SingleShardOperation::wake()
{
    if (!handler_) {
        return;
    }
    const TimePoint now = services_.clock.now();
    const bool over = now >= deadline_;
    if (over && running_.empty()) {
        end({verdict_, std::move(lastReply_), failure_});
        return;
    }
    if (over && isIdempotent(work_)) {
        cancelAttempts();
        end({verdict_, std::nullopt, "not answered in time"});
        return;
    }
    tryNewConnection();
    trySend();
    if (handler_) {
        arm();
    }
}

void SingleShardOperation::arm()
{
    services_.scheduler.cancel(timer_);
    const TimePoint now = services_.clock.now();
    const TimePoint waiting
        = isIdempotent(work_) ? std::min(deadline_, std::max(secondAt_, now + pollInterval)) : std::max(deadline_, now + pollInterval);
    const TimePoint due = running_.empty() ? std::min(deadline_, now + pollInterval) : waiting;
    timer_ = services_.scheduler.callAt(due, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->wake();
        }
    });
}

} // namespace magnoliaspan
