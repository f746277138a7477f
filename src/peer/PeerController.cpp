/*
 * Part peer: when to say what to whom, and what to believe of the answers.
 */
#include "peer/PeerController.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

// Two rounds fit into a home lease.
constexpr Duration helloInterval = std::chrono::seconds(2);
constexpr Duration answerTime = std::chrono::milliseconds(400);
constexpr std::size_t peersPerRound = 4;
// News reaches n hosts in about log(n) / log(9) steps.
constexpr std::size_t peersPerNews = 8;
constexpr std::string_view controlPath = "/peer/rpc";
constexpr unsigned statusOk = 200;

std::vector<std::uint64_t> firstOf(const std::vector<Fingerprint> &fingerprints)
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
    , dispatcher_({[this](const PeerState &told) {
                       learn(told);
                       return ownState(told.seat);
                   },
                   [this] {
                       const EnvironmentPtr document = services_.configuration.current();
                       return document ? document->text : std::string();
                   }})
    , alive_(std::make_shared<int>(0))
{
    starts_[seat_] = startedAt.time_since_epoch().count();
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
    const bool seatsChanged = !channels_.empty() || channels.size() != knownSeats || !seatsKnown_;
    seatsKnown_ = true;
    channels_ = std::move(channels);
    if (seatsChanged) {
        lease_.setSeats(document.seats.size(), services_.clock.wallNow());
    }
    tellNews();
}

void PeerController::tick()
{
    const TimePoint now = services_.clock.now();
    if (now < nextHello_ || channels_.empty()) {
        return;
    }
    nextHello_ = now + helloInterval;
    tell(peersPerRound);
}

void PeerController::tellNews()
{
    tell(peersPerNews);
}

void PeerController::tell(std::size_t count)
{
    std::vector<std::string> seats;
    for (const auto &[seat, channel] : channels_) {
        seats.push_back(seat);
    }
    std::shuffle(seats.begin(), seats.end(), random_);
    seats.resize(std::min(seats.size(), count));
    for (const std::string &seat : seats) {
        hello(seat);
    }
}

void PeerController::setLeaving()
{
    leaving_ = true;
    tellNews();
}

std::string PeerController::dispatch(const std::string &body)
{
    return dispatcher_.dispatch(body);
}

bool PeerController::askedAll() const
{
    return std::all_of(channels_.begin(), channels_.end(), [](const auto &entry) { return entry.second.asked; });
}

const HomeLease &PeerController::lease() const
{
    return lease_;
}

std::int64_t PeerController::snapshotOf(std::string_view system) const
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
    const auto start = starts_.find(asker);
    state.newestStart = start == starts_.end() ? 0 : start->second;
    state.leaving = leaving_;
    state.quarantined = firstOf(services_.quarantine.fingerprintsWith(Suspicion::Quarantined));
    state.suspects = firstOf(services_.quarantine.fingerprintsWith(Suspicion::Suspect));
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

void PeerController::hello(const std::string &seat)
{
    Channel &channel = channels_.at(seat);
    if (channel.busy) {
        channel.again = true;
        return;
    }
    const TimePoint asked = services_.clock.now();
    const WallTime askedWall = services_.clock.wallNow();
    send(seat, PeerCodec::encodeHello(ownState(seat)), [this, seat, asked, askedWall](const std::string &reply) {
        helloAnswered(seat, asked, askedWall, reply);
    });
}

void PeerController::send(const std::string &seat, const std::string &body, std::function<void(const std::string &reply)> handler)
{
    Channel &channel = channels_.at(seat);
    channel.busy = true;
    const std::uint64_t turn = ++channel.turn;
    const std::weak_ptr<int> alive = alive_;
    channel.timer = services_.scheduler.callAt(services_.clock.now() + answerTime, [this, alive, seat, turn] {
        if (!alive.expired()) {
            failed(seat, turn);
        }
    });
    services_.counters.add("magnoliaspan_peer_bytes_total", body.size());
    services_.counters.add("magnoliaspan_peer_messages_total");
    if (channel.connection) {
        exchange(seat, turn, body, handler);
        return;
    }
    channel.connection = services_.transport.connect(
        channel.endpoint,
        [this, alive, seat, turn, body, handler = std::move(handler)](std::error_code error) {
            if (alive.expired()) {
                return;
            }
            if (error) {
                failed(seat, turn);
                return;
            }
            exchange(seat, turn, body, handler);
        },
        [this, alive, seat, turn] {
            if (!alive.expired()) {
                failed(seat, turn);
            }
        });
}

void PeerController::exchange(const std::string &seat,
                              std::uint64_t turn,
                              const std::string &body,
                              const std::function<void(const std::string &reply)> &handler)
{
    const auto found = channels_.find(seat);
    if (found == channels_.end() || found->second.turn != turn || !found->second.connection) {
        return;
    }
    WireRequest request{std::string(controlPath), body, services_.authenticator.sign(controlPath, body)};
    found->second.connection->exchange(std::move(request),
                                       [this, alive = std::weak_ptr<int>(alive_), seat, turn, handler](const WireReply &reply) {
                                           const auto channel = alive.expired() ? channels_.end() : channels_.find(seat);
                                           if (alive.expired() || channel == channels_.end() || channel->second.turn != turn) {
                                               return;
                                           }
                                           if (reply.error || reply.status != statusOk) {
                                               failed(seat, turn);
                                               return;
                                           }
                                           services_.counters.add("magnoliaspan_peer_bytes_total", reply.body.size());
                                           services_.scheduler.cancel(channel->second.timer);
                                           channel->second.busy = false;
                                           channel->second.asked = true;
                                           handler(reply.body);
                                           ended(seat);
                                       });
}

void PeerController::failed(const std::string &seat, std::uint64_t turn)
{
    const auto found = channels_.find(seat);
    if (found == channels_.end()) {
        return;
    }
    Channel &channel = found->second;
    channel.connection.reset();
    if (channel.turn != turn || !channel.busy) {
        return;
    }
    services_.scheduler.cancel(channel.timer);
    ++channel.turn;
    channel.busy = false;
    channel.asked = true;
    channel.again = false;
    services_.counters.add("magnoliaspan_peer_failures_total");
}

void PeerController::ended(const std::string &seat)
{
    const auto found = channels_.find(seat);
    if (found == channels_.end() || !found->second.again || found->second.busy) {
        return;
    }
    found->second.again = false;
    hello(seat);
}

void PeerController::helloAnswered(const std::string &seat, TimePoint asked, WallTime askedWall, const std::string &reply)
{
    const auto state = PeerCodec::decodeState(reply);
    if (!state || state->seat != seat) {
        services_.journal.note(Part::Peer, "", fmt::format("answer refused seat={} reason=\"malformed or of another version\"", seat));
        return;
    }
    const bool newerProcess = state->newestStart > startedAt_.time_since_epoch().count();
    if (newerProcess && !lease_.isSuperseded()) {
        lease_.superseded();
        services_.journal.note(
            Part::Peer, "", fmt::format("another process was started in this seat later seat={} heard_from={}", seat_, seat));
    }
    const bool nothingNewer = state->generation <= services_.configuration.generation();
    // A peer with an older document could still confirm this process's predecessor.
    if (!newerProcess && state->generation == services_.configuration.generation()) {
        lease_.confirmed(seat, askedWall, services_.clock.wallNow());
    }
    if (nothingNewer) {
        services_.pause.recordRead(asked);
    }
    learn(*state);
}

void PeerController::learn(const PeerState &told)
{
    const auto found = channels_.find(told.seat);
    std::int64_t &newest = starts_[told.seat];
    newest = std::max(newest, told.startedAt);
    if (told.seat == seat_ && newest > startedAt_.time_since_epoch().count()) {
        lease_.superseded();
    }
    if (found == channels_.end()) {
        return;
    }
    // An older process of the same seat knows less than its successor.
    if (told.startedAt < newest) {
        return;
    }
    found->second.snapshots = told.snapshots;
    for (const std::uint64_t value : told.quarantined) {
        services_.quarantine.mergeFromPeer(Fingerprint{value}, Suspicion::Quarantined, told.seat);
    }
    for (const std::uint64_t value : told.suspects) {
        services_.quarantine.mergeFromPeer(Fingerprint{value}, Suspicion::Suspect, told.seat);
    }
    if (TargetLink *link = services_.targets.findPeer(told.seat)) {
        link->setListedLeaving(told.leaving);
    }
    const std::int64_t own = services_.configuration.generation();
    if (told.generation > own) {
        fetch(told.seat);
    }
}

void PeerController::fetch(const std::string &seat)
{
    Channel &channel = channels_.at(seat);
    if (channel.busy) {
        // The hello that runs will tell of the generation again.
        channel.again = true;
        return;
    }
    const TimePoint asked = services_.clock.now();
    send(seat, PeerCodec::encodeFetch(), [this, seat, asked](const std::string &reply) {
        const auto document = PeerCodec::decodeDocument(reply);
        if (document && !document->empty()) {
            services_.configuration.offer(*document, "peer " + seat);
            services_.pause.recordRead(asked);
        }
    });
}

} // namespace magnoliaspan
