/*
 * Part forward: connections of a replica, and what it learns from its sends.
 */
#include "forward/Replica.h"

#include "transport/TransportError.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <random>

namespace magnoliaspan {

namespace {

// Three round trips between the farthest regions and a handshake fit in a quarter of it; a lost opening packet does not.
constexpr Duration connectTime = std::chrono::milliseconds(400);
// Targets close idle connections; work that must not run twice keeps away from those that may be about to.
constexpr Duration freshIdle = std::chrono::seconds(2);
constexpr Duration keepAliveGuard = std::chrono::milliseconds(500);
constexpr Duration longestIdle = std::chrono::seconds(10);
// Targets reset connections beyond those that they take; a host's dead ones end at the targets' idle timeout.
constexpr Duration firstNoConnects = std::chrono::milliseconds(100);
constexpr Duration maxNoConnects = std::chrono::seconds(1);
constexpr unsigned maxDoublings = 5;
// Reading and working on a request takes a target longer than this beyond a round trip.
constexpr Duration turnAwaySlack = std::chrono::milliseconds(2);
// A host that has just started may follow one that lost power, and share the target's connections with its dead ones.
constexpr unsigned firstLocalConnections = 2;
constexpr unsigned firstRemoteConnections = 1;
// Connections beyond the first are kept only while there is work for them: when this host loses power, the target counts
// them until its own idle timeout.
constexpr Duration spareIdle = std::chrono::seconds(1);
// Beyond this a target works on more than it can bear, or is slow; either way less at once is better.
constexpr int overloadFactor = 2;
constexpr Duration overloadSlack = std::chrono::milliseconds(10);
// A send that waited this long and is late gives way, so that its caller may try another host.
constexpr Duration longestQueued = std::chrono::milliseconds(600);
// Without news for this long a replica is tried by one request at a time.
constexpr Duration staleAfter = std::chrono::seconds(1);

double coldPhase(std::uint64_t seed, const std::string &target)
{
    std::mt19937_64 random(seed ^ std::hash<std::string>{}(target));
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

std::string_view toString(SendEnd end)
{
    switch (end) {
    case SendEnd::Answered:
        return "answered";
    case SendEnd::NotRun:
        return "not_run";
    case SendEnd::OtherTarget:
        return "other_target";
    case SendEnd::NeverSent:
        return "never_sent";
    case SendEnd::TurnedAway:
        return "turned_away";
    case SendEnd::Lost:
        break;
    }
    return "lost";
}

Replica::Replica(const ForwardEnvironment &environment, TargetEntry entry, const ReplicaLimits &limits)
    : environment_(environment)
    , entry_(std::move(entry))
    , limits_(limits)
    , health_(environment.clock, limits.cold, entry_.coldLeft, coldPhase(environment.seed, entry_.id))
    , concurrency_(limits.connections, limits.connections)
    , allowedConnections_(limits.otherRegion ? firstRemoteConnections : firstLocalConnections)
    , alive_(std::make_shared<int>(0))
{
}

Replica::~Replica()
{
    for (const auto &[id, send] : sends_) {
        environment_.scheduler.cancel(send.timer);
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
}

void Replica::update(const TargetEntry &entry)
{
    entry_ = entry;
    health_.entryChanged(entry.coldLeft);
}

void Replica::suspectCold()
{
    health_.suspectCold();
}

bool Replica::cold() const
{
    return health_.cold();
}

bool Replica::takeColdSend()
{
    return health_.takeColdSend();
}

void Replica::end()
{
    ended_ = true;
    failQueued();
}

// Their callers move on to other replicas.
void Replica::failQueued()
{
    for (const SendId send : queue_.clear()) {
        finish(send, {SendEnd::NeverSent, {}, {}});
    }
}

bool Replica::ended() const
{
    return ended_;
}

bool Replica::unreachable() const
{
    return environment_.clock.now() < reachableAgainAt();
}

TimePoint Replica::reachableAgainAt() const
{
    return connections_.empty() ? std::max(health_.unreachableUntil(), noConnectsUntil_) : health_.unreachableUntil();
}

Duration Replica::expected(const std::string &workKind, const UsualLatency &usual) const
{
    const auto found = latency_.find(workKind);
    return found == latency_.end() ? usual.latency : found->second.expected(usual, environment_.clock.now());
}

ReplicaView Replica::view(const std::string &workKind, const UsualLatency &usual) const
{
    const TimePoint now = environment_.clock.now();
    ReplicaView view;
    view.expected = expected(workKind, usual);
    view.inFlight = static_cast<unsigned>(sends_.size());
    view.slots = entry_.slots;
    for (const auto &[id, send] : sends_) {
        view.oldestWait = std::max(view.oldestWait, now - send.queuedAt);
    }
    view.failureRate = health_.failureRate();
    view.otherRegion = limits_.otherRegion;
    const auto estimate = latency_.find(workKind);
    const bool slower = estimate != latency_.end() && view.expected > usual.latency + usual.latency / 2;
    view.stale = slower && health_.sinceHeard() > staleAfter;
    view.setAside = health_.setAside();
    return view;
}

TimePoint Replica::predictedEnd(const std::string &workKind, const UsualLatency &usual) const
{
    const Duration each = expected(workKind, usual);
    const auto ahead = static_cast<Duration::rep>(queue_.size());
    return environment_.clock.now() + each + each * ahead / std::max(1U, concurrency_.current());
}

std::size_t Replica::sends() const
{
    return sends_.size();
}

std::size_t Replica::connections() const
{
    return connections_.size();
}

Replica::ConnectionId Replica::idleConnection(bool repeatable) const
{
    const TimePoint now = environment_.clock.now();
    ConnectionId best = ConnectionId::None;
    TimePoint bestSince{};
    for (const auto &[id, pooled] : connections_) {
        if (pooled.connecting || pooled.send != SendId::None) {
            continue;
        }
        const Duration idle = now - pooled.idleSince;
        const bool expiring = pooled.keepAlive > Duration::zero() && idle + keepAliveGuard > pooled.keepAlive;
        if (expiring || (!repeatable && idle > freshIdle)) {
            continue;
        }
        // The one used last is the least likely to have been closed.
        if (best == ConnectionId::None || pooled.idleSince > bestSince) {
            best = id;
            bestSince = pooled.idleSince;
        }
    }
    return best;
}

SendId Replica::send(SendOrder order)
{
    assert(order.request != nullptr && "a send needs a request");
    const SendId id{++lastSend_};
    const bool repeatable = order.repeatable;
    Send &send = sends_[id];
    send.order = std::move(order);
    send.queuedAt = environment_.clock.now();
    const ConnectionId pooled = mayStart() ? idleConnection(repeatable) : ConnectionId::None;
    if (pooled != ConnectionId::None) {
        start(pooled, id);
        return id;
    }
    queue_.push(id, send.queuedAt, send.order.goal);
    serveQueue();
    return id;
}

// Idle connections that no waiting send may use must not keep one of them from opening its own.
void Replica::makeRoom()
{
    if (mayOpen() || environment_.clock.now() < noConnectsUntil_) {
        return;
    }
    for (const auto &[id, pooled] : connections_) {
        if (!pooled.connecting && pooled.send == SendId::None) {
            close(id);
            return;
        }
    }
}

void Replica::open()
{
    const ConnectionId id{++lastLine_};
    PooledConnection &pooled = connections_[id];
    pooled.openedAt = environment_.clock.now();
    const auto alive = std::weak_ptr<int>(alive_);
    pooled.timer = environment_.scheduler.callAt(environment_.clock.now() + connectTime, [this, alive, id] {
        if (!alive.expired()) {
            connected(id, TransportError::Silent);
        }
    });
    environment_.counters.add("magnoliaspan_target_connects_total");
    pooled.connection = environment_.transport.connect(
        entry_.address,
        [this, alive, id](std::error_code error) {
            if (!alive.expired()) {
                connected(id, error);
            }
        },
        [this, alive, id] {
            if (!alive.expired()) {
                closed(id);
            }
        });
}

void Replica::connected(ConnectionId id, std::error_code error)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second.connecting) {
        return;
    }
    PooledConnection &pooled = found->second;
    environment_.scheduler.cancel(pooled.timer);
    if (error) {
        const bool silent = error == make_error_code(TransportError::Silent);
        close(id);
        health_.connectFailed(silent);
        environment_.counters.add("magnoliaspan_target_connect_failures_total");
        environment_.journal.record(LogCategory::Target,
                                    "",
                                    fmt::format("connect failed target={} address={} error=\"{}\" in_a_row={} waiting={}",
                                                entry_.id,
                                                entry_.address.toString(),
                                                error.message(),
                                                health_.connectFailures(),
                                                queue_.size()));
        failQueued();
        return;
    }
    health_.connected();
    pooled.connecting = false;
    pooled.connectTook = environment_.clock.now() - pooled.openedAt;
    connectionFree(id);
}

void Replica::start(ConnectionId id, SendId sendId)
{
    PooledConnection &pooled = connections_.at(id);
    Send &send = sends_.at(sendId);
    send.alone = busyConnections() == 0;
    pooled.send = sendId;
    send.connection = id;
    const TimePoint now = environment_.clock.now();
    send.sentAt = now;
    const Duration left = std::max(Duration(std::chrono::milliseconds(1)), send.order.deadline - now);
    WireRequest wire = environment_.codec.encodeRequest(*send.order.request, entry_.id, left);
    pooled.connection->exchange(std::move(wire), [this, alive = std::weak_ptr<int>(alive_), id](WireReply reply) {
        if (!alive.expired()) {
            replied(id, std::move(reply));
        }
    });
}

void Replica::replied(ConnectionId id, WireReply reply)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    const SendId sendId = found->second.send;
    const auto running = sends_.find(sendId);
    assert(running != sends_.end() && "a busy connection carries a send");
    const bool broken = static_cast<bool>(reply.error);
    SendResult result;
    result.elapsed = environment_.clock.now() - *running->second.sentAt;
    judge(running->second, result, std::move(reply));
    const PooledConnection &pooled = found->second;
    if (result.end == SendEnd::Lost && pooled.fresh && result.elapsed <= pooled.connectTook + turnAwaySlack) {
        result.end = SendEnd::TurnedAway;
        turnedAway();
    } else if (result.end == SendEnd::Lost) {
        failed("connection lost");
    }
    if (pooled.fresh && !broken) {
        found->second.fresh = false;
        ++allowedConnections_;
    }
    found->second.send = SendId::None;
    found->second.keepAlive = result.answer.keepAlive.value_or(Duration::zero());
    if (broken || result.answer.closes || ended_) {
        close(id);
    } else {
        connectionFree(id);
    }
    finish(sendId, std::move(result));
}

void Replica::judge(Send &send, SendResult &result, WireReply reply)
{
    const TimePoint now = environment_.clock.now();
    if (reply.error) {
        result.end = reply.bytesSent ? SendEnd::Lost : SendEnd::NeverSent;
        return;
    }
    health_.heard();
    result.answer = environment_.codec.decodeAnswer(std::move(reply));
    if (result.answer.otherTarget) {
        result.end = SendEnd::OtherTarget;
        end();
        environment_.journal.record(
            LogCategory::Target,
            "",
            fmt::format("address belongs to another target now target={} address={}", entry_.id, entry_.address.toString()));
        return;
    }
    result.end = result.answer.notRun ? SendEnd::NotRun : SendEnd::Answered;
    if (!isGood(result.answer)) {
        failed(result.answer.notRun ? "shed" : "failure answered");
        if (result.answer.notRun) {
            concurrency_.shed(now);
        }
        return;
    }
    health_.succeeded();
    turnedAway_ = 0;
    learnLatency(send, result.elapsed);
}

// A refusal is fast, so that only whole answers tell how long the work takes.
void Replica::learnLatency(const Send &send, Duration elapsed)
{
    const TimePoint now = environment_.clock.now();
    LatencyEstimate &unloaded = unloaded_[send.order.workKind];
    const Duration base = unloaded.mean().value_or(elapsed);
    if (elapsed > overloadFactor * base + overloadSlack) {
        concurrency_.shed(now);
    } else {
        concurrency_.succeeded(busyConnections() >= concurrency_.current());
    }
    if (send.alone) {
        unloaded.add(elapsed, now);
    }
    latency_[send.order.workKind].add(elapsed, now);
}

void Replica::turnedAway()
{
    const unsigned doublings = std::min(turnedAway_, maxDoublings);
    ++turnedAway_;
    allowedConnections_ = std::max(1U, static_cast<unsigned>(connections_.size()) - 1);
    noConnectsUntil_ = environment_.clock.now() + std::min(maxNoConnects, firstNoConnects * (1U << doublings));
    environment_.counters.add("magnoliaspan_target_turn_aways_total");
    if (turnedAway_ == 1) {
        environment_.journal.record(
            LogCategory::Target, "", fmt::format("target takes no more connections target={} own={}", entry_.id, connections_.size() - 1));
    }
}

bool Replica::mayOpen() const
{
    return connections_.size() < std::min(limits_.connections, allowedConnections_) && environment_.clock.now() >= noConnectsUntil_;
}

void Replica::failed(std::string_view cause)
{
    health_.failed();
    environment_.counters.add(fmt::format("magnoliaspan_target_failures_total{{cause=\"{}\"}}", cause));
}

void Replica::connectionFree(ConnectionId id)
{
    PooledConnection &pooled = connections_.at(id);
    pooled.idleSince = environment_.clock.now();
    startQueued(id);
}

void Replica::startQueued(ConnectionId id)
{
    if (!mayStart() || queue_.empty()) {
        return;
    }
    // Several kinds of work wait here. Their loaded latencies would make everything look late under overload.
    Duration expected{};
    for (const auto &[kind, estimate] : unloaded_) {
        expected = std::max(expected, estimate.mean().value_or(Duration::zero()));
    }
    if (const auto next = queue_.pop(environment_.clock.now(), expected)) {
        start(id, *next);
    }
}

bool Replica::mayStart() const
{
    return busyConnections() < concurrency_.current();
}

unsigned Replica::busyConnections() const
{
    return static_cast<unsigned>(
        std::count_if(connections_.begin(), connections_.end(), [](const auto &entry) { return entry.second.send != SendId::None; }));
}

void Replica::serveQueue()
{
    if (queue_.empty() || !mayStart()) {
        return;
    }
    const ConnectionId idle = idleConnection(allQueuedRepeatable());
    if (idle != ConnectionId::None) {
        startQueued(idle);
    } else {
        makeRoom();
    }
    const auto connecting = static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [](const auto &entry) { return entry.second.connecting; }));
    if (connecting < queue_.size() && mayOpen() && mayStart()) {
        open();
    }
}

// Which send goes next is the queue's choice, so that one of work that must not run twice rules for all.
bool Replica::allQueuedRepeatable() const
{
    return std::none_of(sends_.begin(), sends_.end(), [](const auto &entry) {
        return entry.second.connection == ConnectionId::None && !entry.second.order.repeatable;
    });
}

// The target closed an idle connection.
void Replica::closed(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.send != SendId::None) {
        return;
    }
    close(id);
    serveQueue();
}

void Replica::close(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    environment_.scheduler.cancel(found->second.timer);
    // It may be closed by a call of its own.
    std::shared_ptr<Connection> connection = std::move(found->second.connection);
    connections_.erase(found);
    if (connection) {
        connection->close();
        environment_.scheduler.callAt(environment_.clock.now(), [connection] {});
    }
}

void Replica::finish(SendId id, SendResult result)
{
    const auto found = sends_.find(id);
    if (found == sends_.end()) {
        return;
    }
    environment_.scheduler.cancel(found->second.timer);
    const auto handler = std::move(found->second.order.handler);
    sends_.erase(found);
    serveQueue();
    if (handler) {
        // Connects may fail inside send().
        environment_.scheduler.callAt(environment_.clock.now(),
                                      [handler, result = std::move(result)]() mutable { handler(std::move(result)); });
    }
}

bool Replica::waiting(SendId send) const
{
    const auto found = sends_.find(send);
    return found != sends_.end() && !found->second.sentAt;
}

void Replica::abandon(SendId id)
{
    const auto found = sends_.find(id);
    if (found == sends_.end()) {
        return;
    }
    const ConnectionId pooled = found->second.connection;
    environment_.scheduler.cancel(found->second.timer);
    sends_.erase(found);
    queue_.erase(id);
    if (pooled != ConnectionId::None) {
        close(pooled);
        serveQueue();
    }
}

void Replica::release(SendId id, TimePoint until)
{
    const auto found = sends_.find(id);
    if (found == sends_.end()) {
        return;
    }
    Send &send = found->second;
    if (send.connection == ConnectionId::None) {
        abandon(id);
        return;
    }
    send.order.handler = nullptr;
    send.order.request = nullptr;
    const std::string kind = send.order.workKind;
    send.timer = environment_.scheduler.callAt(until, [this, alive = std::weak_ptr<int>(alive_), id, kind] {
        if (alive.expired()) {
            return;
        }
        const auto late = sends_.find(id);
        if (late == sends_.end()) {
            return;
        }
        const TimePoint now = environment_.clock.now();
        // It would have taken at least this long.
        latency_[kind].add(now - *late->second.sentAt, now);
        abandon(id);
    });
}

void Replica::expireQueued()
{
    for (const SendId send : queue_.expire(environment_.clock.now(), longestQueued)) {
        finish(send, {SendEnd::NeverSent, {}, {}});
    }
}

void Replica::closeIdle()
{
    const TimePoint now = environment_.clock.now();
    expireQueued();
    serveQueue();
    std::vector<ConnectionId> old;
    for (const auto &[id, pooled] : connections_) {
        if (pooled.connecting || pooled.send != SendId::None) {
            continue;
        }
        const Duration longest = connections_.size() - old.size() > 1 ? spareIdle : longestIdle;
        const Duration limit = pooled.keepAlive > Duration::zero() ? std::min(longest, pooled.keepAlive - keepAliveGuard) : longest;
        if (now - pooled.idleSince > limit) {
            old.push_back(id);
        }
    }
    for (const ConnectionId id : old) {
        close(id);
    }
}

} // namespace magnoliaspan
