/*
 * Planning, sending, hedging, retrying and merging of a scattered search.
 */
#include "request/SearchOperation.h"

#include "request/CrashEvidence.h"
#include "transport/TransportError.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr std::string_view targetSearchPath = "/v1/shard-search";
constexpr std::string_view peerSearchPath = "/peer/shard-search";
// Pause before replicas that have failed are tried again, and before the next request for a retry token.
constexpr Duration retryDelay = std::chrono::milliseconds(5);
// How often a shard without a free replica is tried again.
constexpr Duration pollInterval = std::chrono::milliseconds(10);
constexpr Duration minHedgeDelay = std::chrono::milliseconds(1);
// Fraction of the remaining time after which the connection of an unanswered attempt is assumed silent: the rest must
// suffice for one more attempt.
constexpr double silentTimeoutShare = 0.4;
// How long after its deadline a reply is still awaited.
constexpr Duration replyGracePeriod = std::chrono::milliseconds(10);
// Fraction of the time to the deadline after which a hedge is sent while no latency has been measured.
constexpr double initialHedgeShare = 0.25;
// A connection is not assumed silent before this multiple of the 95th percentile of latency.
constexpr unsigned silentP95Factor = 4;
// A hedge is not sent before this multiple of the median latency.
constexpr unsigned hedgeMedianFactor = 2;
// Fraction of the time to the deadline that must remain for a restart with another snapshot.
constexpr double minRestartTimeShare = 0.25;
constexpr unsigned statusUnavailable = 503;

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

SearchOperation::SearchOperation(RequestServices &services, SearchQuery query, TimePoint deadline, Handler handler)
    : services_(services)
    , query_(std::move(query))
    , startedAt_(services.clock.now())
    , deadline_(deadline)
    , handler_(std::move(handler))
    , operationId_(services.nextOperationId())
    , fingerprint_(fingerprintOf(query_.system, query_.text))
{
}

SearchOperation::~SearchOperation()
{
    services_.scheduler.cancel(timer_);
}

void SearchOperation::start()
{
    document_ = services_.configuration.current();
    system_ = document_->findSystem(query_.system);
    systemState_ = services_.systems.find(query_.system);
    assert(system_ != nullptr && systemState_ != nullptr && "the filters admit only known systems");
    systemState_->recordRequestStart(services_.clock.now());
    minimumCoverage_ = std::max(system_->minimumCoverage, query_.minimumCoverage.value_or(0));
    const bool latencyPolicy = system_->policy == ResponsePolicy::Latency;
    softDeadline_ = latencyPolicy ? std::min(deadline_, startedAt_ + system_->softDeadline) : deadline_;
    for (const ShardSpec &spec : system_->shards) {
        ShardProgress shard;
        shard.spec = &spec;
        shard.notBefore = startedAt_;
        shards_.push_back(std::move(shard));
    }
    snapshot_ = chooseSnapshot(0);
    recordPlan();
    sendPending();
    armTimer();
}

std::int64_t SearchOperation::chooseSnapshot(std::int64_t excluded) const
{
    const std::int64_t own = services_.targets.bestSnapshot(*system_, excluded);
    if (own != 0) {
        return own;
    }
    const std::int64_t reported = services_.bestPeerSnapshot(system_->name);
    return reported == excluded ? 0 : reported;
}

void SearchOperation::recordPlan()
{
    services_.journal.record(LogCategory::Plan,
                             query_.requestId,
                             fmt::format("search planned system={} snapshot={} map={} document={} shards={}",
                                         system_->name,
                                         snapshot_,
                                         system_->shardMapGeneration,
                                         document_->generation,
                                         shards_.size()));
}

bool SearchOperation::onCapacityFreed()
{
    if (!handler_) {
        queued_ = false;
        return false;
    }
    sendPending();
    queued_ = handler_ && hasPendingShards();
    return queued_;
}

bool SearchOperation::hasPendingShards() const
{
    return std::any_of(shards_.begin(), shards_.end(), [](const ShardProgress &shard) { return shard.state == ShardState::Pending; });
}

void SearchOperation::sendPending()
{
    if (sending_ || !handler_) {
        return;
    }
    const auto self = shared_from_this();
    const TimePoint now = services_.clock.now();
    if (!services_.pauseDetector.isStateFresh(now)) {
        return;
    }
    if (services_.quarantine.suspicion(fingerprint_) == Suspicion::Quarantined) {
        refuse(statusUnavailable, "quarantined", "request is in quarantine: targets were lost each time they ran it");
        return;
    }
    if (snapshot_ == 0) {
        snapshot_ = chooseSnapshot(0);
    }
    sending_ = true;
    const bool restartedBefore = restarted_;
    sendDueShards(now);
    if (restarted_ != restartedBefore) {
        // The restart made the shards before the one that caused it pending again.
        sendDueShards(now);
    }
    sending_ = false;
    if (handler_ && !queued_ && hasPendingShards()) {
        queued_ = true;
        systemState_->addWaiter(weak_from_this());
    }
}

void SearchOperation::sendDueShards(TimePoint now)
{
    for (ShardProgress &shard : shards_) {
        if (shard.state != ShardState::Pending || shard.notBefore > now) {
            continue;
        }
        sendShard(shard);
    }
}

ReplicaCriteria
SearchOperation::replicaCriteria(const ShardProgress &shard, const std::vector<std::string> &avoid, ConnectionNeed need) const
{
    const EnvironmentPtr &newest = services_.configuration.current();
    return {*newest, shard.spec->targets, avoid, snapshot_, need, deadline_, true};
}

void SearchOperation::sendShard(ShardProgress &shard)
{
    if (snapshot_ == 0) {
        shard.lastFailure = "no snapshot known";
        return;
    }
    const std::vector<std::string> avoid = excludedLinks(shard);
    RouteFailure why = RouteFailure::Busy;
    const auto route = services_.targets.selectReplica(replicaCriteria(shard, avoid, ConnectionNeed::Any), why);
    if (!route) {
        if (why == RouteFailure::NoReplica && !shard.triedLinks.empty()) {
            // All replicas were tried; the next round may use them again.
            shard.triedLinks.clear();
            shard.notBefore = services_.clock.now() + retryDelay;
        } else if (why == RouteFailure::NoReplica && tryRestart(shard)) {
            return;
        } else if (why == RouteFailure::NoReplica && !shard.everSent) {
            shard.lastFailure = "no usable replica";
        } else if (!shard.everSent) {
            shard.lastFailure = "every replica is busy";
        }
        return;
    }
    if (!tryAcquireRetryToken(shard)) {
        return;
    }
    bool singleRun = false;
    if (services_.quarantine.suspicion(fingerprint_) == Suspicion::Suspect) {
        singleRun = services_.quarantine.tryAcquireSingleRun(fingerprint_);
        if (!singleRun) {
            return;
        }
    }
    dispatch(shard, *route, false, singleRun);
}

bool SearchOperation::tryAcquireRetryToken(ShardProgress &shard)
{
    if (!shard.needsRetryToken) {
        return true;
    }
    if (!systemState_->retryBudget.tryAcquire()) {
        shard.notBefore = services_.clock.now() + retryDelay;
        return false;
    }
    shard.needsRetryToken = false;
    services_.counters.add("magnoliaspan_retries_total");
    return true;
}

LinkRequest SearchOperation::createRequest(const ShardProgress &shard, const ReplicaRoute &route, std::uint64_t attempt)
{
    ShardSearch message;
    message.requestId = fmt::format("{}.{}.{}", services_.seat, operationId_, attempt);
    message.system = query_.system;
    message.query = query_.text;
    message.shard = shard.spec->shard;
    message.snapshot = snapshot_;
    message.mapGeneration = system_->shardMapGeneration;
    message.limit = query_.limit;
    message.deadline = services_.clock.toWall(route.permit.deadline);

    LinkRequest request;
    request.wire.path = route.viaPeer ? peerSearchPath : targetSearchPath;
    request.wire.body = encode(message);
    if (route.viaPeer) {
        request.wire.authorization = services_.authorize(request.wire.path, request.wire.body);
    }
    request.requestId = message.requestId;
    request.shard = message.shard;
    request.deadline = route.permit.deadline;
    // The link must not time out an attempt before the deadline: a silent connection is given up only when another attempt
    // has been answered.
    request.silentAfter = route.permit.deadline + replyGracePeriod;
    const auto shardIndex = static_cast<std::size_t>(&shard - shards_.data());
    request.handler = [weak = weak_from_this(), shardIndex, attempt](LinkReply reply) {
        if (const auto self = weak.lock()) {
            self->handleReply(shardIndex, attempt, std::move(reply));
        }
    };
    return request;
}

void SearchOperation::dispatch(ShardProgress &shard, const ReplicaRoute &route, bool hedge, bool singleRun)
{
    const TimePoint now = services_.clock.now();
    Attempt attempt;
    attempt.number = ++attemptCount_;
    attempt.link = route.link;
    attempt.linkName = route.link->address().name;
    attempt.sentAt = now;
    attempt.singleRun = singleRun;
    attempt.viaPeer = route.viaPeer;
    if (!hedge) {
        systemState_->hedgeBudget.recordRequest();
        systemState_->retryBudget.recordRequest();
    }
    services_.counters.add("magnoliaspan_subrequests_total");
    services_.journal.record(LogCategory::Route,
                             query_.requestId,
                             fmt::format("subrequest sent shard={} {}={} attempt={} hedge={} single={} reason=\"{}\"",
                                         shard.spec->shard,
                                         route.viaPeer ? "seat" : "target",
                                         attempt.linkName,
                                         attempt.number,
                                         hedge,
                                         singleRun,
                                         route.reason));
    shard.state = ShardState::Running;
    shard.everSent = true;
    shard.hedgeAt = now + hedgeDelay();
    shard.newConnectionAt = now + std::max(scaled(deadline_ - now, silentTimeoutShare), silentP95Factor * systemState_->latency.p95());
    attempt.exchange = route.link->send(route.permit, createRequest(shard, route, attempt.number));
    shard.attempts.push_back(std::move(attempt));
}

Duration SearchOperation::hedgeDelay() const
{
    const Duration measured = systemState_->latency.p95();
    if (measured.count() == 0) {
        return scaled(deadline_ - startedAt_, initialHedgeShare);
    }
    // If latencies vary little, the 95th percentile alone would spend the budget on attempts that are about to complete.
    return std::max({minHedgeDelay, measured, hedgeMedianFactor * systemState_->latency.median()});
}

void SearchOperation::handleReply(std::size_t shardIndex, std::uint64_t attemptNumber, LinkReply reply)
{
    ShardProgress &shard = shards_[shardIndex];
    const auto found = std::find_if(
        shard.attempts.begin(), shard.attempts.end(), [attemptNumber](const Attempt &attempt) { return attempt.number == attemptNumber; });
    if (found == shard.attempts.end() || !handler_) {
        return;
    }
    const Attempt attempt = std::move(*found);
    shard.attempts.erase(found);
    const auto self = shared_from_this();
    reportCrashEvidence(services_.quarantine, {fingerprint_, attempt.linkName, attempt.viaPeer, attempt.singleRun}, reply);
    verdict_ = combine(verdict_, reply.verdict());
    const bool answered = reply.reply && reply.reply->outcome == ShardOutcome::Answered;
    if (answered && reply.reply->snapshot == snapshot_) {
        acceptReply(shard, attempt, std::move(*reply.reply));
    } else {
        handleFailure(shard, attempt, reply);
    }
    if (!handler_) {
        return;
    }
    if (answeredCount_ == shards_.size()) {
        finish();
        return;
    }
    sendPending();
    if (handler_) {
        armTimer();
    }
}

void SearchOperation::acceptReply(ShardProgress &shard, const Attempt &attempt, ShardReply &&reply)
{
    systemState_->latency.add(services_.clock.now() - attempt.sentAt);
    services_.counters.observe("magnoliaspan_subrequest_seconds", services_.clock.now() - attempt.sentAt);
    shard.hits = std::move(reply.hits);
    shard.state = ShardState::Answered;
    ++answeredCount_;
    cancelAttempts(shard);
}

void SearchOperation::handleFailure(ShardProgress &shard, const Attempt &attempt, const LinkReply &reply)
{
    const bool otherSnapshot = reply.reply && reply.reply->outcome == ShardOutcome::Answered;
    shard.lastFailure = reply.error     ? reply.error.message()
                        : otherSnapshot ? "other_snapshot"
                                        : std::string(toString(reply.reply->outcome));
    services_.counters.add(fmt::format("magnoliaspan_subrequest_failures_total{{reason=\"{}\"}}", shard.lastFailure));
    services_.journal.record(LogCategory::Route,
                             query_.requestId,
                             fmt::format("subrequest failed shard={} link={} attempt={} reason={}",
                                         shard.spec->shard,
                                         attempt.linkName,
                                         attempt.number,
                                         shard.lastFailure));
    const bool lacksSnapshot = otherSnapshot || (reply.reply && reply.reply->outcome == ShardOutcome::SnapshotUnavailable);
    std::vector<std::string> &excluded = lacksSnapshot ? shard.withoutSnapshot : shard.triedLinks;
    // A silent connection does not indicate a failure of the target, so its link is not excluded.
    const bool silent = reply.error == make_error_code(TransportError::Silent);
    if (!silent && !contains(excluded, attempt.linkName)) {
        excluded.push_back(attempt.linkName);
    }
    // A request that was never sent caused no load at the target, so its retry needs no token.
    shard.needsRetryToken = shard.needsRetryToken || reply.bytesSent;
    if (shard.attempts.empty()) {
        shard.state = ShardState::Pending;
        shard.notBefore = services_.clock.now();
    }
}

bool SearchOperation::tryRestart(ShardProgress &shard)
{
    const Duration remaining = deadline_ - services_.clock.now();
    const bool enoughTime = remaining >= scaled(deadline_ - startedAt_, minRestartTimeShare);
    if (shard.withoutSnapshot.empty() || restarted_ || !enoughTime) {
        return false;
    }
    const std::int64_t other = chooseSnapshot(snapshot_);
    if (other == 0 || !systemState_->retryBudget.tryAcquire()) {
        return false;
    }
    restarted_ = true;
    services_.counters.add("magnoliaspan_search_restarts_total");
    services_.journal.record(LogCategory::Plan,
                             query_.requestId,
                             fmt::format("search restarted shard={} lost={} snapshot={}", shard.spec->shard, snapshot_, other));
    snapshot_ = other;
    answeredCount_ = 0;
    for (ShardProgress &each : shards_) {
        cancelAttempts(each);
        const ShardSpec *spec = each.spec;
        each = ShardProgress{};
        each.spec = spec;
        each.notBefore = services_.clock.now();
        each.lastFailure = "not answered after restart";
    }
    return true;
}

void SearchOperation::cancelAttempts(ShardProgress &shard)
{
    for (const Attempt &attempt : shard.attempts) {
        attempt.link->cancel(attempt.exchange);
        verdict_ = combine(verdict_, Verdict::MayHaveRun);
        services_.counters.add("magnoliaspan_cancelled_total");
        if (attempt.singleRun) {
            services_.quarantine.releaseSingleRun(fingerprint_);
        }
    }
    shard.attempts.clear();
}

void SearchOperation::sendSecondAttempts()
{
    const TimePoint now = services_.clock.now();
    if (services_.quarantine.suspicion(fingerprint_) != Suspicion::None || !services_.pauseDetector.isStateFresh(now)) {
        return;
    }
    for (ShardProgress &shard : shards_) {
        if (shard.state != ShardState::Running || shard.attempts.size() != 1) {
            continue;
        }
        if (shard.hedgeAt <= now) {
            sendHedge(shard);
        }
        if (shard.newConnectionAt <= now && shard.attempts.size() == 1) {
            tryNewConnection(shard);
        }
    }
}

std::vector<std::string> SearchOperation::excludedLinks(const ShardProgress &shard) const
{
    std::vector<std::string> avoid = shard.triedLinks;
    avoid.insert(avoid.end(), shard.withoutSnapshot.begin(), shard.withoutSnapshot.end());
    return avoid;
}

void SearchOperation::sendHedge(ShardProgress &shard)
{
    // A hedge is considered once per attempt: without budget or a usable replica, none is sent later either.
    shard.hedgeAt = TimePoint::max();
    std::vector<std::string> avoid = excludedLinks(shard);
    avoid.push_back(shard.attempts.front().linkName);
    RouteFailure why = RouteFailure::Busy;
    const auto route = services_.targets.selectReplica(replicaCriteria(shard, avoid, ConnectionNeed::Any), why);
    if (!route || route->permit.cold || !systemState_->hedgeBudget.tryAcquire()) {
        return;
    }
    services_.counters.add("magnoliaspan_hedges_total");
    dispatch(shard, *route, true, false);
    shard.hedgeAt = TimePoint::max();
}

void SearchOperation::tryNewConnection(ShardProgress &shard)
{
    RouteFailure why = RouteFailure::Busy;
    const auto route = services_.targets.selectReplica(replicaCriteria(shard, excludedLinks(shard), ConnectionNeed::New), why);
    if (!route) {
        // A target that may be cold can still grant a time slot later.
        shard.newConnectionAt = services_.clock.now() + pollInterval;
        return;
    }
    shard.newConnectionAt = TimePoint::max();
    if (!systemState_->retryBudget.tryAcquire()) {
        return;
    }
    services_.counters.add("magnoliaspan_silent_attempts_total");
    dispatch(shard, *route, true, false);
    shard.hedgeAt = TimePoint::max();
    shard.newConnectionAt = TimePoint::max();
}

TimePoint SearchOperation::nextTimerAt() const
{
    const TimePoint now = services_.clock.now();
    TimePoint due = now < softDeadline_ ? softDeadline_ : deadline_;
    for (const ShardProgress &shard : shards_) {
        if (shard.state == ShardState::Pending) {
            due = std::min(due, std::max(shard.notBefore, now + pollInterval));
        } else if (shard.state == ShardState::Running && shard.attempts.size() == 1) {
            due = std::min(due, std::max(std::min(shard.hedgeAt, shard.newConnectionAt), now));
        }
    }
    return due;
}

void SearchOperation::armTimer()
{
    services_.scheduler.cancel(timer_);
    timer_ = services_.scheduler.callAt(nextTimerAt(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onTimer();
        }
    });
}

void SearchOperation::onTimer()
{
    if (!handler_) {
        return;
    }
    const TimePoint now = services_.clock.now();
    const double covered = static_cast<double>(answeredCount_) / static_cast<double>(shards_.size());
    const bool enough = answeredCount_ > 0 && covered >= minimumCoverage_;
    if (now >= deadline_ || (now >= softDeadline_ && enough)) {
        finish();
        return;
    }
    sendSecondAttempts();
    sendPending();
    if (handler_) {
        armTimer();
    }
}

Coverage SearchOperation::coverage() const
{
    Coverage result;
    result.total = shards_.size();
    for (const ShardProgress &shard : shards_) {
        if (shard.state == ShardState::Answered) {
            ++result.answered;
            continue;
        }
        const bool isRunning = shard.state == ShardState::Running;
        result.missing.push_back({shard.spec->shard, isRunning ? "not answered in time" : shard.lastFailure});
    }
    return result;
}

std::vector<Hit> SearchOperation::mergeHits()
{
    std::vector<Hit> hits;
    for (ShardProgress &shard : shards_) {
        std::move(shard.hits.begin(), shard.hits.end(), std::back_inserter(hits));
    }
    const std::size_t kept = std::min<std::size_t>(hits.size(), query_.limit);
    const auto middle = hits.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(
        hits.begin(), middle, hits.end(), [](const Hit &a, const Hit &b) { return a.score != b.score ? a.score > b.score : a.id < b.id; });
    hits.resize(kept);
    return hits;
}

void SearchOperation::finish()
{
    Coverage covered = coverage();
    const double share = static_cast<double>(covered.answered) / static_cast<double>(covered.total);
    if (covered.answered == 0 || share < minimumCoverage_) {
        const std::string detail = fmt::format("{} of {} shards of '{}' answered, the minimum coverage is {}; shard {}: {}",
                                               covered.answered,
                                               covered.total,
                                               system_->name,
                                               minimumCoverage_,
                                               covered.missing.front().shard,
                                               covered.missing.front().reason);
        refuse(statusUnavailable, "coverage_below_minimum", detail);
        return;
    }
    SearchAnswer answer;
    answer.requestId = query_.requestId;
    answer.snapshot = snapshot_;
    answer.mapGeneration = system_->shardMapGeneration;
    answer.coverage = std::move(covered);
    answer.hits = mergeHits();
    deliver(std::move(answer));
}

void SearchOperation::refuse(unsigned status, std::string code, std::string detail)
{
    for (const ShardProgress &shard : shards_) {
        if (!shard.attempts.empty()) {
            verdict_ = combine(verdict_, Verdict::MayHaveRun);
        }
    }
    deliver(Refusal{status, std::move(code), std::move(detail), verdict_});
}

void SearchOperation::deliver(SearchResult result)
{
    Handler handler = std::move(handler_);
    handler_ = nullptr;
    services_.scheduler.cancel(timer_);
    for (ShardProgress &shard : shards_) {
        cancelAttempts(shard);
    }
    systemState_->recordRequestEnd(services_.clock.now());
    const Duration elapsed = services_.clock.now() - startedAt_;
    services_.counters.observe("magnoliaspan_search_seconds", elapsed);
    const Coverage covered = coverage();
    const auto *refusal = std::get_if<Refusal>(&result);
    services_.counters.add(fmt::format("magnoliaspan_searches_total{{result=\"{}\"}}",
                                       refusal != nullptr        ? refusal->code
                                       : covered.missing.empty() ? "complete"
                                                                 : "partial"));
    services_.journal.record(LogCategory::Route,
                             query_.requestId,
                             fmt::format("search ended result={} snapshot={} answered={} total={}",
                                         refusal != nullptr ? refusal->code : "answered",
                                         snapshot_,
                                         covered.answered,
                                         covered.total));
    handler(std::move(result));
}

void SearchOperation::cancel()
{
    if (!handler_) {
        return;
    }
    handler_ = nullptr;
    services_.scheduler.cancel(timer_);
    for (ShardProgress &shard : shards_) {
        cancelAttempts(shard);
    }
    systemState_->recordRequestEnd(services_.clock.now());
    services_.counters.add("magnoliaspan_searches_total{result=\"caller_left\"}");
    services_.journal.record(LogCategory::Route, query_.requestId, "search cancelled reason=\"caller disconnected\"");
}

} // namespace magnoliaspan
