/*
 * Selects the reader or peer for each call.
 */
#include "relay/RelaySource.h"

#include "transport/TransportError.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>
#include <xxhash.h>

namespace magnoliaspan {

namespace {

// With two readers lost or partitioned, the zone still has one. In zones of at most this size every host is a reader.
constexpr std::size_t readersPerZone = 3;
// A reader that hangs is detected after this plus responseTimeout, well within the limits on configuration delay.
constexpr Duration relayWatchTime = std::chrono::milliseconds(1'500);
constexpr Duration responseTimeout = std::chrono::milliseconds(500);
// Longest watch of a reader by which others go. It is short, since they learn by its end only that the source is silent to the
// reader.
constexpr Duration readerWatchTime = std::chrono::milliseconds(1'800);
// A reader's state is older only if its source is silent: its watch, its wait between calls and a slow response fit in.
constexpr Duration maxReaderAge = std::chrono::milliseconds(3'100);
constexpr Duration minRelayWatchTime = std::chrono::milliseconds(100);
constexpr Duration avoidanceTime = std::chrono::seconds(10);
// A reader's call may have failed once only.
constexpr Duration staleAvoidanceTime = std::chrono::seconds(3);
// While the source is lost to a follower and its reader, the follower calls it at this interval, as it may return to one of them.
constexpr Duration ownCallInterval = std::chrono::seconds(3);
// A single failed call may be transient.
constexpr unsigned failuresUntilUnreachable = 2;
// A source that is available again is called within two seconds, and lapsed entries are published again two seconds later.
constexpr Duration recoveryTime = std::chrono::seconds(5);

std::uint64_t rendezvousHash(std::string_view zone, std::string_view host)
{
    return XXH3_64bits_withSeed(host.data(), host.size(), XXH3_64bits(zone.data(), zone.size()));
}

} // namespace

RelaySource::RelaySource(const RelayEnvironment &environment, std::string key, std::uint64_t seed)
    : environment_(environment)
    , codec_(std::move(key))
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
    if (peerCall_) {
        peerCall_->cancel();
        peerCall_.reset();
    }
}

void RelaySource::avoidCurrentPath()
{
    pathAvoided_ = true;
    if (path_ == Path::Reader) {
        directUntil_ = environment_.clock.now() + avoidanceTime;
    } else if (path_ == Path::Source) {
        // The call is cancelled before its time-out, so that it is counted here.
        ++directFailures_;
    }
}

bool RelaySource::isSourceRecentlyUnavailable() const
{
    return lastUnavailableAt_ && environment_.clock.now() - *lastUnavailableAt_ < recoveryTime;
}

bool RelaySource::hasSourceFailed() const
{
    return directFailures_ > 0;
}

bool RelaySource::isSourceUnreachable() const
{
    return directFailures_ >= failuresUntilUnreachable;
}

// Own calls and calls to other hosts alternate while the source is unreachable, so that its return is noticed.
bool RelaySource::mustAskAnyPeer() const
{
    return path_ != Path::AnyPeer && (isSourceUnreachable() || (pathAvoided_ && path_ == Path::Source));
}

bool RelaySource::isUsable(const Member &member) const
{
    const auto found = avoidedUntil_.find(member.name);
    return member.state == HostState::Alive && (found == avoidedUntil_.end() || found->second <= environment_.clock.now());
}

std::vector<Member> RelaySource::readersOfZone() const
{
    const Member &self = environment_.gossip.self();
    std::vector<Member> zone = environment_.gossip.aliveMembers(self.zone);
    zone.push_back(self);
    std::sort(zone.begin(), zone.end(), [&](const Member &a, const Member &b) {
        return rendezvousHash(self.zone, a.name) < rendezvousHash(self.zone, b.name);
    });
    zone.resize(std::min(zone.size(), readersPerZone));
    return zone;
}

bool RelaySource::isReaderOfOthers() const
{
    const Member &self = environment_.gossip.self();
    const std::vector<Member> readers = readersOfZone();
    const bool isReader = std::any_of(readers.begin(), readers.end(), [&self](const Member &one) { return one.name == self.name; });
    return isReader && environment_.gossip.aliveMembers(self.zone).size() >= readersPerZone;
}

// Returns no value if this host is to read from the source itself.
std::optional<RelaySource::Peer> RelaySource::chooseReader()
{
    if (environment_.clock.now() < directUntil_) {
        return std::nullopt;
    }
    const Member &self = environment_.gossip.self();
    std::vector<Peer> usablePeers;
    for (const Member &member : readersOfZone()) {
        if (member.name == self.name) {
            return std::nullopt;
        }
        if (isUsable(member)) {
            usablePeers.push_back({member.name, member.address});
        }
    }
    if (usablePeers.empty()) {
        return std::nullopt;
    }
    // Each follower stays with one reader, so that the revisions that it reads do not go back.
    return usablePeers.at(rendezvousHash("", self.name) % usablePeers.size());
}

std::optional<RelaySource::Peer> RelaySource::chooseAnyPeer()
{
    std::vector<Peer> peers;
    for (const Member &member : environment_.gossip.aliveMembers(std::nullopt)) {
        if (isUsable(member)) {
            peers.push_back({member.name, member.address});
        }
    }
    if (peers.empty()) {
        return std::nullopt;
    }
    return peers.at(std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(random_));
}

void RelaySource::avoidPeer(const Peer &peer, Duration time, std::string_view reason)
{
    avoidedUntil_[peer.name] = environment_.clock.now() + time;
    environment_.journal.record(LogCategory::Peer, "", fmt::format("host avoided as a reader host={} reason=\"{}\"", peer.name, reason));
}

void RelaySource::readAll(Freshness freshness, Handler handler)
{
    if (const auto peer = mustAskAnyPeer() ? chooseAnyPeer() : std::nullopt) {
        callAnyPeer(*peer, std::nullopt, handler);
        return;
    }
    readDirectly(std::nullopt, Duration::zero(), freshness, handler);
}

void RelaySource::watch(const StatePosition &after, Duration wait, Handler handler)
{
    const auto reader = chooseReader();
    if (reader && !isOwnCallDue()) {
        watchReader(*reader, after, wait, handler);
        return;
    }
    if (const auto peer = !reader && mustAskAnyPeer() ? chooseAnyPeer() : std::nullopt) {
        callAnyPeer(*peer, after, handler);
        return;
    }
    readDirectly(after, wait, Freshness::Latest, handler);
}

// Whether a follower whose last own call failed is to try another one, as its reader does no better.
bool RelaySource::isOwnCallDue() const
{
    return isReaderStale_ && directFailures_ > 0 && environment_.clock.now() >= nextOwnCallAt_;
}

void RelaySource::watchReader(const Peer &reader, const StatePosition &after, Duration wait, const Handler &handler)
{
    path_ = Path::Reader;
    pathAvoided_ = false;
    // The response comes when the reader's state becomes too old, at the latest.
    const Duration pollTime = isReaderStale_ ? relayWatchTime : std::clamp(maxReaderAge - readerAge_, minRelayWatchTime, relayWatchTime);
    callPeer(reader, {after, pollTime}, [this, reader, after, wait, handler](std::optional<DiscoveryReadResult> result) {
        readerAge_ = result ? result->age : Duration::zero();
        if (!result || result->position < after) {
            avoidPeer(reader, avoidanceTime, result ? "state older than the own one" : "no valid response");
            readDirectly(after, wait, Freshness::Latest, handler);
            return;
        }
        const bool wasStale = std::exchange(isReaderStale_, result->sourceUnreachable || result->age >= maxReaderAge);
        if (isReaderStale_ && (directFailures_ == 0 || !wasStale)) {
            staleReader_ = reader;
            readDirectly(after, wait, Freshness::Latest, handler);
            return;
        }
        // The source is lost to both; the reader asks hosts of other zones for all its followers.
        result->fromFallbackPeer = isReaderStale_;
        deliver(*result, handler);
    });
}

void RelaySource::callAnyPeer(const Peer &peer, const std::optional<StatePosition> &after, const Handler &handler)
{
    path_ = Path::AnyPeer;
    pathAvoided_ = false;
    callPeer(peer, {after, Duration::zero()}, [this, peer, after, handler](std::optional<DiscoveryReadResult> result) {
        // A full state from a host that is itself behind would go back to targets that have left.
        const StatePosition known = std::max(after.value_or(StatePosition()), environment_.mirror.position());
        if (!result || result->position < known) {
            avoidPeer(peer, avoidanceTime, result ? "state too old" : "no valid response");
            DiscoveryReadResult failure;
            failure.error = TransportError::MalformedReply;
            handler(failure);
            return;
        }
        result->fromFallbackPeer = true;
        deliver(*result, handler);
    });
}

void RelaySource::callPeer(const Peer &peer, const RelayRequest &request, std::function<void(std::optional<DiscoveryReadResult>)> handler)
{
    environment_.counters.add("magnoliaspan_relay_calls_total");
    peerCall_ = std::make_shared<SingleCall>(environment_.scheduler);
    const std::string target = RelayCodec::encode(request);
    peerCall_->start(environment_.transport,
                     peer.address,
                     {target, "", codec_.sign(target)},
                     environment_.clock.now() + request.wait + responseTimeout,
                     [this, handler = std::move(handler)](const WireReply &reply) {
                         peerCall_.reset();
                         constexpr unsigned statusOk = 200;
                         const bool succeeded = !reply.error && reply.status == statusOk;
                         handler(succeeded ? codec_.decode(reply.body, environment_.decoder) : std::nullopt);
                     });
}

void RelaySource::readDirectly(const std::optional<StatePosition> &after, Duration wait, Freshness freshness, const Handler &handler)
{
    path_ = Path::Source;
    pathAvoided_ = false;
    const bool complete = !after;
    const auto onResult = [this, after, handler](const DiscoveryReadResult &result) { onDirectResult(result, after, handler); };
    if (complete) {
        environment_.direct.readAll(freshness, onResult);
    } else {
        // After a failure the call only asks for what is there, so that it fails early if the source is still silent.
        const Duration longest = isReaderOfOthers() ? std::min(wait, readerWatchTime) : wait;
        environment_.direct.watch(*after, directFailures_ > 0 ? Duration::zero() : longest, onResult);
    }
}

void RelaySource::onDirectResult(const DiscoveryReadResult &result, const std::optional<StatePosition> &after, const Handler &handler)
{
    const auto staleReader = std::exchange(staleReader_, std::nullopt);
    if (result.error) {
        ++directFailures_;
        lastUnavailableAt_ = environment_.clock.now();
        nextOwnCallAt_ = environment_.clock.now() + ownCallInterval;
    } else {
        directFailures_ = 0;
        if (staleReader) {
            avoidPeer(*staleReader, staleAvoidanceTime, "its source failed or is silent");
        }
    }
    if (result.error == TransportError::Silent && isSourceUnreachable() && !chooseReader()) {
        // The time-out has taken the time that would pass before the next call.
        if (const auto peer = chooseAnyPeer()) {
            callAnyPeer(*peer, after, handler);
            return;
        }
    }
    deliver(result, handler);
}

void RelaySource::deliver(const DiscoveryReadResult &result, const Handler &handler)
{
    const bool hasContent = !result.error && !result.historyLost;
    const bool isOtherEra = hasContent && !environment_.mirror.empty() && result.position.era != environment_.mirror.position().era;
    if (result.sourceRecentlyUnavailable || isOtherEra) {
        lastUnavailableAt_ = environment_.clock.now();
    }
    if (hasContent && (result.complete || !isOtherEra)) {
        environment_.mirror.apply(result);
    }
    handler(result);
}

} // namespace magnoliaspan
