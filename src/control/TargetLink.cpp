/*
 * Part control: decisions of a link about connections, limits and the target's state.
 */
#include "control/TargetLink.h"

#include "transport/TransportError.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr Duration justProvedWindow = std::chrono::milliseconds(20);
constexpr Duration proofTimeout = std::chrono::milliseconds(100);
constexpr Duration idleProofInterval = std::chrono::seconds(2);
constexpr Duration probeTimeout = std::chrono::milliseconds(500);
constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr Duration firstConnectBackoff = std::chrono::milliseconds(100);
constexpr Duration maxConnectBackoff = std::chrono::seconds(3);
constexpr Duration minColdTime = std::chrono::milliseconds(2);
constexpr double latencyWeight = 0.1;
// A late attempt that was given up took at least as long, which tells more than one answer.
constexpr double lateWeight = 1;
constexpr Duration latencyHalfLife = std::chrono::seconds(5);
constexpr Duration firstPause = std::chrono::milliseconds(20);
constexpr Duration maxPause = std::chrono::seconds(1);
constexpr std::string_view statusPath = "/v1/state";

bool isWork(TargetState state)
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
    , limit_(std::min(limits.slots, limits.connections), limits.connections)
    , pause_(firstPause)
    , connectBackoff_(firstConnectBackoff)
    , alive_(std::make_shared<int>(0))
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
    return machine_.state();
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
    const Duration age = environment_.clock.now() - latencyAt_;
    return meanLatency_ / (1 + age / latencyHalfLife);
}

void TargetLink::addLatency(Duration latency, double weight)
{
    const Duration mean = meanLatency();
    latencyAt_ = environment_.clock.now();
    if (mean.count() == 0) {
        meanLatency_ = latency;
        return;
    }
    meanLatency_ = mean + Duration(static_cast<Duration::rep>(weight * static_cast<double>((latency - mean).count())));
}

unsigned TargetLink::concurrencyLimit() const
{
    return limit_.current();
}

std::optional<TimePoint> TargetLink::lastAnswer() const
{
    return lastAnswer_;
}

void TargetLink::setLimits(const LinkLimits &limits)
{
    limits_ = limits;
    limit_.setMaximum(limits.connections);
}

std::optional<SendPermit> TargetLink::permit(ConnectionNeed need, TimePoint deadline) const
{
    if (!isWork(state()) || environment_.clock.now() < pausedUntil_) {
        return std::nullopt;
    }
    const auto choice = choose(need);
    if (!choice) {
        return std::nullopt;
    }
    if (!limits_.guardsColdStart) {
        return inFlight_ < limit_.current() ? std::optional(SendPermit{deadline, false, need}) : std::nullopt;
    }
    const ColdTurn turn = coldTurn(limits_.cold, environment_.clock.wallNow());
    const unsigned occupied = inFlight_ + static_cast<unsigned>(coldHolds_.size());
    if (occupied >= sharedBound(turn.permits)) {
        return std::nullopt;
    }
    const bool maybeCold = state() == TargetState::Unknown || state() == TargetState::Cold;
    if (!maybeCold && choice->proved) {
        return SendPermit{deadline, false, need};
    }
    if (coldInFlight() >= turn.permits) {
        return std::nullopt;
    }
    const TimePoint latest = turn.until ? std::min(deadline, environment_.clock.toSteady(*turn.until)) : deadline;
    if (latest - environment_.clock.now() < minColdTime) {
        return std::nullopt;
    }
    return SendPermit{latest, true, need};
}

unsigned TargetLink::sharedBound(unsigned coldPermits) const
{
    switch (state()) {
    case TargetState::Warm:
        return limit_.current();
    case TargetState::Warming:
        return std::min(limit_.current(), 1 + growth_);
    default:
        return coldPermits;
    }
}

unsigned TargetLink::coldInFlight() const
{
    auto count = static_cast<unsigned>(coldHolds_.size());
    for (const auto &[id, connection] : connections_) {
        if (connection.exchange && connection.exchange->cold) {
            ++count;
        }
    }
    return count;
}

std::optional<TargetLink::Choice> TargetLink::choose(ConnectionNeed need) const
{
    const TimePoint now = environment_.clock.now();
    const LinkConnection *best = nullptr;
    ConnectionId bestId = ConnectionId::None;
    for (const auto &[id, connection] : connections_) {
        if (connection.state != ConnectionState::Idle || need == ConnectionNeed::New) {
            continue;
        }
        const bool better
            = best == nullptr || std::pair(connection.proved, connection.lastAnswer) > std::pair(best->proved, best->lastAnswer);
        if (better) {
            best = &connection;
            bestId = id;
        }
    }
    if (best != nullptr) {
        return Choice{bestId, best->proved};
    }
    if (connections_.size() < limits_.connections && now >= nextConnect_) {
        return Choice{ConnectionId::None, false};
    }
    return std::nullopt;
}

ExchangeId TargetLink::send(const SendPermit &permit, LinkRequest request)
{
    const auto choice = choose(permit.need);
    assert(choice && "send() needs a permit of the same instant");
    RunningExchange exchange;
    exchange.id = ExchangeId{++lastExchange_};
    exchange.request = std::move(request);
    exchange.sentAt = environment_.clock.now();
    exchange.cold = permit.cold;
    exchange.need = permit.need;
    const ExchangeId id = exchange.id;
    ++inFlight_;
    if (choice->existing == ConnectionId::None) {
        open(std::move(exchange));
        return id;
    }
    LinkConnection &connection = connections_.at(choice->existing);
    connection.exchange = std::move(exchange);
    start(choice->existing, connection);
    return id;
}

TargetLink::ConnectionId TargetLink::open(std::optional<RunningExchange> exchange)
{
    const ConnectionId id{++lastConnection_};
    LinkConnection &connection = connections_[id];
    connection.exchange = std::move(exchange);
    const std::weak_ptr<int> alive = alive_;
    const TimePoint limit = environment_.clock.now() + connectTimeout;
    const TimePoint due = connection.exchange ? std::min(limit, connection.exchange->request.silentAfter) : limit;
    const TimerId timer = environment_.scheduler.callAt(due, [this, alive, id] {
        if (!alive.expired()) {
            connected(id, TransportError::ConnectFailed);
        }
    });
    connection.connection = environment_.transport.connect(
        address_.endpoint,
        [this, alive, id, timer](std::error_code error) {
            if (alive.expired()) {
                return;
            }
            environment_.scheduler.cancel(timer);
            connected(id, error);
        },
        [this, alive, id] {
            if (!alive.expired()) {
                idleClosed(id);
            }
        });
    return id;
}

void TargetLink::connected(ConnectionId id, std::error_code error)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.state != ConnectionState::Connecting) {
        return;
    }
    if (error) {
        connectFailed(id);
        return;
    }
    LinkConnection &connection = found->second;
    connection.state = ConnectionState::Idle;
    connection.connectedAt = environment_.clock.now();
    connectBackoff_ = firstConnectBackoff;
    process(TargetEvent::Connected, "connected");
    if (connection.exchange) {
        start(id, connection);
    } else if (state() == TargetState::Leaving || snapshots_.empty()) {
        startProbe(id, connection);
    } else {
        environment_.capacityFreed();
    }
}

void TargetLink::connectFailed(ConnectionId id)
{
    std::optional<RunningExchange> exchange = std::move(connections_.at(id).exchange);
    connections_.erase(id);
    nextConnect_ = environment_.clock.now() + connectBackoff_;
    connectBackoff_ = std::min(2 * connectBackoff_, maxConnectBackoff);
    const bool othersStand = std::any_of(
        connections_.begin(), connections_.end(), [](const auto &entry) { return entry.second.state != ConnectionState::Connecting; });
    if (!othersStand) {
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
    environment_.capacityFreed();
}

void TargetLink::start(ConnectionId id, LinkConnection &connection)
{
    connection.state = ConnectionState::Busy;
    RunningExchange &exchange = *connection.exchange;
    exchange.sentAt = environment_.clock.now();
    const TimePoint lastLife = std::max(connection.lastAnswer, connection.connectedAt);
    exchange.proving = exchange.need == ConnectionNeed::FreshOrJustProved && exchange.sentAt - lastLife > justProvedWindow;
    const TimePoint due
        = exchange.proving ? std::min(exchange.request.silentAfter, exchange.sentAt + proofTimeout) : exchange.request.silentAfter;
    const std::weak_ptr<int> alive = alive_;
    exchange.timer = environment_.scheduler.callAt(due, [this, alive, id] {
        if (!alive.expired()) {
            timedOut(id);
        }
    });
    const WireRequest proof{std::string(statusPath), "", ""};
    connection.connection->exchange(exchange.proving ? proof : exchange.request.wire, replyHandler(id));
}

std::function<void(WireReply)> TargetLink::replyHandler(ConnectionId id)
{
    return [this, alive = std::weak_ptr<int>(alive_), id](WireReply wire) {
        if (!alive.expired()) {
            answered(id, std::move(wire));
        }
    };
}

void TargetLink::answered(ConnectionId id, WireReply wire)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second.exchange) {
        return;
    }
    LinkConnection &connection = found->second;
    environment_.scheduler.cancel(connection.exchange->timer);
    if (connection.exchange->proving && !wire.error) {
        connection.lastAnswer = environment_.clock.now();
        start(id, connection);
        return;
    }
    RunningExchange exchange = std::move(*connection.exchange);
    connection.exchange.reset();
    wire.bytesSent = wire.bytesSent && !exchange.proving;
    if (!exchange.probe) {
        --inFlight_;
    }
    if (wire.error) {
        connections_.erase(found);
        if (wire.bytesSent) {
            holdCold(exchange);
        }
        connectionLost();
    } else {
        connection.state = ConnectionState::Idle;
        connection.lastAnswer = environment_.clock.now();
    }
    LinkReply result{wire.error, wire.bytesSent, std::nullopt, bootId_};
    if (exchange.probe) {
        probeAnswered(wire);
    } else if (!wire.error) {
        read(id, exchange, wire.body, result);
    }
    if (exchange.request.handler) {
        exchange.request.handler(std::move(result));
    }
    environment_.capacityFreed();
}

void TargetLink::read(ConnectionId id, const RunningExchange &exchange, std::string_view body, LinkReply &result)
{
    result.reply = decodeShardReply(body);
    const bool matches
        = result.reply && result.reply->requestId == exchange.request.requestId && result.reply->shard == exchange.request.shard;
    if (matches) {
        judge(exchange, *result.reply);
        return;
    }
    // What follows on this connection may answer yet another request.
    connections_.erase(id);
    result.reply.reset();
    result.error = TransportError::MalformedReply;
    environment_.counters.add("magnoliaspan_malformed_replies_total");
    pauseSending();
}

void TargetLink::judge(const RunningExchange &exchange, const ShardReply &reply)
{
    learn(exchange, reply.notice);
    const TimePoint now = environment_.clock.now();
    switch (reply.outcome) {
    case ShardOutcome::Answered:
        addLatency(now - exchange.sentAt, latencyWeight);
        pause_ = firstPause;
        countSuccess(exchange, reply.notice);
        break;
    case ShardOutcome::Failed:
        pauseSending();
        break;
    case ShardOutcome::Shed:
        environment_.counters.add("magnoliaspan_sheds_total");
        limit_.shed(now);
        pauseSending();
        break;
    default:
        break;
    }
}

// A target that refuses or answers wrongly at once looks idle, and would be chosen again and again.
void TargetLink::pauseSending()
{
    pausedUntil_ = environment_.clock.now() + pause_;
    pause_ = std::min(2 * pause_, maxPause);
}

void TargetLink::learn(const RunningExchange &exchange, const TargetNotice &notice)
{
    lastAnswer_ = environment_.clock.now();
    newestAnswered_ = std::max(newestAnswered_, exchange.sentAt);
    if (!limits_.guardsColdStart) {
        // A peer's answer carries the notice of the target behind it.
        process(TargetEvent::AnsweredWarm, "it answered");
        return;
    }
    snapshots_ = notice.snapshots;
    const bool bootChanged = !bootId_.empty() && notice.bootId != bootId_;
    if (lossUnexplained_ && !bootChanged) {
        environment_.survived(address_.name, bootId_);
    }
    lossUnexplained_ = false;
    bootId_ = notice.bootId;
    if (bootChanged) {
        successes_ = 0;
        growth_ = 0;
        if (state() == TargetState::Leaving) {
            process(TargetEvent::Returned, "new start after leaving");
        }
        process(TargetEvent::BootChanged, "boot id changed");
    }
    if (notice.leaving) {
        process(TargetEvent::LeavingHeard, "its answer says leaving");
    } else if (notice.cold) {
        successes_ = state() == TargetState::Cold ? successes_ : 0;
        process(TargetEvent::AnsweredCold, "its answer says cold");
    } else {
        process(TargetEvent::AnsweredWarm, "its answer says warm");
    }
    for (auto &[id, connection] : connections_) {
        const bool stood = connection.state != ConnectionState::Connecting && connection.connectedAt <= exchange.sentAt;
        if (bootChanged) {
            connection.proved = false;
        }
        connection.proved = connection.proved || stood;
    }
}

void TargetLink::countSuccess(const RunningExchange &exchange, const TargetNotice &notice)
{
    ++successes_;
    if (state() == TargetState::Cold && successes_ >= limits_.warmAfter && !notice.cold) {
        growth_ = 0;
        // The latencies of the cold start say nothing about a warm target.
        meanLatency_ = Duration::zero();
        process(TargetEvent::ColdStartEnded, "enough successes");
        return;
    }
    if (state() == TargetState::Warming) {
        ++growth_;
        if (1 + growth_ >= limit_.current()) {
            process(TargetEvent::FullShareReached, "full share reached");
        }
        return;
    }
    if (!exchange.cold) {
        limit_.succeeded(inFlight_ + 1 >= limit_.current());
    }
}

void TargetLink::probeAnswered(const WireReply &wire)
{
    if (wire.error || !limits_.guardsColdStart) {
        return;
    }
    const auto notice = decodeTargetNotice(wire.body);
    if (!notice) {
        return;
    }
    if (snapshots_.empty()) {
        snapshots_ = notice->snapshots;
    }
    // The status lags or misleads, so that only a boot id that it did not show before tells anything.
    const bool news = notice->bootId != statusBootId_;
    statusBootId_ = notice->bootId;
    if (!news || bootId_.empty() || notice->bootId == bootId_) {
        return;
    }
    if (state() == TargetState::Leaving) {
        if (!notice->leaving && !listedLeaving_) {
            process(TargetEvent::Returned, "its status shows a new start");
        }
        return;
    }
    connectionLost();
}

void TargetLink::idleClosed(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.exchange) {
        return;
    }
    connections_.erase(found);
    connectionLost();
    environment_.capacityFreed();
}

void TargetLink::connectionLost()
{
    for (auto &[id, connection] : connections_) {
        connection.proved = false;
    }
    lossUnexplained_ = true;
    process(TargetEvent::ConnectionLost, "a connection was lost");
}

void TargetLink::timedOut(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second.exchange) {
        return;
    }
    RunningExchange exchange = std::move(*found->second.exchange);
    connections_.erase(found);
    holdCold(exchange);
    if (!exchange.probe) {
        --inFlight_;
    }
    environment_.counters.add("magnoliaspan_silent_connections_total");
    environment_.journal.record(LogCategory::Target, "", fmt::format("connection silent target={}", address_.name));
    suspectFellows(exchange.sentAt);
    if (exchange.request.handler) {
        exchange.request.handler({TransportError::Silent, !exchange.proving, std::nullopt});
    }
    environment_.capacityFreed();
}

void TargetLink::suspectFellows(TimePoint sentAt)
{
    for (auto it = connections_.begin(); it != connections_.end();) {
        const LinkConnection &connection = it->second;
        const bool heardSince = std::max(connection.lastAnswer, connection.connectedAt) >= sentAt;
        const bool drops = connection.state == ConnectionState::Idle && !heardSince;
        it = drops ? connections_.erase(it) : std::next(it);
    }
}

void TargetLink::holdCold(const RunningExchange &exchange)
{
    if (!exchange.cold) {
        return;
    }
    const TimePoint until = exchange.request.deadline + limits_.cold.clockOffsetBound;
    if (until <= environment_.clock.now()) {
        return;
    }
    coldHolds_.push_back(until);
    environment_.scheduler.callAt(until, [this, alive = std::weak_ptr<int>(alive_), until] {
        if (alive.expired()) {
            return;
        }
        const auto held = std::find(coldHolds_.begin(), coldHolds_.end(), until);
        assert(held != coldHolds_.end() && "a hold is released once");
        coldHolds_.erase(held);
        environment_.capacityFreed();
    });
}

void TargetLink::abandon(ExchangeId exchange)
{
    for (auto &[id, connection] : connections_) {
        if (!connection.exchange || connection.exchange->id != exchange) {
            continue;
        }
        const TimePoint sentAt = connection.exchange->sentAt;
        connection.exchange->request.handler = nullptr;
        const Duration waited = environment_.clock.now() - sentAt;
        if (waited > meanLatency()) {
            addLatency(waited, lateWeight);
        }
        if (!connection.exchange->cold) {
            drop(id);
        }
        if (sentAt < newestAnswered_) {
            // Work sent later was answered first: this connection, and those that were quiet as long, may be silent.
            suspectFellows(sentAt);
        }
        return;
    }
}

void TargetLink::drop(ConnectionId id)
{
    const auto found = connections_.find(id);
    const RunningExchange &exchange = *found->second.exchange;
    environment_.scheduler.cancel(exchange.timer);
    --inFlight_;
    connections_.erase(found);
    environment_.capacityFreed();
}

void TargetLink::listed(bool leaving)
{
    const bool returned = listedLeaving_ && !leaving;
    listedLeaving_ = leaving;
    if (leaving) {
        process(TargetEvent::LeavingHeard, "listed as leaving");
    } else if (returned) {
        process(TargetEvent::Returned, "listed as live again");
    }
}

void TargetLink::tick()
{
    const TimePoint now = environment_.clock.now();
    if (connections_.empty()) {
        if (now >= nextConnect_) {
            open(std::nullopt);
        }
        return;
    }
    unsigned spare = 0;
    for (const auto &[id, connection] : connections_) {
        spare += connection.state == ConnectionState::Idle && !connection.exchange ? 1 : 0;
    }
    // A spare connection is proved by others' answers before it is needed.
    if (spare == 0 && state() == TargetState::Warm && connections_.size() < limits_.connections && now >= nextConnect_) {
        open(std::nullopt);
    }
    for (auto &[id, connection] : connections_) {
        const TimePoint lastLife = std::max(connection.lastAnswer, connection.connectedAt);
        const bool due = now - lastLife >= idleProofInterval || state() == TargetState::Leaving;
        if (connection.state == ConnectionState::Idle && due) {
            startProbe(id, connection);
        }
    }
}

void TargetLink::startProbe(ConnectionId id, LinkConnection &connection)
{
    RunningExchange probe;
    probe.id = ExchangeId{++lastExchange_};
    probe.probe = true;
    probe.request.wire = {std::string(statusPath), "", ""};
    probe.request.silentAfter = environment_.clock.now() + probeTimeout;
    connection.exchange = std::move(probe);
    start(id, connection);
}

void TargetLink::process(TargetEvent event, std::string_view cause)
{
    const TargetState before = state();
    if (!machine_.process(event)) {
        return;
    }
    environment_.journal.record(
        LogCategory::Target,
        "",
        fmt::format("state changed target={} from={} to={} cause=\"{}\"", address_.name, toString(before), toString(state()), cause));
}

} // namespace magnoliaspan
