/*
 * Schedules exchanges with peers and applies the received states.
 */
#include "peer/PeerController.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

// Two intervals are shorter than a home lease.
constexpr Duration helloInterval = std::chrono::seconds(2);
constexpr Duration replyTimeout = std::chrono::milliseconds(400);
constexpr std::size_t peersPerRound = 4;
// An update reaches n hosts in about log(n) / log(9) steps.
constexpr std::size_t peersPerUpdate = 8;
constexpr std::string_view controlPath = "/peer/rpc";
constexpr unsigned statusOk = 200;

std::vector<std::uint64_t> firstValues(const std::vector<Fingerprint> &fingerprints)
{
    std::vector<std::uint64_t> values;
    for (const Fingerprint fingerprint : fingerprints) {
        if (values.size() == PeerState::maxQuarantined) {
            break;
        }
        values.push_back(static_cast<std::uint64_t>(fingerprint));
    }
    return values;
}

} // namespace

PeerController::PeerController(const PeerServices &services, std::string seat, WallTime startedAt, std::uint64_t seed)
    : services_(services)
    , seat_(std::move(seat))
    , startedAt_(startedAt)
    , random_(seed)
    , dispatcher_({[this](const PeerState &state) {
                       applyPeerState(state);
                       return ownState(state.seat);
                   },
                   [this] {
                       const EnvironmentPtr document = services_.configuration.current();
                       return document ? document->text : std::string();
                   }})
    , lifetimeToken_(std::make_shared<int>(0))
{
    newestStarts_[seat_] = startedAt.time_since_epoch().count();
}

void PeerController::apply(const EnvironmentDocument &document)
{
    const std::size_t knownSeats = channels_.size();
    std::map<std::string, Channel> channels;
    for (const SeatSpec &seat : document.seats) {
        if (seat.name == seat_) {
            continue;
        }
        const auto found = channels_.find(seat.name);
        if (found != channels_.end() && found->second.endpoint == seat.peer) {
            channels.insert(channels_.extract(found));
            continue;
        }
        channels[seat.name].endpoint = seat.peer;
    }
    for (auto &[seat, channel] : channels_) {
        services_.scheduler.cancel(channel.timer);
    }
    const bool seatsChanged = !channels_.empty() || channels.size() != knownSeats || !documentApplied_;
    documentApplied_ = true;
    channels_ = std::move(channels);
    if (seatsChanged) {
        lease_.setSeatCount(document.seats.size(), services_.clock.wallNow());
    }
    notifyPeers();
}

void PeerController::tick()
{
    const TimePoint now = services_.clock.now();
    if (now < nextHello_ || channels_.empty()) {
        return;
    }
    nextHello_ = now + helloInterval;
    sendHellos(peersPerRound);
}

void PeerController::notifyPeers()
{
    sendHellos(peersPerUpdate);
}

void PeerController::sendHellos(std::size_t count)
{
    std::vector<std::string> seats;
    for (const auto &[seat, channel] : channels_) {
        seats.push_back(seat);
    }
    std::shuffle(seats.begin(), seats.end(), random_);
    seats.resize(std::min(seats.size(), count));
    for (const std::string &seat : seats) {
        sendHello(seat);
    }
}

void PeerController::setLeaving()
{
    leaving_ = true;
    notifyPeers();
}

std::string PeerController::dispatch(const std::string &body)
{
    return dispatcher_.dispatch(body);
}

bool PeerController::hasContactedAllPeers() const
{
    return std::all_of(channels_.begin(), channels_.end(), [](const auto &entry) { return entry.second.contacted; });
}

const HomeLease &PeerController::lease() const
{
    return lease_;
}

std::int64_t PeerController::newestPeerSnapshot(std::string_view system) const
{
    std::int64_t best = 0;
    for (const auto &[seat, channel] : channels_) {
        const auto found = channel.snapshots.find(std::string(system));
        if (found != channel.snapshots.end()) {
            best = std::max(best, found->second);
        }
    }
    return best;
}

PeerState PeerController::ownState(const std::string &asker) const
{
    PeerState state;
    state.seat = seat_;
    state.startedAt = startedAt_.time_since_epoch().count();
    const auto start = newestStarts_.find(asker);
    state.newestStart = start == newestStarts_.end() ? 0 : start->second;
    state.leaving = leaving_;
    state.quarantined = firstValues(services_.quarantine.fingerprintsWith(Suspicion::Quarantined));
    state.suspects = firstValues(services_.quarantine.fingerprintsWith(Suspicion::Suspect));
    const EnvironmentPtr document = services_.configuration.current();
    if (!document) {
        return state;
    }
    state.generation = document->generation;
    state.digest = document->digest;
    for (const SystemSpec &system : document->systems) {
        const std::int64_t snapshot = services_.targets.bestSnapshot(system, 0);
        if (snapshot != 0) {
            state.snapshots[system.name] = snapshot;
        }
    }
    return state;
}

void PeerController::sendHello(const std::string &seat)
{
    Channel &channel = channels_.at(seat);
    if (channel.busy) {
        channel.helloPending = true;
        return;
    }
    const TimePoint requestedAt = services_.clock.now();
    const WallTime requestedAtWall = services_.clock.wallNow();
    sendRequest(seat, PeerCodec::encodeHello(ownState(seat)), [this, seat, requestedAt, requestedAtWall](const std::string &reply) {
        onHelloReply(seat, requestedAt, requestedAtWall, reply);
    });
}

void PeerController::sendRequest(const std::string &seat, const std::string &body, std::function<void(const std::string &reply)> handler)
{
    Channel &channel = channels_.at(seat);
    channel.busy = true;
    const std::uint64_t exchangeId = ++channel.exchangeId;
    const std::weak_ptr<int> token = lifetimeToken_;
    channel.timer = services_.scheduler.callAt(services_.clock.now() + replyTimeout, [this, token, seat, exchangeId] {
        if (!token.expired()) {
            onExchangeFailed(seat, exchangeId);
        }
    });
    services_.counters.add("magnoliaspan_peer_bytes_total", body.size());
    services_.counters.add("magnoliaspan_peer_messages_total");
    if (channel.connection) {
        startExchange(seat, exchangeId, body, handler);
        return;
    }
    channel.connection = services_.transport.connect(
        channel.endpoint,
        [this, token, seat, exchangeId, body, handler = std::move(handler)](std::error_code error) {
            if (token.expired()) {
                return;
            }
            if (error) {
                onExchangeFailed(seat, exchangeId);
                return;
            }
            startExchange(seat, exchangeId, body, handler);
        },
        [this, token, seat, exchangeId] {
            if (!token.expired()) {
                onExchangeFailed(seat, exchangeId);
            }
        });
}

void PeerController::startExchange(const std::string &seat,
                                   std::uint64_t exchangeId,
                                   const std::string &body,
                                   const std::function<void(const std::string &reply)> &handler)
{
    const auto found = channels_.find(seat);
    if (found == channels_.end() || found->second.exchangeId != exchangeId || !found->second.connection) {
        return;
    }
    WireRequest request{std::string(controlPath), body, services_.authenticator.sign(controlPath, body)};
    found->second.connection->exchange(
        std::move(request), [this, token = std::weak_ptr<int>(lifetimeToken_), seat, exchangeId, handler](const WireReply &reply) {
            const auto channel = token.expired() ? channels_.end() : channels_.find(seat);
            if (token.expired() || channel == channels_.end() || channel->second.exchangeId != exchangeId) {
                return;
            }
            if (reply.error || reply.status != statusOk) {
                onExchangeFailed(seat, exchangeId);
                return;
            }
            services_.counters.add("magnoliaspan_peer_bytes_total", reply.body.size());
            services_.scheduler.cancel(channel->second.timer);
            channel->second.busy = false;
            channel->second.contacted = true;
            handler(reply.body);
            onExchangeCompleted(seat);
        });
}

void PeerController::onExchangeFailed(const std::string &seat, std::uint64_t exchangeId)
{
    const auto found = channels_.find(seat);
    if (found == channels_.end()) {
        return;
    }
    Channel &channel = found->second;
    channel.connection.reset();
    if (channel.exchangeId != exchangeId || !channel.busy) {
        return;
    }
    services_.scheduler.cancel(channel.timer);
    ++channel.exchangeId;
    channel.busy = false;
    channel.contacted = true;
    channel.helloPending = false;
    services_.counters.add("magnoliaspan_peer_failures_total");
}

void PeerController::onExchangeCompleted(const std::string &seat)
{
    const auto found = channels_.find(seat);
    if (found == channels_.end() || !found->second.helloPending || found->second.busy) {
        return;
    }
    found->second.helloPending = false;
    sendHello(seat);
}

void PeerController::onHelloReply(const std::string &seat, TimePoint requestedAt, WallTime requestedAtWall, const std::string &reply)
{
    const auto state = PeerCodec::decodeState(reply);
    if (!state || state->seat != seat) {
        services_.journal.record(
            LogCategory::Peer,
            "",
            fmt::format("hello reply refused seat={} reason=\"malformed, of another protocol version or of another seat\"", seat));
        return;
    }
    const bool newerProcess = state->newestStart > startedAt_.time_since_epoch().count();
    if (newerProcess && !lease_.isSuperseded()) {
        lease_.markSuperseded();
        services_.journal.record(
            LogCategory::Peer, "", fmt::format("superseded by a later process of the same seat seat={} heard_from={}", seat_, seat));
    }
    const bool documentUpToDate = state->generation <= services_.configuration.generation();
    // A peer with an older document does not count: it could still confirm this process's predecessor.
    if (!newerProcess && state->generation == services_.configuration.generation()) {
        lease_.recordConfirmation(seat, requestedAtWall, services_.clock.wallNow());
    }
    if (documentUpToDate) {
        services_.pause.recordRead(requestedAt);
    }
    applyPeerState(*state);
}

void PeerController::applyPeerState(const PeerState &state)
{
    const auto found = channels_.find(state.seat);
    std::int64_t &newest = newestStarts_[state.seat];
    newest = std::max(newest, state.startedAt);
    if (state.seat == seat_ && newest > startedAt_.time_since_epoch().count()) {
        lease_.markSuperseded();
    }
    if (found == channels_.end()) {
        return;
    }
    // A process that was replaced reports less than its successor.
    if (state.startedAt < newest) {
        return;
    }
    found->second.snapshots = state.snapshots;
    for (const std::uint64_t value : state.quarantined) {
        services_.quarantine.mergeFromPeer(Fingerprint{value}, Suspicion::Quarantined, state.seat);
    }
    for (const std::uint64_t value : state.suspects) {
        services_.quarantine.mergeFromPeer(Fingerprint{value}, Suspicion::Suspect, state.seat);
    }
    if (TargetLink *link = services_.targets.findPeer(state.seat)) {
        link->setListedLeaving(state.leaving);
    }
    const std::int64_t own = services_.configuration.generation();
    if (state.generation > own) {
        fetchDocument(state.seat);
    }
}

void PeerController::fetchDocument(const std::string &seat)
{
    Channel &channel = channels_.at(seat);
    if (channel.busy) {
        // The next hello reports the generation again.
        channel.helloPending = true;
        return;
    }
    const TimePoint requestedAt = services_.clock.now();
    sendRequest(seat, PeerCodec::encodeDocumentRequest(), [this, seat, requestedAt](const std::string &reply) {
        const auto document = PeerCodec::decodeDocument(reply);
        if (document && !document->empty()) {
            services_.configuration.offer(*document, "peer " + seat);
            services_.pause.recordRead(requestedAt);
        }
    });
}

} // namespace magnoliaspan
