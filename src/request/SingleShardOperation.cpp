/*
 * Part request: attempts for one shard.
 */
#include "request/SingleShardOperation.h"

#include "transport/TransportError.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr Duration retryPause = std::chrono::milliseconds(5);
constexpr Duration pollInterval = std::chrono::milliseconds(10);
// An idempotent attempt leaves as much time for one more.
constexpr int silentParts = 2;
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
    ++state_->inFlight;
    trySend();
    if (handler_) {
        arm();
    }
}

bool SingleShardOperation::capacityFreed()
{
    if (handler_ && !running_) {
        trySend();
    }
    queued_ = handler_ && !running_;
    return queued_;
}

void SingleShardOperation::trySend()
{
    const TimePoint now = services_.clock.now();
    if (!handler_ || running_ || now < notBefore_ || !services_.pause.fresh(now)) {
        return;
    }
    const Suspicion suspicion = services_.quarantine.suspicion(fingerprint_);
    if (suspicion == Suspicion::Quarantined) {
        end({verdict_, std::nullopt, "quarantined"});
        return;
    }
    const EnvironmentPtr document = services_.configuration.current();
    NoRoute why = NoRoute::Busy;
    const auto route = services_.targets.pick({*document, replicas_, tried_, snapshotOf(work_), deadline_, mayUsePeers_}, why);
    if (!route) {
        const bool triedAll = why == NoRoute::NoReplica && !tried_.empty();
        if (triedAll) {
            tried_.clear();
            notBefore_ = now + retryPause;
        }
        if (!queued_) {
            queued_ = true;
            state_->wait(weak_from_this(), now);
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

void SingleShardOperation::dispatch(const Route &route, bool singleRun)
{
    const TimePoint now = services_.clock.now();
    const std::string linkName = route.link->address().name;
    LinkRequest request;
    request.requestId = fmt::format("{}.{}.{}", services_.seat, operation_, ++attempts_);
    request.shard = shardOf(work_);
    request.wire.path = pathOf(work_, route.viaPeer);
    request.wire.body = encodeAs(work_, request.requestId, services_.clock.toWall(route.permit.deadline));
    if (route.viaPeer) {
        request.wire.authorization = services_.authorize(request.wire.path, request.wire.body);
    }
    request.deadline = route.permit.deadline;
    const Duration remaining = route.permit.deadline - now;
    const bool retriable = isIdempotent(work_) && !route.permit.cold;
    request.silentAfter = retriable ? now + remaining / silentParts : route.permit.deadline + lastWord;
    request.handler = [weak = weak_from_this(), linkName, viaPeer = route.viaPeer, singleRun](LinkReply reply) {
        if (const auto self = weak.lock()) {
            self->replied(linkName, viaPeer, singleRun, std::move(reply));
        }
    };
    state_->retries.earn();
    services_.counters.add("magnoliaspan_subrequests_total");
    services_.journal.note(isIdempotent(work_) ? Part::Route : Part::Submit,
                           requestId_,
                           fmt::format("work sent shard={} {}={} attempt={} reason=\"{}\"",
                                       request.shard,
                                       route.viaPeer ? "seat" : "target",
                                       linkName,
                                       attempts_,
                                       route.reason));
    running_ = true;
    link_ = route.link;
    const ConnectionNeed need = isIdempotent(work_) ? ConnectionNeed::Any : ConnectionNeed::FreshOrJustProved;
    exchange_ = route.link->send(route.permit, need, std::move(request));
}

void SingleShardOperation::replied(const std::string &linkName, bool viaPeer, bool singleRun, LinkReply reply)
{
    running_ = false;
    judgeLoss(linkName, viaPeer, singleRun, reply);
    verdict_ = combine(verdict_, reply.verdict());
    const bool answered = reply.reply && reply.reply->outcome == ShardOutcome::Answered;
    if (answered) {
        end({verdict_, std::move(reply.reply), ""});
        return;
    }
    failure_ = reply.error ? reply.error.message() : std::string(toString(reply.reply->outcome));
    services_.journal.note(
        isIdempotent(work_) ? Part::Route : Part::Submit,
        requestId_,
        fmt::format("work failed shard={} link={} reason={} verdict={}", shardOf(work_), linkName, failure_, toString(reply.verdict())));
    if (!handler_) {
        return;
    }
    if (!mayTryAgain(reply)) {
        end({verdict_, std::move(reply.reply), failure_});
        return;
    }
    rememberTried(linkName, reply);
    lastReply_ = std::move(reply.reply);
    // What never reached the target cost it nothing.
    needsRetryToken_ = reply.bytesSent;
    trySend();
    if (handler_) {
        arm();
    }
}

void SingleShardOperation::judgeLoss(const std::string &linkName, bool viaPeer, bool singleRun, const LinkReply &reply)
{
    const bool lost = reply.error == make_error_code(TransportError::ConnectionLost) && reply.bytesSent;
    if (lost && !viaPeer) {
        services_.quarantine.targetLost(fingerprint_, linkName, reply.bootId, singleRun);
        return;
    }
    if (reply.reply && reply.reply->outcome == ShardOutcome::Answered) {
        services_.quarantine.completed(fingerprint_, singleRun);
    }
    if (singleRun) {
        services_.quarantine.releaseSingleRun(fingerprint_);
    }
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
    services_.scheduler.cancel(timer_);
    --state_->inFlight;
    handler(std::move(result));
}

bool SingleShardOperation::abandon()
{
    if (!handler_ || !isIdempotent(work_)) {
        return false;
    }
    if (running_) {
        link_->abandon(exchange_);
        running_ = false;
    }
    handler_ = nullptr;
    services_.scheduler.cancel(timer_);
    --state_->inFlight;
    return true;
}

void SingleShardOperation::wake()
{
    if (!handler_) {
        return;
    }
    const TimePoint now = services_.clock.now();
    if (now >= deadline_ && !running_) {
        end({verdict_, std::move(lastReply_), failure_});
        return;
    }
    if (now >= deadline_ && isIdempotent(work_)) {
        link_->abandon(exchange_);
        running_ = false;
        end({combine(verdict_, Verdict::MayHaveRun), std::nullopt, "not answered in time"});
        return;
    }
    trySend();
    if (handler_) {
        arm();
    }
}

void SingleShardOperation::arm()
{
    services_.scheduler.cancel(timer_);
    const TimePoint now = services_.clock.now();
    const TimePoint due = running_ ? std::max(deadline_, now + pollInterval) : std::min(deadline_, now + pollInterval);
    timer_ = services_.scheduler.callAt(due, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->wake();
        }
    });
}

} // namespace magnoliaspan
