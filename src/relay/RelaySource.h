/*
 * Part relay: reads for itself or from another host.
 *
 * In each zone a few hosts, chosen by rendezvous hashing (Thaler and Ravishankar, 1998), read the source; the others read
 * from them, as long as they answer and their news are fresh. A host that cannot reach the source itself asks any other.
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

/// \brief What a relay source uses; outlives it.
struct RelayEnvironment {
    const Clock &clock;
    Scheduler &scheduler;
    Journal &journal;
    Counters &counters;
    Transport &transport;
    DiscoverySource &direct;
    const ItemDecoder &decoder;
    GossipController &gossip;
    Mirror &mirror;
};

/// \brief Chooses the way of each call.
class RelaySource : public DiscoverySource
{
public:
    /// \param watchTime longest time that a reader's own call waits, so that its news may be that old at rest.
    RelaySource(const RelayEnvironment &environment, std::string key, Duration watchTime, std::uint64_t seed);
    ~RelaySource() override;

    void readAll(Freshness freshness, Handler handler) override;
    void watch(std::int64_t revision, Duration wait, Handler handler) override;
    void cancel() override;
    void avoidCurrentPath() override;

    /// \returns whether the source was away just now, so that what is missing may only have lapsed.
    bool isSourceRecentlyUnavailable() const;

private:
    struct Peer {
        std::string name;
        Endpoint address;
    };

    bool isSourceUnreachable() const;
    std::optional<Peer> chooseReader();
    std::optional<Peer> chooseAnyPeer();
    bool isUsable(const Member &member) const;
    void readDirectly(const std::optional<std::int64_t> &after, Duration wait, Freshness freshness, const Handler &handler);
    void onDirectResult(const DiscoveryReadResult &result, bool complete, const Handler &handler);
    void callPeer(const Peer &peer, const RelayRequest &request, std::function<void(std::optional<DiscoveryReadResult>)> handler);
    void deliver(const DiscoveryReadResult &result, bool complete, const Handler &handler);
    void callAnyPeer(const std::optional<std::int64_t> &after, const Handler &handler);
    void avoidPeer(const Peer &peer, std::string_view reason);

    RelayEnvironment environment_;
    RelayCodec codec_;
    Duration watchTime_;
    std::mt19937_64 random_;
    std::shared_ptr<SingleCall> peerCall_;          // Of another host; null when no such call runs.
    std::map<std::string, TimePoint> avoidedUntil_; // Until when, by host.
    TimePoint directUntil_{};                       // Before this no other host is asked.
    unsigned directFailures_ = 0;                   // Calls of its own in a row that failed.
    bool calledAnyPeer_ = false;                    // Whether the last call went to any other host.
    std::optional<TimePoint> lastUnavailableAt_;
};

} // namespace magnoliaspan
