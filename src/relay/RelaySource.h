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
    void distrust() override;

    /// \returns whether the source was away just now, so that what is missing may only have lapsed.
    bool unsettled() const;

private:
    struct Peer {
        std::string name;
        Endpoint address;
    };

    bool cutOff() const;
    std::optional<Peer> reader();
    std::optional<Peer> anyPeer();
    bool usable(const Member &member) const;
    void readDirectly(const std::optional<std::int64_t> &after, Duration wait, Freshness freshness, const Handler &handler);
    void directEnded(const DiscoveryReading &reading, bool complete, const Handler &handler);
    void ask(const Peer &peer, const RelayRequest &request, std::function<void(std::optional<DiscoveryReading>)> handler);
    void deliver(const DiscoveryReading &reading, bool complete, const Handler &handler);
    void askAnyone(const std::optional<std::int64_t> &after, const Handler &handler);
    void avoid(const Peer &peer, std::string_view reason);

    RelayEnvironment environment_;
    RelayCodec codec_;
    Duration watchTime_;
    std::mt19937_64 random_;
    std::shared_ptr<SingleCall> running_;      // Of another host; null when no such call runs.
    std::map<std::string, TimePoint> avoided_; // Until when, by host.
    TimePoint directUntil_{};                  // Before this no other host is asked.
    unsigned failures_ = 0;                    // Calls of its own in a row that failed.
    bool askedAnyone_ = false;                 // Whether the last call went to any other host.
    std::optional<TimePoint> lastTrouble_;
};

} // namespace magnoliaspan
