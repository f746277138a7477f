/*
 * Manages the connections of a replica and updates its latency, health and limits from the results of attempts.
 */
#include "forward/Replica.h"

#include "core/Text.h"
#include "transport/TransportError.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <random>

namespace magnoliaspan {

namespace {

// Three round trips between the farthest regions and a handshake fit in a quarter of it; the retransmission of a lost SYN
// does not fit in it.
constexpr Duration connectTimeout = std::chrono::milliseconds(400);
// Targets close idle connections; a request that must not run twice does not use one that may be about to be closed.
constexpr Duration maxNonIdempotentIdle = std::chrono::seconds(2);
constexpr Duration keepAliveMargin = std::chrono::milliseconds(500);
constexpr Duration maxIdle = std::chrono::seconds(10);
// Targets reset connections beyond their limit. Dead ones of a host that lost power count until the targets' idle timeout.
constexpr Duration minConnectBackoff = std::chrono::milliseconds(100);
constexpr Duration maxConnectBackoff = std::chrono::seconds(1);
constexpr unsigned maxDoublings = 5;
// A target needs longer than this beyond a round trip to read and run a request.
constexpr Duration rejectionSlack = std::chrono::milliseconds(2);
// A target that breaks connections which it had accepted goes on doing so for seconds.
constexpr Duration lossMemory = std::chrono::seconds(5);
// A host that has just started may replace one that lost power, whose dead connections still count at the target.
constexpr unsigned initialLocalConnections = 2;
constexpr unsigned initialRemoteConnections = 1;
// Connections beyond the first are kept only while they are used: if this host loses power, the target counts them until
// its own idle timeout.
constexpr Duration maxSpareIdle = std::chrono::seconds(1);
// Beyond this the target is overloaded or slow; in both cases a lower concurrency is better.
constexpr int overloadFactor = 2;
constexpr Duration overloadSlack = std::chrono::milliseconds(10);
// An attempt queued for this long that missed its latency goal is dropped, so that the caller may try another host.
constexpr Duration maxQueueTime = std::chrono::milliseconds(600);
// A slow replica without a response for this long is probed by one request at a time.
constexpr Duration staleAfter = std::chrono::seconds(1);
// A target that asks for longer is taken to be in error, and is tried again after this time.
constexpr Duration maxPause = std::chrono::minutes(1);
constexpr int pauseSpreadDivisor = 10;
constexpr Duration maxPauseSpread = std::chrono::milliseconds(250);

// Of intervals between sends, 0 to 1: hosts that share a limit must not send at the same instants.
double phaseOf(std::uint64_t seed, const std::string &target)
{
    std::mt19937_64 random(seed ^ std::hash<std::string>{}(target));
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

std::string_view toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::NotRun:
        return "not_run";
    case AttemptOutcome::OtherTarget:
        return "other_target";
    case AttemptOutcome::NeverSent:
        return "never_sent";
    case AttemptOutcome::Withheld:
        return "withheld";
    case AttemptOutcome::ConnectionRejected:
        return "turned_away";
    case AttemptOutcome::Lost:
        break;
    }
    return "lost";
}

Replica::Replica(const ForwardEnvironment &environment,
                 TargetEntry entry,
                 const ReplicaLimits &limits,
                 std::shared_ptr<TargetStatement> statement)
    : environment_(environment)
    , entry_(std::move(entry))
    , limits_(limits)
    , health_(environment.clock, limits.cold, entry_.coldLeft, phaseOf(environment.seed, entry_.id))
    , concurrency_(limits.connections, limits.connections)
    , allowedConnections_(limits.otherRegion ? initialRemoteConnections : initialLocalConnections)
    , requestLimit_(phaseOf(environment.seed, entry_.id))
    , statement_(std::move(statement))
    , lifetimeToken_(std::make_shared<int>(0))
{
    assert(statement_ != nullptr && "a replica needs the statement of its target");
    setTrafficShare(limits.trafficShare);
}

Replica::~Replica()
{
    for (const auto &[id, attempt] : attempts_) {
        environment_.scheduler.cancel(attempt.timer);
    }
    for (const auto &[id, pooled] : connections_) {
        environment_.scheduler.cancel(pooled.timer);
    }
}

const TargetEntry &Replica::entry() const
{
    return entry_;
}

const ReplicaLimits &Replica::limits() const
{
    return limits_;
}

void Replica::setLimits(const ReplicaLimits &limits)
{
    limits_ = limits;
    health_.setLimits(limits.cold);
    concurrency_.setMaximum(limits.connections);
    setTrafficShare(limits.trafficShare);
}

void Replica::setTrafficShare(double share)
{
    limits_.trafficShare = share;
    requestLimit_.setTrafficShare(share, environment_.clock.now());
}

std::optional<TimePoint> Replica::saidLeavingAt() const
{
    return statement_->leavingSince;
}

TimePoint Replica::pausedUntil() const
{
    return statement_->pausedUntil;
}

bool Replica::isPaused() const
{
    return environment_.clock.now() < statement_->pausedUntil;
}

bool Replica::takesRequest() const
{
    return !isPaused() && requestLimit_.permitsRequest(environment_.clock.now());
}

void Replica::updateEntry(const TargetEntry &entry)
{
    entry_ = entry;
    health_.onEntryChanged(entry.coldLeft);
}

void Replica::suspectCold()
{
    health_.suspectCold();
}

bool Replica::isCold() const
{
    return health_.isCold();
}

bool Replica::tryAcquireColdSend()
{
    return health_.tryAcquireColdSend();
}

void Replica::retire()
{
    retired_ = true;
    failQueued();
}

// The calls retry on other replicas.
void Replica::failQueued()
{
    for (const AttemptId attempt : queue_.clear()) {
        finish(attempt, {AttemptOutcome::NeverSent, {}, {}});
    }
}

// The calls choose again, possibly this replica.
void Replica::withholdQueued()
{
    for (const AttemptId attempt : queue_.clear()) {
        endAttempt(attempt, {AttemptOutcome::Withheld, {}, {}});
    }
}

bool Replica::isRetired() const
{
    return retired_;
}

bool Replica::isUnreachable() const
{
    return environment_.clock.now() < unreachableUntil();
}

TimePoint Replica::unreachableUntil() const
{
    return connections_.empty() ? std::max(health_.unreachableUntil(), connectBackoffUntil_) : health_.unreachableUntil();
}

Duration Replica::expectedLatency(const std::string &workKind, const LatencyBaseline &baseline) const
{
    const auto found = latency_.find(workKind);
    return found == latency_.end() ? baseline.latency : found->second.expected(baseline, environment_.clock.now());
}

ReplicaStats Replica::stats(const std::string &workKind, const LatencyBaseline &baseline) const
{
    const TimePoint now = environment_.clock.now();
    ReplicaStats stats;
    stats.expectedLatency = expectedLatency(workKind, baseline);
    stats.inFlight = static_cast<unsigned>(attempts_.size());
    stats.slots = entry_.slots;
    for (const auto &[id, attempt] : attempts_) {
        stats.oldestWait = std::max(stats.oldestWait, now - attempt.queuedAt);
    }
    stats.failureRate = health_.failureRate();
    stats.otherRegion = limits_.otherRegion;
    const auto estimate = latency_.find(workKind);
    const bool slower = estimate != latency_.end() && stats.expectedLatency > baseline.latency + baseline.latency / 2;
    stats.stale = slower && health_.sinceLastResponse() > staleAfter;
    stats.inBackoff = health_.isInBackoff();
    return stats;
}

TimePoint Replica::predictedCompletion(const std::string &workKind, const LatencyBaseline &baseline) const
{
    const Duration each = expectedLatency(workKind, baseline);
    const auto ahead = static_cast<Duration::rep>(queue_.size());
    return environment_.clock.now() + each + each * ahead / std::max(1U, concurrency_.current());
}

std::size_t Replica::attemptCount() const
{
    return attempts_.size();
}

std::size_t Replica::connectionCount() const
{
    return connections_.size();
}

Replica::ConnectionId Replica::findIdleConnection(bool idempotent) const
{
    const TimePoint now = environment_.clock.now();
    ConnectionId best = ConnectionId::None;
    TimePoint bestSince{};
    for (const auto &[id, pooled] : connections_) {
        if (pooled.connecting || pooled.attempt != AttemptId::None) {
            continue;
        }
        const Duration idle = now - pooled.idleSince;
        const bool expiring = pooled.keepAlive > Duration::zero() && idle + keepAliveMargin > pooled.keepAlive;
        if (expiring || (!idempotent && idle > maxNonIdempotentIdle)) {
            continue;
        }
        // The most recently used one is the least likely to have been closed.
        if (best == ConnectionId::None || pooled.idleSince > bestSince) {
            best = id;
            bestSince = pooled.idleSince;
        }
    }
    return best;
}

bool Replica::hasIdleConnection() const
{
    return canStartAttempt() && findIdleConnection(true) != ConnectionId::None;
}

AttemptId Replica::send(AttemptOptions options)
{
    assert(options.request != nullptr && "an attempt needs a request");
    const AttemptId id{++lastAttempt_};
    const bool idempotent = options.idempotent;
    Attempt &attempt = attempts_[id];
    attempt.options = std::move(options);
    attempt.queuedAt = environment_.clock.now();
    requestLimit_.recordRequest(attempt.queuedAt);
    const ConnectionId pooled = canStartAttempt() ? findIdleConnection(idempotent) : ConnectionId::None;
    if (pooled != ConnectionId::None) {
        startAttempt(pooled, id);
        return id;
    }
    queue_.push(id, attempt.queuedAt, attempt.options.goal);
    serveQueue();
    return id;
}

// Idle connections that the queued attempts may not use must not keep a new one from being opened.
void Replica::freeConnectionSlot()
{
    if (canOpenConnection() || environment_.clock.now() < connectBackoffUntil_) {
        return;
    }
    for (const auto &[id, pooled] : connections_) {
        if (!pooled.connecting && pooled.attempt == AttemptId::None) {
            closeConnection(id);
            return;
        }
    }
}

void Replica::openConnection()
{
    const ConnectionId id{++lastConnection_};
    PooledConnection &pooled = connections_[id];
    pooled.openedAt = environment_.clock.now();
    const auto token = std::weak_ptr<int>(lifetimeToken_);
    pooled.timer = environment_.scheduler.callAt(environment_.clock.now() + connectTimeout, [this, token, id] {
        if (!token.expired()) {
            onConnected(id, TransportError::Silent);
        }
    });
    environment_.counters.add("magnoliaspan_target_connects_total");
    pooled.connection = environment_.transport.connect(
        entry_.address,
        [this, token, id](std::error_code error) {
            if (!token.expired()) {
                onConnected(id, error);
            }
        },
        [this, token, id] {
            if (!token.expired()) {
                onClosed(id);
            }
        });
}

void Replica::onConnected(ConnectionId id, std::error_code error)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second.connecting) {
        return;
    }
    PooledConnection &pooled = found->second;
    environment_.scheduler.cancel(pooled.timer);
    if (error) {
        const bool silent = error == make_error_code(TransportError::Silent);
        closeConnection(id);
        if (!silent) {
            undecidedLossAt_.reset();
            environment_.crashGuard.recordTargetGone(entry_);
        }
        health_.recordConnectFailure(silent);
        environment_.contact.recordConnectFailure(entry_.id);
        environment_.counters.add("magnoliaspan_target_connect_failures_total");
        environment_.journal.record(LogCategory::Target,
                                    "",
                                    fmt::format("connect failed target={} address={} error=\"{}\" in_a_row={} waiting={}",
                                                toLogValue(entry_.id),
                                                entry_.address.toString(),
                                                error.message(),
                                                health_.consecutiveConnectFailures(),
                                                queue_.size()));
        failQueued();
        return;
    }
    health_.recordConnect();
    environment_.contact.recordConnect();
    pooled.connecting = false;
    pooled.connectDuration = environment_.clock.now() - pooled.openedAt;
    environment_.crashGuard.recordTargetAlive(entry_, pooled.openedAt);
    const bool provesNothing = undecidedLossAt_ && pooled.openedAt < *undecidedLossAt_;
    onConnectionIdle(id);
    if (provesNothing) {
        probeAfterLoss();
    } else {
        undecidedLossAt_.reset();
    }
}

void Replica::startAttempt(ConnectionId id, AttemptId attemptId)
{
    PooledConnection &pooled = connections_.at(id);
    Attempt &attempt = attempts_.at(attemptId);
    attempt.unloaded = busyConnections() == 0;
    pooled.attempt = attemptId;
    attempt.connection = id;
    const TimePoint now = environment_.clock.now();
    attempt.sentAt = now;
    const Duration timeLeft = std::max(Duration(std::chrono::milliseconds(1)), attempt.options.deadline - now);
    WireRequest wire = environment_.codec.encodeRequest(*attempt.options.request, entry_.id, timeLeft);
    pooled.connection->exchange(std::move(wire), [this, token = std::weak_ptr<int>(lifetimeToken_), id](WireReply reply) {
        if (!token.expired()) {
            onReply(id, std::move(reply));
        }
    });
}

void Replica::onReply(ConnectionId id, WireReply reply)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    const AttemptId attemptId = found->second.attempt;
    const auto running = attempts_.find(attemptId);
    assert(running != attempts_.end() && "a busy connection carries an attempt");
    const bool broken = static_cast<bool>(reply.error);
    const bool responded = reply.bytesReceived;
    AttemptResult result;
    result.elapsed = environment_.clock.now() - *running->second.sentAt;
    classifyReply(running->second, result, std::move(reply));
    const PooledConnection &pooled = found->second;
    if (pooled.fresh) {
        result.connectTime = pooled.connectDuration;
    }
    // A target that rejects a connection sends nothing on it.
    if (result.outcome == AttemptOutcome::Lost && pooled.fresh && !responded && result.elapsed <= pooled.connectDuration + rejectionSlack) {
        result.outcome = AttemptOutcome::ConnectionRejected;
        result.hasArrived = mayHaveAccepted(pooled, *running->second.sentAt);
        onConnectionRejected();
    } else if (result.outcome == AttemptOutcome::Lost) {
        recordFailure("connection lost");
        lastLossAt_ = environment_.clock.now();
    }
    if (pooled.fresh && !broken) {
        found->second.fresh = false;
        ++allowedConnections_;
    }
    found->second.attempt = AttemptId::None;
    found->second.keepAlive = result.response.keepAlive.value_or(Duration::zero());
    const bool closes = broken || result.response.closesConnection || retired_;
    if (closes) {
        closeConnection(id);
    }
    notifyCrashGuard(running->second, result, !broken);
    if (!closes) {
        onConnectionIdle(id);
    }
    finish(attemptId, std::move(result));
}

// A full target resets a new connection within a round trip, whether a request was sent on it or not, and no older ones.
bool Replica::mayHaveAccepted(const PooledConnection &pooled, TimePoint sentAt) const
{
    const TimePoint connectedAt = pooled.openedAt + pooled.connectDuration;
    const bool stayedOpen = sentAt - connectedAt > pooled.connectDuration + rejectionSlack;
    return stayedOpen || (lastLossAt_ && environment_.clock.now() - *lastLossAt_ <= lossMemory);
}

// Called for each attempt that was sent and not cancelled, whether anybody waits for its response or not.
void Replica::notifyCrashGuard(const Attempt &attempt, const AttemptResult &result, bool responded)
{
    CrashGuard &crashGuard = environment_.crashGuard;
    const Fingerprint fingerprint = attempt.options.fingerprint;
    constexpr unsigned firstServerError = 500;
    if (responded) {
        crashGuard.recordTargetAlive(entry_, *attempt.sentAt);
    }
    // A target that fails may not have come to the part that crashes it.
    if (result.outcome == AttemptOutcome::Answered && result.response.status < firstServerError) {
        crashGuard.recordSurvival(fingerprint, entry_.service);
    }
    // A target that is full resets new connections; one to which other connections stay open is not gone.
    const bool rejected = result.outcome == AttemptOutcome::ConnectionRejected && connections_.empty();
    if (result.outcome != AttemptOutcome::Lost && !rejected) {
        return;
    }
    undecidedLossAt_ = environment_.clock.now();
    crashGuard.recordTargetLoss(fingerprint, entry_, *attempt.sentAt, rejected);
    probeAfterLoss();
}

// Whether the next connect succeeds tells a lost connection from a lost target.
void Replica::probeAfterLoss()
{
    if (!retired_) {
        probe();
    }
}

void Replica::classifyReply(Attempt &attempt, AttemptResult &result, WireReply reply)
{
    const TimePoint now = environment_.clock.now();
    if (reply.error == TransportError::MalformedReply) {
        environment_.counters.add("magnoliaspan_target_responses_malformed_total");
        environment_.journal.record(
            LogCategory::Target,
            // An attempt that nobody waits for has no request any more.
            attempt.options.request == nullptr ? "" : attempt.options.request->id,
            fmt::format("malformed response, expected HTTP/1.1 target={} address={}", toLogValue(entry_.id), entry_.address.toString()));
    }
    if (reply.error) {
        result.outcome = reply.bytesSent ? AttemptOutcome::Lost : AttemptOutcome::NeverSent;
        environment_.contact.recordSilence(entry_.id);
        return;
    }
    health_.recordResponse();
    environment_.contact.recordResponse();
    result.response = environment_.codec.decodeResponse(std::move(reply));
    if (result.response.otherTarget) {
        result.outcome = AttemptOutcome::OtherTarget;
        retire();
        environment_.journal.record(
            LogCategory::Target,
            "",
            fmt::format("address now belongs to another target target={} address={}", toLogValue(entry_.id), entry_.address.toString()));
        return;
    }
    applyRequestLimit(attempt, result.response);
    applyStatements(result.response);
    result.outcome = result.response.notRun ? AttemptOutcome::NotRun : AttemptOutcome::Answered;
    if (!isSuccess(result.response)) {
        recordFailure(result.response.notRun ? "shed" : "failure answered");
        if (result.response.notRun) {
            concurrency_.recordShed(now);
        }
        return;
    }
    health_.recordSuccess();
    consecutiveRejections_ = 0;
    recordLatency(attempt, result.elapsed);
}

void Replica::applyRequestLimit(const Attempt &attempt, const TargetResponse &response)
{
    if (response.limit.kind == RequestLimit::Kind::Malformed) {
        environment_.counters.add("magnoliaspan_target_limits_malformed_total");
    }
    if (!requestLimit_.applyResponse(response.limit, *attempt.sentAt, response.notRun, environment_.clock.now())) {
        return;
    }
    const auto limit = requestLimit_.perSecond();
    environment_.journal.record(
        LogCategory::Target,
        "",
        limit ? fmt::format("target limits the requests of all hosts target={} per_second={}", toLogValue(entry_.id), *limit)
              : fmt::format("target no longer limits requests target={}", toLogValue(entry_.id)));
}

void Replica::applyStatements(const TargetResponse &response)
{
    if (response.leaving && !statement_->leavingSince) {
        statement_->leavingSince = environment_.clock.now();
        environment_.counters.add("magnoliaspan_targets_leaving_total");
        environment_.journal.record(LogCategory::Target,
                                    "",
                                    fmt::format("target says that it leaves target={} status={} published={} queued={}",
                                                toLogValue(entry_.id),
                                                response.status,
                                                entry_.stage == TargetStage::Ready ? "ready" : "draining",
                                                queue_.size()));
        withholdQueued();
    }
    applyPause(response.pause);
}

void Replica::applyPause(const RequestedPause &pause)
{
    if (!pause.malformed.empty()) {
        environment_.counters.add("magnoliaspan_target_pauses_malformed_total");
        environment_.journal.record(LogCategory::Target,
                                    "",
                                    fmt::format("pause ignored, expected seconds as a number target={} value={}",
                                                toLogValue(entry_.id),
                                                quoteForLog(pause.malformed)));
    }
    if (pause.kind != RequestedPause::Kind::Stated || pause.duration == Duration::zero()) {
        return;
    }
    // Targets of one service end their pauses together, and the hosts must not all return at that instant.
    const double phase = phaseOf(environment_.seed, entry_.id);
    const Duration duration = std::min(pause.duration, maxPause);
    const Duration spread = std::min(duration / pauseSpreadDivisor, maxPauseSpread);
    const TimePoint until = environment_.clock.now() + duration + std::chrono::duration_cast<Duration>(phase * spread);
    if (until <= statement_->pausedUntil) {
        return;
    }
    environment_.counters.add("magnoliaspan_target_pauses_total");
    environment_.journal.record(LogCategory::Target,
                                "",
                                fmt::format("target asks for a pause target={} pause_ms={} until_ms={} queued={}",
                                            toLogValue(entry_.id),
                                            std::chrono::duration_cast<std::chrono::milliseconds>(pause.duration).count(),
                                            std::chrono::duration_cast<std::chrono::milliseconds>(until.time_since_epoch()).count(),
                                            queue_.size()));
    statement_->pausedUntil = until;
    withholdQueued();
}

// Only successful responses count: refusals are fast and say nothing about how long a request takes.
void Replica::recordLatency(const Attempt &attempt, Duration elapsed)
{
    const TimePoint now = environment_.clock.now();
    LatencyEstimate &unloaded = unloadedLatency_[attempt.options.workKind];
    const Duration base = unloaded.mean().value_or(elapsed);
    if (elapsed > overloadFactor * base + overloadSlack) {
        concurrency_.recordShed(now);
    } else {
        concurrency_.recordSuccess(busyConnections() >= concurrency_.current());
    }
    if (attempt.unloaded) {
        unloaded.add(elapsed, now);
    }
    latency_[attempt.options.workKind].add(elapsed, now);
}

void Replica::onConnectionRejected()
{
    const unsigned doublings = std::min(consecutiveRejections_, maxDoublings);
    ++consecutiveRejections_;
    allowedConnections_ = std::max(1U, static_cast<unsigned>(connections_.size()) - 1);
    connectBackoffUntil_ = environment_.clock.now() + std::min(maxConnectBackoff, minConnectBackoff * (1U << doublings));
    environment_.counters.add("magnoliaspan_target_turn_aways_total");
    if (consecutiveRejections_ == 1) {
        environment_.journal.record(
            LogCategory::Target,
            "",
            fmt::format("target rejects further connections target={} own={}", toLogValue(entry_.id), connections_.size() - 1));
    }
}

Duration Replica::sinceLastResponse() const
{
    return health_.sinceLastResponse();
}

void Replica::probe()
{
    if (connectingCount() == 0) {
        openConnection();
    }
}

void Replica::onContactRegained()
{
    health_.onContactRegained();
}

bool Replica::canOpenConnection() const
{
    return connections_.size() < std::min(limits_.connections, allowedConnections_) && environment_.clock.now() >= connectBackoffUntil_;
}

void Replica::recordFailure(std::string_view cause)
{
    health_.recordFailure();
    environment_.counters.add(fmt::format("magnoliaspan_target_failures_total{{cause=\"{}\"}}", cause));
}

void Replica::onConnectionIdle(ConnectionId id)
{
    PooledConnection &pooled = connections_.at(id);
    pooled.idleSince = environment_.clock.now();
    startNextQueued(id);
}

void Replica::startNextQueued(ConnectionId id)
{
    if (!canStartAttempt() || queue_.empty()) {
        return;
    }
    // Attempts of several kinds of work are queued. Latencies under load would make all of them look late in an overload.
    Duration expected{};
    for (const auto &[kind, estimate] : unloadedLatency_) {
        expected = std::max(expected, estimate.mean().value_or(Duration::zero()));
    }
    while (const auto next = queue_.pop(environment_.clock.now(), expected)) {
        const AttemptOptions &options = attempts_.at(*next).options;
        if (environment_.crashGuard.mayStillSend(options.fingerprint, options.trial != nullptr)) {
            startAttempt(id, *next);
            return;
        }
        endAttempt(*next, {AttemptOutcome::Withheld, {}, {}});
    }
}

bool Replica::canStartAttempt() const
{
    return busyConnections() < concurrency_.current();
}

unsigned Replica::busyConnections() const
{
    return static_cast<unsigned>(
        std::count_if(connections_.begin(), connections_.end(), [](const auto &entry) { return entry.second.attempt != AttemptId::None; }));
}

std::size_t Replica::connectingCount() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [](const auto &entry) { return entry.second.connecting; }));
}

bool Replica::isConnectingForQueue() const
{
    return connectingCount() >= queue_.size();
}

void Replica::serveQueue()
{
    if (queue_.empty() || !canStartAttempt()) {
        return;
    }
    const ConnectionId idle = findIdleConnection(allQueuedIdempotent());
    if (idle != ConnectionId::None) {
        startNextQueued(idle);
    } else {
        freeConnectionSlot();
    }
    if (connectingCount() < queue_.size() && canOpenConnection() && canStartAttempt()) {
        openConnection();
    }
}

// The queue decides which attempt is next, so a single one that must not run twice restricts the choice for all.
bool Replica::allQueuedIdempotent() const
{
    return std::none_of(attempts_.begin(), attempts_.end(), [](const auto &entry) {
        return entry.second.connection == ConnectionId::None && !entry.second.options.idempotent;
    });
}

// Called when the target closes a connection; exchanges in progress end through onReply() instead.
void Replica::onClosed(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.attempt != AttemptId::None) {
        return;
    }
    closeConnection(id);
    serveQueue();
}

void Replica::closeConnection(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    environment_.scheduler.cancel(found->second.timer);
    // Keeps the connection alive until its callback, from which this may be called, has returned.
    std::shared_ptr<Connection> connection = std::move(found->second.connection);
    connections_.erase(found);
    if (connection) {
        connection->close();
        environment_.scheduler.callAt(environment_.clock.now(), [connection] {});
    }
}

void Replica::finish(AttemptId id, AttemptResult result)
{
    endAttempt(id, std::move(result));
    serveQueue();
}

void Replica::endAttempt(AttemptId id, AttemptResult result)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    environment_.scheduler.cancel(found->second.timer);
    const auto handler = std::move(found->second.options.handler);
    attempts_.erase(found);
    if (handler) {
        // Deferred, because connects may fail inside send() and the handler must not be called from there.
        environment_.scheduler.callAt(environment_.clock.now(),
                                      [handler, result = std::move(result)]() mutable { handler(std::move(result)); });
    }
}

bool Replica::isQueued(AttemptId attempt) const
{
    const auto found = attempts_.find(attempt);
    return found != attempts_.end() && !found->second.sentAt;
}

void Replica::cancel(AttemptId id)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    const ConnectionId pooled = found->second.connection;
    environment_.scheduler.cancel(found->second.timer);
    attempts_.erase(found);
    queue_.erase(id);
    if (pooled != ConnectionId::None) {
        closeConnection(pooled);
        serveQueue();
    }
}

void Replica::detach(AttemptId id, TimePoint until)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    Attempt &attempt = found->second;
    if (attempt.connection == ConnectionId::None) {
        cancel(id);
        return;
    }
    attempt.options.handler = nullptr;
    attempt.options.request = nullptr;
    const std::string kind = attempt.options.workKind;
    attempt.timer = environment_.scheduler.callAt(until, [this, token = std::weak_ptr<int>(lifetimeToken_), id, kind] {
        if (token.expired()) {
            return;
        }
        const auto late = attempts_.find(id);
        if (late == attempts_.end()) {
            return;
        }
        const TimePoint now = environment_.clock.now();
        // The latency is at least this.
        latency_[kind].add(now - *late->second.sentAt, now);
        cancel(id);
    });
}

void Replica::expireQueued()
{
    for (const AttemptId attempt : queue_.expire(environment_.clock.now(), maxQueueTime)) {
        finish(attempt, {AttemptOutcome::NeverSent, {}, {}});
    }
}

void Replica::runMaintenance()
{
    const TimePoint now = environment_.clock.now();
    expireQueued();
    serveQueue();
    std::vector<ConnectionId> old;
    for (const auto &[id, pooled] : connections_) {
        if (pooled.connecting || pooled.attempt != AttemptId::None) {
            continue;
        }
        const Duration longest = connections_.size() - old.size() > 1 ? maxSpareIdle : maxIdle;
        const Duration limit = pooled.keepAlive > Duration::zero() ? std::min(longest, pooled.keepAlive - keepAliveMargin) : longest;
        if (now - pooled.idleSince > limit) {
            old.push_back(id);
        }
    }
    for (const ConnectionId id : old) {
        closeConnection(id);
    }
}

} // namespace magnoliaspan
