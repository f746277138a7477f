/*
 * Connections, limits and observed state of one target or peer.
 */
#include "control/TargetLink.h"

#include "transport/TransportError.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr Duration justVerifiedWindow = std::chrono::milliseconds(20);
constexpr Duration verificationTimeout = std::chrono::milliseconds(100);
constexpr Duration idleProbeInterval = std::chrono::seconds(2);
constexpr Duration probeTimeout = std::chrono::milliseconds(500);
constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr Duration firstConnectBackoff = std::chrono::milliseconds(100);
constexpr Duration maxConnectBackoff = std::chrono::seconds(3);
constexpr Duration minColdSendTime = std::chrono::milliseconds(2);
constexpr double latencyWeight = 0.1;
// Weight of a cancelled attempt that took longer than the mean: its latency was at least the time waited,
// which outweighs a single response.
constexpr double cancelledLatencyWeight = 1;
constexpr Duration latencyHalfLife = std::chrono::seconds(5);
constexpr Duration firstSendPause = std::chrono::milliseconds(20);
constexpr Duration maxSendPause = std::chrono::seconds(1);
constexpr std::string_view statusPath = "/v1/state";

bool acceptsWork(TargetState state)
{
    return state != TargetState::Leaving && state != TargetState::Lost;
}

} // namespace

Verdict LinkReply::verdict() const
{
    if (reply) {
        return reply->verdict;
    }
    return bytesSent ? Verdict::MayHaveRun : Verdict::NotRun;
}

TargetLink::TargetLink(const LinkEnvironment &environment, LinkAddress address, const LinkLimits &limits)
    : environment_(environment)
    , address_(std::move(address))
    , limits_(limits)
    , concurrencyLimit_(std::min(limits.slots, limits.connections), limits.connections)
    , nextPause_(firstSendPause)
    , connectBackoff_(firstConnectBackoff)
    , lifetimeToken_(std::make_shared<int>(0))
{
}

TargetLink::~TargetLink()
{
    for (auto &[id, connection] : connections_) {
        if (connection.exchange) {
            environment_.scheduler.cancel(connection.exchange->timer);
        }
    }
}

const LinkAddress &TargetLink::address() const
{
    return address_;
}

TargetState TargetLink::state() const
{
    return stateMachine_.state();
}

unsigned TargetLink::inFlight() const
{
    return inFlight_;
}

unsigned TargetLink::openConnections() const
{
    return static_cast<unsigned>(connections_.size());
}

const std::vector<std::int64_t> &TargetLink::snapshots() const
{
    return snapshots_;
}

const std::string &TargetLink::bootId() const
{
    return bootId_;
}

Duration TargetLink::meanLatency() const
{
    const Duration age = environment_.clock.now() - latencyUpdatedAt_;
    return meanLatency_ / (1 + age / latencyHalfLife);
}

void TargetLink::recordLatency(Duration latency, double weight)
{
    const Duration mean = meanLatency();
    latencyUpdatedAt_ = environment_.clock.now();
    if (mean.count() == 0) {
        meanLatency_ = latency;
        return;
    }
    meanLatency_ = mean + Duration(static_cast<Duration::rep>(weight * static_cast<double>((latency - mean).count())));
}

unsigned TargetLink::concurrencyLimit() const
{
    return concurrencyLimit_.current();
}

std::optional<TimePoint> TargetLink::lastResponseAt() const
{
    return lastResponseAt_;
}

void TargetLink::setLimits(const LinkLimits &limits)
{
    limits_ = limits;
    concurrencyLimit_.setMaximum(limits.connections);
}

std::optional<SendPermit> TargetLink::permitFor(ConnectionNeed need, TimePoint deadline) const
{
    if (!acceptsWork(state()) || environment_.clock.now() < pausedUntil_) {
        return std::nullopt;
    }
    const auto choice = selectConnection(need);
    if (!choice) {
        return std::nullopt;
    }
    if (!limits_.hasColdStart) {
        return inFlight_ < concurrencyLimit_.current() ? std::optional(SendPermit{deadline, false, need}) : std::nullopt;
    }
    const ColdTimeSlot timeSlot = coldTimeSlot(limits_.cold, environment_.clock.wallNow());
    const unsigned occupied = inFlight_ + static_cast<unsigned>(heldColdPermits_.size());
    if (occupied >= inFlightLimit(timeSlot.permits)) {
        return std::nullopt;
    }
    const bool maybeCold = state() == TargetState::Unknown || state() == TargetState::Cold;
    if (!maybeCold && choice->verified) {
        return SendPermit{deadline, false, need};
    }
    if (coldInFlight() >= timeSlot.permits) {
        return std::nullopt;
    }
    const TimePoint latest = timeSlot.until ? std::min(deadline, environment_.clock.toSteady(*timeSlot.until)) : deadline;
    if (latest - environment_.clock.now() < minColdSendTime) {
        return std::nullopt;
    }
    return SendPermit{latest, true, need};
}

unsigned TargetLink::inFlightLimit(unsigned coldPermits) const
{
    switch (state()) {
    case TargetState::Warm:
        return concurrencyLimit_.current();
    case TargetState::Warming:
        return std::min(concurrencyLimit_.current(), 1 + warmingGrowth_);
    default:
        return coldPermits;
    }
}

unsigned TargetLink::coldInFlight() const
{
    auto count = static_cast<unsigned>(heldColdPermits_.size());
    for (const auto &[id, connection] : connections_) {
        if (connection.exchange && connection.exchange->cold) {
            ++count;
        }
    }
    return count;
}

std::optional<TargetLink::ConnectionChoice> TargetLink::selectConnection(ConnectionNeed need) const
{
    const TimePoint now = environment_.clock.now();
    const LinkConnection *best = nullptr;
    ConnectionId bestId = ConnectionId::None;
    for (const auto &[id, connection] : connections_) {
        if (connection.state != ConnectionState::Idle || need == ConnectionNeed::New) {
            continue;
        }
        const bool better = best == nullptr
                            || std::pair(connection.verified, connection.lastResponseAt) > std::pair(best->verified, best->lastResponseAt);
        if (better) {
            best = &connection;
            bestId = id;
        }
    }
    if (best != nullptr) {
        return ConnectionChoice{bestId, best->verified};
    }
    if (connections_.size() < limits_.connections && now >= nextConnectAt_) {
        return ConnectionChoice{ConnectionId::None, false};
    }
    return std::nullopt;
}

ExchangeId TargetLink::send(const SendPermit &permit, LinkRequest request)
{
    const auto choice = selectConnection(permit.need);
    assert(choice && "send() requires a permit obtained at the same instant");
    RunningExchange exchange;
    exchange.id = ExchangeId{++lastExchangeId_};
    exchange.request = std::move(request);
    exchange.sentAt = environment_.clock.now();
    exchange.cold = permit.cold;
    exchange.need = permit.need;
    const ExchangeId id = exchange.id;
    ++inFlight_;
    if (choice->existing == ConnectionId::None) {
        openConnection(std::move(exchange));
        return id;
    }
    LinkConnection &connection = connections_.at(choice->existing);
    connection.exchange = std::move(exchange);
    startExchange(choice->existing, connection);
    return id;
}

TargetLink::ConnectionId TargetLink::openConnection(std::optional<RunningExchange> exchange)
{
    const ConnectionId id{++lastConnectionId_};
    LinkConnection &connection = connections_[id];
    connection.exchange = std::move(exchange);
    const std::weak_ptr<int> alive = lifetimeToken_;
    const TimePoint connectDeadline = environment_.clock.now() + connectTimeout;
    const TimePoint timeoutAt = connection.exchange ? std::min(connectDeadline, connection.exchange->request.silentAfter) : connectDeadline;
    const TimerId timer = environment_.scheduler.callAt(timeoutAt, [this, alive, id] {
        if (!alive.expired()) {
            onConnected(id, TransportError::ConnectFailed);
        }
    });
    connection.connection = environment_.transport.connect(
        address_.endpoint,
        [this, alive, id, timer](std::error_code error) {
            if (alive.expired()) {
                return;
            }
            environment_.scheduler.cancel(timer);
            onConnected(id, error);
        },
        [this, alive, id] {
            if (!alive.expired()) {
                onIdleClosed(id);
            }
        });
    return id;
}

void TargetLink::onConnected(ConnectionId id, std::error_code error)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.state != ConnectionState::Connecting) {
        return;
    }
    if (error) {
        onConnectFailed(id);
        return;
    }
    LinkConnection &connection = found->second;
    connection.state = ConnectionState::Idle;
    connection.connectedAt = environment_.clock.now();
    connectBackoff_ = firstConnectBackoff;
    process(TargetEvent::Connected, "connected");
    if (connection.exchange) {
        startExchange(id, connection);
    } else if (state() == TargetState::Leaving || snapshots_.empty()) {
        startProbe(id, connection);
    } else {
        environment_.onCapacityFreed();
    }
}

void TargetLink::onConnectFailed(ConnectionId id)
{
    std::optional<RunningExchange> exchange = std::move(connections_.at(id).exchange);
    connections_.erase(id);
    nextConnectAt_ = environment_.clock.now() + connectBackoff_;
    connectBackoff_ = std::min(2 * connectBackoff_, maxConnectBackoff);
    const bool anyEstablished = std::any_of(
        connections_.begin(), connections_.end(), [](const auto &entry) { return entry.second.state != ConnectionState::Connecting; });
    if (!anyEstablished) {
        process(TargetEvent::ConnectFailed, "connect failed");
    }
    if (!exchange) {
        return;
    }
    if (!exchange->probe) {
        --inFlight_;
    }
    if (exchange->request.handler) {
        exchange->request.handler({TransportError::ConnectFailed, false, std::nullopt});
    }
    environment_.onCapacityFreed();
}

void TargetLink::startExchange(ConnectionId id, LinkConnection &connection)
{
    connection.state = ConnectionState::Busy;
    RunningExchange &exchange = *connection.exchange;
    exchange.sentAt = environment_.clock.now();
    const TimePoint lastActivity = std::max(connection.lastResponseAt, connection.connectedAt);
    exchange.verifying = exchange.need == ConnectionNeed::NewOrJustVerified && exchange.sentAt - lastActivity > justVerifiedWindow;
    const TimePoint timeoutAt
        = exchange.verifying ? std::min(exchange.request.silentAfter, exchange.sentAt + verificationTimeout) : exchange.request.silentAfter;
    const std::weak_ptr<int> alive = lifetimeToken_;
    exchange.timer = environment_.scheduler.callAt(timeoutAt, [this, alive, id] {
        if (!alive.expired()) {
            onTimeout(id);
        }
    });
    const WireRequest statusRequest{std::string(statusPath), "", ""};
    connection.connection->exchange(exchange.verifying ? statusRequest : exchange.request.wire, responseHandler(id));
}

std::function<void(WireReply)> TargetLink::responseHandler(ConnectionId id)
{
    return [this, alive = std::weak_ptr<int>(lifetimeToken_), id](WireReply wire) {
        if (!alive.expired()) {
            onResponse(id, std::move(wire));
        }
    };
}

void TargetLink::onResponse(ConnectionId id, WireReply wire)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second.exchange) {
        return;
    }
    LinkConnection &connection = found->second;
    environment_.scheduler.cancel(connection.exchange->timer);
    if (connection.exchange->verifying && !wire.error) {
        connection.lastResponseAt = environment_.clock.now();
        startExchange(id, connection);
        return;
    }
    RunningExchange exchange = std::move(*connection.exchange);
    connection.exchange.reset();
    wire.bytesSent = wire.bytesSent && !exchange.verifying;
    if (!exchange.probe) {
        --inFlight_;
    }
    if (wire.error) {
        connections_.erase(found);
        if (wire.bytesSent) {
            holdColdPermit(exchange);
        }
        onConnectionLost();
    } else {
        connection.state = ConnectionState::Idle;
        connection.lastResponseAt = environment_.clock.now();
    }
    LinkReply result{wire.error, wire.bytesSent, std::nullopt, bootId_};
    if (exchange.probe) {
        onProbeResponse(wire);
    } else if (!wire.error) {
        readResponse(id, exchange, wire.body, result);
    }
    if (exchange.request.handler) {
        exchange.request.handler(std::move(result));
    }
    environment_.onCapacityFreed();
}

void TargetLink::readResponse(ConnectionId id, const RunningExchange &exchange, std::string_view body, LinkReply &result)
{
    result.reply = decodeShardReply(body);
    const bool matches
        = result.reply && result.reply->requestId == exchange.request.requestId && result.reply->shard == exchange.request.shard;
    if (matches) {
        applyOutcome(exchange, *result.reply);
        return;
    }
    // A later response on this connection could belong to another request as well.
    connections_.erase(id);
    result.reply.reset();
    result.error = TransportError::MalformedReply;
    environment_.counters.add("magnoliaspan_malformed_replies_total");
    pauseSending();
}

void TargetLink::applyOutcome(const RunningExchange &exchange, const ShardReply &reply)
{
    applyNotice(exchange, reply.targetStatus);
    const TimePoint now = environment_.clock.now();
    switch (reply.outcome) {
    case ShardOutcome::Answered:
        recordLatency(now - exchange.sentAt, latencyWeight);
        nextPause_ = firstSendPause;
        recordSuccess(exchange, reply.targetStatus);
        break;
    case ShardOutcome::Failed:
        pauseSending();
        break;
    case ShardOutcome::Shed:
        environment_.counters.add("magnoliaspan_sheds_total");
        concurrencyLimit_.recordShed(now);
        pauseSending();
        break;
    default:
        break;
    }
}

// A target that sheds, fails or answers malformed at once has low latency and no load, so that it would be selected again and again.
void TargetLink::pauseSending()
{
    pausedUntil_ = environment_.clock.now() + nextPause_;
    nextPause_ = std::min(2 * nextPause_, maxSendPause);
}

void TargetLink::applyNotice(const RunningExchange &exchange, const TargetStatus &notice)
{
    lastResponseAt_ = environment_.clock.now();
    newestAnsweredSentAt_ = std::max(newestAnsweredSentAt_, exchange.sentAt);
    if (!limits_.hasColdStart) {
        // The notice in a response of a peer is that of the target behind it.
        process(TargetEvent::ReportedWarm, "response received");
        return;
    }
    snapshots_ = notice.snapshots;
    const bool bootChanged = !bootId_.empty() && notice.bootId != bootId_;
    if (hasUnexplainedLoss_ && !bootChanged) {
        environment_.onTargetSurvived(address_.name, bootId_);
    }
    hasUnexplainedLoss_ = false;
    bootId_ = notice.bootId;
    if (bootChanged) {
        successes_ = 0;
        warmingGrowth_ = 0;
        if (state() == TargetState::Leaving) {
            process(TargetEvent::Returned, "new boot id after leaving");
        }
        process(TargetEvent::BootIdChanged, "boot id changed");
    }
    if (notice.leaving) {
        process(TargetEvent::ReportedLeaving, "response reports leaving");
    } else if (notice.cold) {
        successes_ = state() == TargetState::Cold ? successes_ : 0;
        process(TargetEvent::ReportedCold, "response reports cold");
    } else {
        process(TargetEvent::ReportedWarm, "response reports warm");
    }
    for (auto &[id, connection] : connections_) {
        const bool openAtSend = connection.state != ConnectionState::Connecting && connection.connectedAt <= exchange.sentAt;
        if (bootChanged) {
            connection.verified = false;
        }
        connection.verified = connection.verified || openAtSend;
    }
}

void TargetLink::recordSuccess(const RunningExchange &exchange, const TargetStatus &notice)
{
    ++successes_;
    if (state() == TargetState::Cold && successes_ >= limits_.warmAfter && !notice.cold) {
        warmingGrowth_ = 0;
        // Latencies measured during the cold start do not apply to a warm target.
        meanLatency_ = Duration::zero();
        process(TargetEvent::ColdStartEnded, "enough successes");
        return;
    }
    if (state() == TargetState::Warming) {
        ++warmingGrowth_;
        if (1 + warmingGrowth_ >= concurrencyLimit_.current()) {
            process(TargetEvent::FullShareReached, "full share reached");
        }
        return;
    }
    if (!exchange.cold) {
        concurrencyLimit_.recordSuccess(inFlight_ + 1 >= concurrencyLimit_.current());
    }
}

void TargetLink::onProbeResponse(const WireReply &wire)
{
    if (wire.error || !limits_.hasColdStart) {
        return;
    }
    const auto notice = decodeTargetStatus(wire.body);
    if (!notice) {
        return;
    }
    if (snapshots_.empty()) {
        snapshots_ = notice->snapshots;
    }
    // The status may be outdated or wrong, so that only a boot id that it did not report before counts.
    const bool newBootId = notice->bootId != lastStatusBootId_;
    lastStatusBootId_ = notice->bootId;
    if (!newBootId || bootId_.empty() || notice->bootId == bootId_) {
        return;
    }
    if (state() == TargetState::Leaving) {
        if (!notice->leaving && !listedLeaving_) {
            process(TargetEvent::Returned, "status reports a new boot id");
        }
        return;
    }
    onConnectionLost();
}

void TargetLink::onIdleClosed(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.exchange) {
        return;
    }
    connections_.erase(found);
    onConnectionLost();
    environment_.onCapacityFreed();
}

void TargetLink::onConnectionLost()
{
    for (auto &[id, connection] : connections_) {
        connection.verified = false;
    }
    hasUnexplainedLoss_ = true;
    process(TargetEvent::ConnectionLost, "connection lost");
}

void TargetLink::onTimeout(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second.exchange) {
        return;
    }
    RunningExchange exchange = std::move(*found->second.exchange);
    connections_.erase(found);
    holdColdPermit(exchange);
    if (!exchange.probe) {
        --inFlight_;
    }
    environment_.counters.add("magnoliaspan_silent_connections_total");
    environment_.journal.record(
        LogCategory::Target, "", fmt::format("no response before the time-out, connection closed target={}", address_.name));
    closeSilentConnections(exchange.sentAt);
    if (exchange.request.handler) {
        exchange.request.handler({TransportError::Silent, !exchange.verifying, std::nullopt});
    }
    environment_.onCapacityFreed();
}

void TargetLink::closeSilentConnections(TimePoint sentAt)
{
    for (auto it = connections_.begin(); it != connections_.end();) {
        const LinkConnection &connection = it->second;
        const bool activeSince = std::max(connection.lastResponseAt, connection.connectedAt) >= sentAt;
        const bool silent = connection.state == ConnectionState::Idle && !activeSince;
        it = silent ? connections_.erase(it) : std::next(it);
    }
}

void TargetLink::holdColdPermit(const RunningExchange &exchange)
{
    if (!exchange.cold) {
        return;
    }
    const TimePoint until = exchange.request.deadline + limits_.cold.clockOffsetBound;
    if (until <= environment_.clock.now()) {
        return;
    }
    heldColdPermits_.push_back(until);
    environment_.scheduler.callAt(until, [this, alive = std::weak_ptr<int>(lifetimeToken_), until] {
        if (alive.expired()) {
            return;
        }
        const auto held = std::find(heldColdPermits_.begin(), heldColdPermits_.end(), until);
        assert(held != heldColdPermits_.end() && "a held cold permit must be released exactly once");
        heldColdPermits_.erase(held);
        environment_.onCapacityFreed();
    });
}

void TargetLink::cancel(ExchangeId exchange)
{
    for (auto &[id, connection] : connections_) {
        if (!connection.exchange || connection.exchange->id != exchange) {
            continue;
        }
        const TimePoint sentAt = connection.exchange->sentAt;
        connection.exchange->request.handler = nullptr;
        const Duration waited = environment_.clock.now() - sentAt;
        if (waited > meanLatency()) {
            recordLatency(waited, cancelledLatencyWeight);
        }
        if (!connection.exchange->cold) {
            closeConnection(id);
        }
        if (sentAt < newestAnsweredSentAt_) {
            // A request sent later was answered first: this connection may be silent, and so may idle ones without a response since.
            closeSilentConnections(sentAt);
        }
        return;
    }
}

void TargetLink::closeConnection(ConnectionId id)
{
    const auto found = connections_.find(id);
    const RunningExchange &exchange = *found->second.exchange;
    environment_.scheduler.cancel(exchange.timer);
    --inFlight_;
    connections_.erase(found);
    environment_.onCapacityFreed();
}

void TargetLink::setListedLeaving(bool leaving)
{
    const bool returned = listedLeaving_ && !leaving;
    listedLeaving_ = leaving;
    if (leaving) {
        process(TargetEvent::ReportedLeaving, "reported as leaving");
    } else if (returned) {
        process(TargetEvent::Returned, "reported as live again");
    }
}

void TargetLink::tick()
{
    const TimePoint now = environment_.clock.now();
    if (connections_.empty()) {
        if (now >= nextConnectAt_) {
            openConnection(std::nullopt);
        }
        return;
    }
    unsigned spare = 0;
    for (const auto &[id, connection] : connections_) {
        spare += connection.state == ConnectionState::Idle && !connection.exchange ? 1 : 0;
    }
    // Keeps one spare connection: responses on the others verify it before it is needed.
    if (spare == 0 && state() == TargetState::Warm && connections_.size() < limits_.connections && now >= nextConnectAt_) {
        openConnection(std::nullopt);
    }
    for (auto &[id, connection] : connections_) {
        const TimePoint lastActivity = std::max(connection.lastResponseAt, connection.connectedAt);
        const bool probeDue = now - lastActivity >= idleProbeInterval || state() == TargetState::Leaving;
        if (connection.state == ConnectionState::Idle && probeDue) {
            startProbe(id, connection);
        }
    }
}

void TargetLink::startProbe(ConnectionId id, LinkConnection &connection)
{
    RunningExchange probe;
    probe.id = ExchangeId{++lastExchangeId_};
    probe.probe = true;
    probe.request.wire = {std::string(statusPath), "", ""};
    probe.request.silentAfter = environment_.clock.now() + probeTimeout;
    connection.exchange = std::move(probe);
    startExchange(id, connection);
}

void TargetLink::process(TargetEvent event, std::string_view cause)
{
    const TargetState before = state();
    if (!stateMachine_.process(event)) {
        return;
    }
    environment_.journal.record(
        LogCategory::Target,
        "",
        fmt::format("state changed target={} from={} to={} cause=\"{}\"", address_.name, toString(before), toString(state()), cause));
}

} // namespace magnoliaspan
