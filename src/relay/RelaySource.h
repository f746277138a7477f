/*
 * Reads the published state from its source or from another host.
 *
 * In each zone a few hosts, the readers, read from the source; they are chosen by rendezvous hashing (Thaler and
 * Ravishankar, 1998). The other hosts, the followers, read from a reader as long as it responds and its state is recent. A
 * host that cannot reach the source itself reads from any other host.
 */
#pragma once

#include "core/Counters.h"
#include "core/Journal.h"
#include "core/Scheduler.h"
#include "membership/GossipController.h"
#include "relay/Mirror.h"
#include "relay/RelayMessages.h"
#include "transport/SingleCall.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief Dependencies of a relay source; they outlive it.
struct RelayEnvironment {
    const Clock &clock;
    Scheduler &scheduler;
    Journal &journal;
    Counters &counters;
    Transport &transport;
    DiscoverySource &direct; ///< Reads from the source itself.
    const ItemDecoder &decoder;
    GossipController &gossip;
    Mirror &mirror; ///< Updated by each successful read.
};

/// \brief Selects for each call whether to read from the source or from another host.
class RelaySource : public DiscoverySource
{
public:
    /// \param key shared by all hosts; authenticates calls between them.
    /// \param seed of all random choices.
    RelaySource(const RelayEnvironment &environment, std::string key, std::uint64_t seed);
    ~RelaySource() override;

    void readAll(Freshness freshness, Handler handler) override;
    void watch(const StatePosition &after, Duration wait, Handler handler) override;
    void cancel() override;
    void avoidCurrentPath() override;

    /// \returns whether the source was unavailable within the last 5 s to this host or to the host that it reads from, so
    /// that missing entries may only have lapsed.
    bool isSourceRecentlyUnavailable() const;

    /// \returns whether this host's last own call to the source failed, so that others do better to read elsewhere.
    bool hasSourceFailed() const;

private:
    /// Where the running or last call reads from.
    enum class Path {
        Source,  ///< The source itself.
        Reader,  ///< A reader of this zone.
        AnyPeer, ///< Any other host, since this one cannot reach the source.
    };

    struct Peer {
        std::string name;
        Endpoint address;
    };

    bool isSourceUnreachable() const;
    bool mustAskAnyPeer() const;
    std::vector<Member> readersOfZone() const;
    bool isReaderOfOthers() const;
    std::optional<Peer> chooseReader();
    std::optional<Peer> chooseAnyPeer();
    bool isUsable(const Member &member) const;
    void readDirectly(const std::optional<StatePosition> &after, Duration wait, Freshness freshness, const Handler &handler);
    void onDirectResult(const DiscoveryReadResult &result, const std::optional<StatePosition> &after, const Handler &handler);
    void callPeer(const Peer &peer, const RelayRequest &request, std::function<void(std::optional<DiscoveryReadResult>)> handler);
    void deliver(const DiscoveryReadResult &result, const Handler &handler);
    void callAnyPeer(const Peer &peer, const std::optional<StatePosition> &after, const Handler &handler);
    void avoidPeer(const Peer &peer, Duration time, std::string_view reason);
    bool isOwnCallDue() const;
    void watchReader(const Peer &reader, const StatePosition &after, Duration wait, const Handler &handler);

    RelayEnvironment environment_;
    RelayCodec codec_;
    std::mt19937_64 random_;
    std::shared_ptr<SingleCall> peerCall_;          // Running call to another host, or null.
    std::map<std::string, TimePoint> avoidedUntil_; // Hosts not to read from, by name.
    TimePoint directUntil_{};                       // No reader is used before this time.
    unsigned directFailures_ = 0;                   // Consecutive failures of own calls to the source.
    TimePoint nextOwnCallAt_{};                     // When a follower calls the source again after a failure.
    bool isReaderStale_ = false;                    // Whether the last response of a reader was of a host whose source failed or is silent.
    std::optional<Peer> staleReader_; // Reader whose state was stale, while an own call finds out whether the source is lost to all.
    Duration readerAge_{};            // Of the state in the last response of a reader.
    Path path_ = Path::Source;
    bool pathAvoided_ = false; // Whether the last call was given up because other hosts have a newer position.
    std::optional<TimePoint> lastUnavailableAt_;
};

} // namespace magnoliaspan
