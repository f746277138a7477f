/*
 * Sends and retries the work for one shard.
 */
#include "request/SingleShardOperation.h"

#include "request/CrashEvidence.h"
#include "transport/TransportError.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

// Pause before replicas that have failed are tried again, and before the next request for a retry token.
constexpr Duration retryDelay = std::chrono::milliseconds(5);
// How often work without a free replica is tried again.
constexpr Duration pollInterval = std::chrono::milliseconds(10);
// The connection of an unanswered attempt is assumed silent after the time to the deadline divided by this, which leaves
// as much time for another attempt on a new connection.
constexpr int silentTimeoutDivisor = 2;
// How long after its deadline a reply is still awaited, because it may establish whether non-idempotent work ran.
constexpr Duration replyGracePeriod = std::chrono::milliseconds(10);

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
    , operationId_(services.nextOperationId())
    , fingerprint_(fingerprintOf(systemOf(work_), contentOf(work_)))
    , systemState_(services.systems.find(systemOf(work_)))
{
    assert(systemState_ != nullptr && "the filters admit only known systems");
}

SingleShardOperation::~SingleShardOperation()
{
    services_.scheduler.cancel(timer_);
}

void SingleShardOperation::start()
{
    systemState_->recordRequestStart(services_.clock.now());
    trySend();
    if (handler_) {
        armTimer();
    }
}

bool SingleShardOperation::onCapacityFreed()
{
    if (handler_ && runningAttempts_.empty()) {
        trySend();
    }
    queued_ = handler_ && runningAttempts_.empty();
    return queued_;
}

ConnectionNeed SingleShardOperation::connectionNeed() const
{
    return isIdempotent(work_) ? ConnectionNeed::Any : ConnectionNeed::NewOrJustVerified;
}

std::optional<ReplicaRoute> SingleShardOperation::selectReplica(ConnectionNeed connection, RouteFailure &why)
{
    const EnvironmentPtr document = services_.configuration.current();
    return services_.targets.selectReplica({*document, replicas_, triedLinks_, snapshotOf(work_), connection, deadline_, mayUsePeers_},
                                           why);
}

void SingleShardOperation::trySend()
{
    const TimePoint now = services_.clock.now();
    if (!handler_ || !runningAttempts_.empty() || now < notBefore_ || !services_.pauseDetector.isStateFresh(now)) {
        return;
    }
    const Suspicion suspicion = services_.quarantine.suspicion(fingerprint_);
    if (suspicion == Suspicion::Quarantined) {
        finish({verdict_, std::nullopt, "quarantined"});
        return;
    }
    RouteFailure why = RouteFailure::Busy;
    const auto route = selectReplica(connectionNeed(), why);
    if (!route) {
        if (why == RouteFailure::NoReplica && !triedLinks_.empty()) {
            triedLinks_.clear();
            notBefore_ = now + retryDelay;
        }
        if (!queued_) {
            queued_ = true;
            systemState_->addWaiter(weak_from_this());
        }
        return;
    }
    if (needsRetryToken_ && !systemState_->retryBudget.tryAcquire()) {
        notBefore_ = now + retryDelay;
        return;
    }
    needsRetryToken_ = false;
    const bool singleRun = suspicion == Suspicion::Suspect;
    if (singleRun && !services_.quarantine.tryAcquireSingleRun(fingerprint_)) {
        return;
    }
    dispatch(*route, singleRun);
}

void SingleShardOperation::tryNewConnection()
{
    const TimePoint now = services_.clock.now();
    const bool hasOneAttempt = isIdempotent(work_) && runningAttempts_.size() == 1 && !runningAttempts_.front().singleRun;
    if (!hasOneAttempt || now < newConnectionAt_ || !services_.pauseDetector.isStateFresh(now)) {
        return;
    }
    RouteFailure why = RouteFailure::Busy;
    const auto route = selectReplica(ConnectionNeed::New, why);
    if (!route || !systemState_->retryBudget.tryAcquire()) {
        newConnectionAt_ = now + pollInterval;
        return;
    }
    dispatch(*route, false);
}

void SingleShardOperation::dispatch(const ReplicaRoute &route, bool singleRun)
{
    const TimePoint now = services_.clock.now();
    Attempt attempt;
    attempt.number = ++attemptCount_;
    attempt.link = route.link;
    attempt.linkName = route.link->address().name;
    attempt.viaPeer = route.viaPeer;
    attempt.singleRun = singleRun;
    LinkRequest request;
    request.requestId = fmt::format("{}.{}.{}", services_.seat, operationId_, attempt.number);
    request.shard = shardOf(work_);
    request.wire.path = pathOf(work_, route.viaPeer);
    request.wire.body = encodeAs(work_, request.requestId, services_.clock.toWall(route.permit.deadline));
    if (route.viaPeer) {
        request.wire.authorization = services_.authorize(request.wire.path, request.wire.body);
    }
    request.deadline = route.permit.deadline;
    request.silentAfter = route.permit.deadline + replyGracePeriod;
    request.handler = [weak = weak_from_this(), number = attempt.number](LinkReply reply) {
        if (const auto self = weak.lock()) {
            self->handleReply(number, std::move(reply));
        }
    };
    systemState_->retryBudget.recordRequest();
    services_.counters.add("magnoliaspan_subrequests_total");
    services_.journal.record(isIdempotent(work_) ? LogCategory::Route : LogCategory::Submit,
                             requestId_,
                             fmt::format("work sent shard={} {}={} attempt={} reason=\"{}\"",
                                         request.shard,
                                         route.viaPeer ? "seat" : "target",
                                         attempt.linkName,
                                         attempt.number,
                                         route.reason));
    newConnectionAt_ = now + (deadline_ - now) / silentTimeoutDivisor;
    runningAttempts_.push_back(attempt);
    const ExchangeId exchange = route.link->send(route.permit, std::move(request));
    runningAttempts_.back().exchange = exchange;
}

void SingleShardOperation::handleReply(unsigned number, LinkReply reply)
{
    const auto found = std::find_if(
        runningAttempts_.begin(), runningAttempts_.end(), [number](const Attempt &attempt) { return attempt.number == number; });
    if (found == runningAttempts_.end() || !handler_) {
        return;
    }
    const Attempt attempt = *found;
    runningAttempts_.erase(found);
    const auto self = shared_from_this();
    reportCrashEvidence(services_.quarantine, {fingerprint_, attempt.linkName, attempt.viaPeer, attempt.singleRun}, reply);
    verdict_ = combine(verdict_, reply.verdict());
    if (reply.reply && reply.reply->outcome == ShardOutcome::Answered) {
        finish({verdict_, std::move(reply.reply), ""});
        return;
    }
    failure_ = reply.error ? reply.error.message() : std::string(toString(reply.reply->outcome));
    services_.journal.record(
        isIdempotent(work_) ? LogCategory::Route : LogCategory::Submit,
        requestId_,
        fmt::format(
            "work failed shard={} link={} reason={} verdict={}", shardOf(work_), attempt.linkName, failure_, toString(reply.verdict())));
    if (!runningAttempts_.empty()) {
        return;
    }
    if (!canRetry(reply)) {
        finish({verdict_, std::move(reply.reply), failure_});
        return;
    }
    recordTriedLink(attempt.linkName, reply);
    lastReply_ = std::move(reply.reply);
    // A request that was never sent caused no load at the target, so its retry needs no token.
    needsRetryToken_ = reply.bytesSent;
    trySend();
    if (handler_) {
        armTimer();
    }
}

void SingleShardOperation::cancelAttempts()
{
    for (const Attempt &attempt : runningAttempts_) {
        attempt.link->cancel(attempt.exchange);
        verdict_ = combine(verdict_, Verdict::MayHaveRun);
        if (attempt.singleRun) {
            services_.quarantine.releaseSingleRun(fingerprint_);
        }
    }
    runningAttempts_.clear();
}

bool SingleShardOperation::canRetry(const LinkReply &reply) const
{
    if (services_.clock.now() >= deadline_) {
        return false;
    }
    if (isIdempotent(work_)) {
        const bool noReplicaLeft
            = reply.reply && reply.reply->outcome == ShardOutcome::SnapshotUnavailable && replicas_.size() <= triedLinks_.size() + 1;
        return !noReplicaLeft;
    }
    return reply.verdict() == Verdict::NotRun;
}

void SingleShardOperation::recordTriedLink(const std::string &linkName, const LinkReply &reply)
{
    const bool silent = reply.error == make_error_code(TransportError::Silent);
    const bool isRecorded = std::find(triedLinks_.begin(), triedLinks_.end(), linkName) != triedLinks_.end();
    if (!silent && !isRecorded) {
        triedLinks_.push_back(linkName);
    }
}

void SingleShardOperation::finish(SingleShardResult result)
{
    if (!handler_) {
        return;
    }
    Handler handler = std::move(handler_);
    handler_ = nullptr;
    cancelAttempts();
    services_.scheduler.cancel(timer_);
    systemState_->recordRequestEnd(services_.clock.now());
    handler(std::move(result));
}

bool SingleShardOperation::cancel()
{
    if (!handler_ || !isIdempotent(work_)) {
        return false;
    }
    cancelAttempts();
    handler_ = nullptr;
    services_.scheduler.cancel(timer_);
    systemState_->recordRequestEnd(services_.clock.now());
    return true;
}

void SingleShardOperation::onTimer()
{
    if (!handler_) {
        return;
    }
    const TimePoint now = services_.clock.now();
    const bool expired = now >= deadline_;
    if (expired && runningAttempts_.empty()) {
        finish({verdict_, std::move(lastReply_), failure_});
        return;
    }
    if (expired && isIdempotent(work_)) {
        cancelAttempts();
        finish({verdict_, std::nullopt, "not answered in time"});
        return;
    }
    tryNewConnection();
    trySend();
    if (handler_) {
        armTimer();
    }
}

void SingleShardOperation::armTimer()
{
    services_.scheduler.cancel(timer_);
    const TimePoint now = services_.clock.now();
    const TimePoint runningDue = isIdempotent(work_) ? std::min(deadline_, std::max(newConnectionAt_, now + pollInterval))
                                                     : std::max(deadline_, now + pollInterval);
    const TimePoint due = runningAttempts_.empty() ? std::min(deadline_, now + pollInterval) : runningDue;
    timer_ = services_.scheduler.callAt(due, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onTimer();
        }
    });
}

} // namespace magnoliaspan
