/*
 * Part request: decisions of a scattered search.
 */
#include "request/SearchOperation.h"

#include "request/RunEvidence.h"
#include "transport/TransportError.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr std::string_view targetSearchPath = "/v1/shard-search";
constexpr std::string_view peerSearchPath = "/peer/shard-search";
constexpr Duration retryPause = std::chrono::milliseconds(5);
constexpr Duration pollInterval = std::chrono::milliseconds(10);
constexpr Duration minHedgeDelay = std::chrono::milliseconds(1);
// Share of the remaining time after which an unanswered connection may be
// silent: the other part must suffice for one more attempt.
constexpr double silentShare = 0.4;
constexpr Duration lastWord = std::chrono::milliseconds(10);
constexpr double firstHedgeShare = 0.25;
constexpr unsigned silentLatencies = 4;
constexpr unsigned hedgeMedians = 2;
constexpr double minRestartShare = 0.25;
constexpr unsigned statusUnavailable = 503;

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

bool isTried(const std::vector<std::string> &names, const std::string &name)
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
    , operation_(services.nextOperation())
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
    state_ = services_.systems.find(query_.system);
    assert(system_ != nullptr && state_ != nullptr && "the filters admit only known systems");
    state_->begun(services_.clock.now());
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
    plan();
    sendPending();
    arm();
}

std::int64_t SearchOperation::chooseSnapshot(std::int64_t excluded) const
{
    const std::int64_t own = services_.targets.bestSnapshot(*system_, excluded);
    if (own != 0) {
        return own;
    }
    const std::int64_t told = services_.peerSnapshot(system_->name);
    return told == excluded ? 0 : told;
}

void SearchOperation::plan()
{
    services_.journal.note(Part::Plan,
                           query_.requestId,
                           fmt::format("search planned system={} snapshot={} map={} document={} shards={}",
                                       system_->name,
                                       snapshot_,
                                       system_->shardMapGeneration,
                                       document_->generation,
                                       shards_.size()));
}

bool SearchOperation::capacityFreed()
{
    if (!handler_) {
        queued_ = false;
        return false;
    }
    sendPending();
    queued_ = handler_ && anyPending();
    return queued_;
}

bool SearchOperation::anyPending() const
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
    if (!services_.pause.fresh(now)) {
        return;
    }
    if (services_.quarantine.suspicion(fingerprint_) == Suspicion::Quarantined) {
        refuse(statusUnavailable, "quarantined", "targets were lost each time this request ran");
        return;
    }
    if (snapshot_ == 0) {
        snapshot_ = chooseSnapshot(0);
    }
    sending_ = true;
    const bool restartedBefore = restarted_;
    sendDue(now);
    if (restarted_ != restartedBefore) {
        // Shards ahead of the one that caused the restart are due again.
        sendDue(now);
    }
    sending_ = false;
    if (handler_ && !queued_ && anyPending()) {
        queued_ = true;
        state_->wait(weak_from_this());
    }
}

void SearchOperation::sendDue(TimePoint now)
{
    for (ShardProgress &shard : shards_) {
        if (shard.state != ShardState::Pending || shard.notBefore > now) {
            continue;
        }
        sendShard(shard);
    }
}

ReplicaWanted SearchOperation::wanted(const ShardProgress &shard, const std::vector<std::string> &avoid, ConnectionNeed need) const
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
    const std::vector<std::string> avoid = avoided(shard);
    NoRoute why = NoRoute::Busy;
    const auto route = services_.targets.pick(wanted(shard, avoid, ConnectionNeed::Any), why);
    if (!route) {
        if (why == NoRoute::NoReplica && !shard.tried.empty()) {
            // Every replica was tried: the next round may try them again.
            shard.tried.clear();
            shard.notBefore = services_.clock.now() + retryPause;
        } else if (why == NoRoute::NoReplica && restartIfUnavailable(shard)) {
            return;
        } else if (why == NoRoute::NoReplica && !shard.everSent) {
            shard.lastFailure = "no usable replica";
        } else if (!shard.everSent) {
            shard.lastFailure = "every replica is busy";
        }
        return;
    }
    if (!mayRetry(shard)) {
        return;
    }
    bool singleRun = false;
    if (services_.quarantine.suspicion(fingerprint_) == Suspicion::Suspect) {
        singleRun = services_.quarantine.takeSingleRun(fingerprint_);
        if (!singleRun) {
            return;
        }
    }
    dispatch(shard, *route, false, singleRun);
}

bool SearchOperation::mayRetry(ShardProgress &shard)
{
    if (!shard.needsRetryToken) {
        return true;
    }
    if (!state_->retries.spend()) {
        shard.notBefore = services_.clock.now() + retryPause;
        return false;
    }
    shard.needsRetryToken = false;
    services_.counters.add("magnoliaspan_retries_total");
    return true;
}

LinkRequest SearchOperation::requestFor(const ShardProgress &shard, const Route &route, std::uint64_t attempt)
{
    ShardSearch message;
    message.requestId = fmt::format("{}.{}.{}", services_.seat, operation_, attempt);
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
    // An attempt may take all the time there is: an unanswered connection is only given up for an answered one.
    request.silentAfter = route.permit.deadline + lastWord;
    const auto shardIndex = static_cast<std::size_t>(&shard - shards_.data());
    request.handler = [weak = weak_from_this(), shardIndex, attempt](LinkReply reply) {
        if (const auto self = weak.lock()) {
            self->replied(shardIndex, attempt, std::move(reply));
        }
    };
    return request;
}

void SearchOperation::dispatch(ShardProgress &shard, const Route &route, bool hedge, bool singleRun)
{
    const TimePoint now = services_.clock.now();
    Attempt attempt;
    attempt.number = ++attempts_;
    attempt.link = route.link;
    attempt.linkName = route.link->address().name;
    attempt.sentAt = now;
    attempt.singleRun = singleRun;
    attempt.viaPeer = route.viaPeer;
    if (!hedge) {
        state_->hedges.earn();
        state_->retries.earn();
    }
    services_.counters.add("magnoliaspan_subrequests_total");
    services_.journal.note(Part::Route,
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
    shard.secondAt = now + std::max(scaled(deadline_ - now, silentShare), silentLatencies * state_->latency.p95());
    attempt.exchange = route.link->send(route.permit, requestFor(shard, route, attempt.number));
    shard.attempts.push_back(std::move(attempt));
}

Duration SearchOperation::hedgeDelay() const
{
    const Duration measured = state_->latency.p95();
    if (measured.count() == 0) {
        return scaled(deadline_ - startedAt_, firstHedgeShare);
    }
    // Where latencies hardly vary, the 95th percentile alone would spend the budget on attempts that are about to end.
    return std::max({minHedgeDelay, measured, hedgeMedians * state_->latency.median()});
}

void SearchOperation::replied(std::size_t shardIndex, std::uint64_t attemptNumber, LinkReply reply)
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
    reportEvidence(services_.quarantine, {fingerprint_, attempt.linkName, attempt.viaPeer, attempt.singleRun}, reply);
    verdict_ = combine(verdict_, reply.verdict());
    const bool answered = reply.reply && reply.reply->outcome == ShardOutcome::Answered;
    if (answered && reply.reply->snapshot == snapshot_) {
        accept(shard, attempt, std::move(*reply.reply));
    } else {
        failed(shard, attempt, reply);
    }
    if (!handler_) {
        return;
    }
    if (answered_ == shards_.size()) {
        finish();
        return;
    }
    sendPending();
    if (handler_) {
        arm();
    }
}

void SearchOperation::accept(ShardProgress &shard, const Attempt &attempt, ShardReply &&reply)
{
    state_->latency.add(services_.clock.now() - attempt.sentAt);
    services_.counters.observe("magnoliaspan_subrequest_seconds", services_.clock.now() - attempt.sentAt);
    shard.hits = std::move(reply.hits);
    shard.state = ShardState::Answered;
    ++answered_;
    cancelAttempts(shard);
}

void SearchOperation::failed(ShardProgress &shard, const Attempt &attempt, const LinkReply &reply)
{
    const bool otherSnapshot = reply.reply && reply.reply->outcome == ShardOutcome::Answered;
    shard.lastFailure = reply.error     ? reply.error.message()
                        : otherSnapshot ? "other_snapshot"
                                        : std::string(toString(reply.reply->outcome));
    services_.counters.add(fmt::format("magnoliaspan_subrequest_failures_total{{reason=\"{}\"}}", shard.lastFailure));
    services_.journal.note(Part::Route,
                           query_.requestId,
                           fmt::format("subrequest failed shard={} link={} attempt={} reason={}",
                                       shard.spec->shard,
                                       attempt.linkName,
                                       attempt.number,
                                       shard.lastFailure));
    const bool lacksSnapshot = otherSnapshot || (reply.reply && reply.reply->outcome == ShardOutcome::SnapshotUnavailable);
    std::vector<std::string> &list = lacksSnapshot ? shard.lacking : shard.tried;
    // A silent connection says nothing against the target itself.
    const bool silent = reply.error == make_error_code(TransportError::Silent);
    if (!silent && !isTried(list, attempt.linkName)) {
        list.push_back(attempt.linkName);
    }
    // What never reached the target cost it nothing.
    shard.needsRetryToken = shard.needsRetryToken || reply.bytesSent;
    if (shard.attempts.empty()) {
        shard.state = ShardState::Pending;
        shard.notBefore = services_.clock.now();
    }
}

bool SearchOperation::restartIfUnavailable(ShardProgress &shard)
{
    const Duration remaining = deadline_ - services_.clock.now();
    const bool inTime = remaining >= scaled(deadline_ - startedAt_, minRestartShare);
    if (shard.lacking.empty() || restarted_ || !inTime) {
        return false;
    }
    const std::int64_t other = chooseSnapshot(snapshot_);
    if (other == 0 || !state_->retries.spend()) {
        return false;
    }
    restarted_ = true;
    services_.counters.add("magnoliaspan_search_restarts_total");
    services_.journal.note(
        Part::Plan, query_.requestId, fmt::format("search restarted shard={} lost={} snapshot={}", shard.spec->shard, snapshot_, other));
    snapshot_ = other;
    answered_ = 0;
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
        attempt.link->abandon(attempt.exchange);
        verdict_ = combine(verdict_, Verdict::MayHaveRun);
        services_.counters.add("magnoliaspan_cancelled_total");
        if (attempt.singleRun) {
            services_.quarantine.releaseSingleRun(fingerprint_);
        }
    }
    shard.attempts.clear();
}

void SearchOperation::secondAttemptsDue()
{
    const TimePoint now = services_.clock.now();
    if (services_.quarantine.suspicion(fingerprint_) != Suspicion::None || !services_.pause.fresh(now)) {
        return;
    }
    for (ShardProgress &shard : shards_) {
        if (shard.state != ShardState::Running || shard.attempts.size() != 1) {
            continue;
        }
        if (shard.hedgeAt <= now) {
            hedge(shard);
        }
        if (shard.secondAt <= now && shard.attempts.size() == 1) {
            tryNewConnection(shard);
        }
    }
}

std::vector<std::string> SearchOperation::avoided(const ShardProgress &shard) const
{
    std::vector<std::string> avoid = shard.tried;
    avoid.insert(avoid.end(), shard.lacking.begin(), shard.lacking.end());
    return avoid;
}

void SearchOperation::hedge(ShardProgress &shard)
{
    // One decision an attempt: without budget or replica the first attempt stays alone.
    shard.hedgeAt = TimePoint::max();
    std::vector<std::string> avoid = avoided(shard);
    avoid.push_back(shard.attempts.front().linkName);
    NoRoute why = NoRoute::Busy;
    const auto route = services_.targets.pick(wanted(shard, avoid, ConnectionNeed::Any), why);
    if (!route || route->permit.cold || !state_->hedges.spend()) {
        return;
    }
    services_.counters.add("magnoliaspan_hedges_total");
    dispatch(shard, *route, true, false);
    shard.hedgeAt = TimePoint::max();
}

void SearchOperation::tryNewConnection(ShardProgress &shard)
{
    NoRoute why = NoRoute::Busy;
    const auto route = services_.targets.pick(wanted(shard, avoided(shard), ConnectionNeed::New), why);
    if (!route) {
        // Its turn at a target that may be cold may still come.
        shard.secondAt = services_.clock.now() + pollInterval;
        return;
    }
    shard.secondAt = TimePoint::max();
    if (!state_->retries.spend()) {
        return;
    }
    services_.counters.add("magnoliaspan_silent_attempts_total");
    dispatch(shard, *route, true, false);
    shard.hedgeAt = TimePoint::max();
    shard.secondAt = TimePoint::max();
}

TimePoint SearchOperation::nextDue() const
{
    const TimePoint now = services_.clock.now();
    TimePoint due = now < softDeadline_ ? softDeadline_ : deadline_;
    for (const ShardProgress &shard : shards_) {
        if (shard.state == ShardState::Pending) {
            due = std::min(due, std::max(shard.notBefore, now + pollInterval));
        } else if (shard.state == ShardState::Running && shard.attempts.size() == 1) {
            due = std::min(due, std::max(std::min(shard.hedgeAt, shard.secondAt), now));
        }
    }
    return due;
}

void SearchOperation::arm()
{
    services_.scheduler.cancel(timer_);
    timer_ = services_.scheduler.callAt(nextDue(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->wake();
        }
    });
}

void SearchOperation::wake()
{
    if (!handler_) {
        return;
    }
    const TimePoint now = services_.clock.now();
    const double covered = static_cast<double>(answered_) / static_cast<double>(shards_.size());
    const bool enough = answered_ > 0 && covered >= minimumCoverage_;
    if (now >= deadline_ || (now >= softDeadline_ && enough)) {
        finish();
        return;
    }
    secondAttemptsDue();
    sendPending();
    if (handler_) {
        arm();
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
        const bool waits = shard.state == ShardState::Running;
        result.missing.push_back({shard.spec->shard, waits ? "not answered in time" : shard.lastFailure});
    }
    return result;
}

std::vector<Hit> SearchOperation::mergedHits()
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
        const std::string detail = fmt::format("{} of {} shards of '{}' answered; shard {}: {}",
                                               covered.answered,
                                               covered.total,
                                               system_->name,
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
    answer.hits = mergedHits();
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
    state_->ended(services_.clock.now());
    const Duration elapsed = services_.clock.now() - startedAt_;
    services_.counters.observe("magnoliaspan_search_seconds", elapsed);
    const Coverage covered = coverage();
    const auto *refusal = std::get_if<Refusal>(&result);
    services_.counters.add(fmt::format("magnoliaspan_searches_total{{result=\"{}\"}}",
                                       refusal != nullptr        ? refusal->code
                                       : covered.missing.empty() ? "complete"
                                                                 : "partial"));
    services_.journal.note(Part::Route,
                           query_.requestId,
                           fmt::format("search ended result={} snapshot={} answered={} total={}",
                                       refusal != nullptr ? refusal->code : "answered",
                                       snapshot_,
                                       covered.answered,
                                       covered.total));
    handler(std::move(result));
}

void SearchOperation::abandon()
{
    if (!handler_) {
        return;
    }
    handler_ = nullptr;
    services_.scheduler.cancel(timer_);
    for (ShardProgress &shard : shards_) {
        cancelAttempts(shard);
    }
    state_->ended(services_.clock.now());
    services_.counters.add("magnoliaspan_searches_total{result=\"caller_left\"}");
    services_.journal.note(Part::Route, query_.requestId, "search abandoned reason=\"the caller left\"");
}

} // namespace magnoliaspan
