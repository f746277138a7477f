/*
 * Part relay: whom to ask.
 */
#include "relay/RelaySource.h"

#include "transport/TransportError.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace magnoliaspan {

namespace {

// With two of them lost or cut off, the others of the zone still have one; the smallest zones read for themselves.
constexpr std::size_t readersPerZone = 3;
// A reader that hangs is noticed after this and the time for an answer, well within the bounds on configuration.
constexpr Duration relayWait = std::chrono::milliseconds(1'500);
constexpr Duration answerTime = std::chrono::milliseconds(500);
// The reader's call and its wait between calls, beyond the time that it watches.
constexpr Duration ageSlack = std::chrono::milliseconds(2'500);
constexpr Duration avoidTime = std::chrono::seconds(10);
// One failed call may be chance.
constexpr unsigned failuresWhenCutOff = 2;
// A regained source is called again within two seconds, and entries that lapsed are back two seconds later.
constexpr Duration unsettledTime = std::chrono::seconds(5);

std::uint64_t rank(std::string_view zone, std::string_view host)
{
    return XXH3_64bits_withSeed(host.data(), host.size(), XXH3_64bits(zone.data(), zone.size()));
}

} // namespace

RelaySource::RelaySource(const RelayEnvironment &environment, std::string key, Duration watchTime, std::uint64_t seed)
    : environment_(environment)
    , codec_(std::move(key))
    , watchTime_(watchTime)
    , random_(seed)
{
}

RelaySource::~RelaySource()
{
    cancel();
}

void RelaySource::cancel()
{
    environment_.direct.cancel();
    if (running_) {
        running_->cancel();
        running_.reset();
    }
}

void RelaySource::distrust()
{
    directUntil_ = environment_.clock.now() + avoidTime;
}

bool RelaySource::unsettled() const
{
    return lastTrouble_ && environment_.clock.now() - *lastTrouble_ < unsettledTime;
}

bool RelaySource::cutOff() const
{
    return failures_ >= failuresWhenCutOff;
}

bool RelaySource::usable(const Member &member) const
{
    const auto found = avoided_.find(member.name);
    return member.state == HostState::Alive && (found == avoided_.end() || found->second <= environment_.clock.now());
}

// Nothing when this host is to read for itself.
std::optional<RelaySource::Peer> RelaySource::reader()
{
    if (environment_.clock.now() < directUntil_) {
        return std::nullopt;
    }
    const Member &self = environment_.gossip.self();
    std::vector<Member> zone = environment_.gossip.aliveIn(self.zone);
    zone.push_back(self);
    std::sort(
        zone.begin(), zone.end(), [&](const Member &a, const Member &b) { return rank(self.zone, a.name) < rank(self.zone, b.name); });
    zone.resize(std::min(zone.size(), readersPerZone));
    std::vector<Peer> usablePeers;
    for (const Member &member : zone) {
        if (member.name == self.name) {
            return std::nullopt;
        }
        if (usable(member)) {
            usablePeers.push_back({member.name, member.address});
        }
    }
    if (usablePeers.empty()) {
        return std::nullopt;
    }
    // Each follower keeps to one reader, so that their readings follow each other.
    return usablePeers.at(rank("", self.name) % usablePeers.size());
}

std::optional<RelaySource::Peer> RelaySource::anyPeer()
{
    std::vector<Peer> peers;
    for (const Member &member : environment_.gossip.aliveIn(std::nullopt)) {
        if (usable(member)) {
            peers.push_back({member.name, member.address});
        }
    }
    if (peers.empty()) {
        return std::nullopt;
    }
    return peers.at(std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(random_));
}

void RelaySource::avoid(const Peer &peer, std::string_view reason)
{
    avoided_[peer.name] = environment_.clock.now() + avoidTime;
    environment_.journal.record(
        LogCategory::Peer, "", fmt::format("host is not read from for a while host={} reason=\"{}\"", peer.name, reason));
}

void RelaySource::readAll(Freshness freshness, Handler handler)
{
    if (cutOff() && !askedAnyone_) {
        askAnyone(std::nullopt, handler);
        return;
    }
    readDirectly(std::nullopt, Duration::zero(), freshness, handler);
}

void RelaySource::watch(std::int64_t revision, Duration wait, Handler handler)
{
    if (cutOff() && !askedAnyone_) {
        askAnyone(revision, handler);
        return;
    }
    const auto peer = cutOff() ? std::nullopt : reader();
    if (!peer) {
        readDirectly(revision, wait, Freshness::Latest, handler);
        return;
    }
    ask(*peer, {revision, relayWait}, [this, peer, revision, wait, handler](std::optional<DiscoveryReading> reading) {
        if (!reading || reading->age > watchTime_ + ageSlack || reading->revision < revision) {
            avoid(*peer, reading ? "it is behind" : "no answer");
            readDirectly(revision, wait, Freshness::Latest, handler);
            return;
        }
        deliver(*reading, false, handler);
    });
}

void RelaySource::askAnyone(const std::optional<std::int64_t> &after, const Handler &handler)
{
    askedAnyone_ = true;
    const auto peer = anyPeer();
    if (!peer) {
        readDirectly(after, watchTime_, Freshness::Latest, handler);
        return;
    }
    ask(*peer, {after, Duration::zero()}, [this, peer, after, handler](std::optional<DiscoveryReading> reading) {
        if (!reading || (after && reading->revision < *after)) {
            avoid(*peer, reading ? "it is behind" : "no answer");
            DiscoveryReading none;
            none.error = TransportError::MalformedReply;
            handler(none);
            return;
        }
        reading->secondHand = true;
        deliver(*reading, !after, handler);
    });
}

void RelaySource::ask(const Peer &peer, const RelayRequest &request, std::function<void(std::optional<DiscoveryReading>)> handler)
{
    environment_.counters.add("magnoliaspan_relay_calls_total");
    running_ = std::make_shared<SingleCall>(environment_.scheduler);
    const std::string target = RelayCodec::encode(request);
    running_->start(environment_.transport,
                    peer.address,
                    {target, "", codec_.sign(target)},
                    environment_.clock.now() + request.wait + answerTime,
                    [this, handler = std::move(handler)](const WireReply &reply) {
                        running_.reset();
                        constexpr unsigned statusOk = 200;
                        const bool answered = !reply.error && reply.status == statusOk;
                        handler(answered ? codec_.decode(reply.body, environment_.decoder) : std::nullopt);
                    });
}

void RelaySource::readDirectly(const std::optional<std::int64_t> &after, Duration wait, Freshness freshness, const Handler &handler)
{
    askedAnyone_ = false;
    const bool complete = !after;
    const auto ended = [this, complete, handler](const DiscoveryReading &reading) { directEnded(reading, complete, handler); };
    if (complete) {
        environment_.direct.readAll(freshness, ended);
    } else {
        environment_.direct.watch(*after, wait, ended);
    }
}

void RelaySource::directEnded(const DiscoveryReading &reading, bool complete, const Handler &handler)
{
    if (reading.error) {
        ++failures_;
        lastTrouble_ = environment_.clock.now();
    } else {
        failures_ = 0;
    }
    deliver(reading, complete, handler);
}

void RelaySource::deliver(const DiscoveryReading &reading, bool complete, const Handler &handler)
{
    if (reading.unsettled) {
        lastTrouble_ = environment_.clock.now();
    }
    if (!reading.error && !reading.historyLost) {
        environment_.mirror.apply(reading, complete);
    }
    handler(reading);
}

} // namespace magnoliaspan
