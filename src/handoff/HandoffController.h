/*
 * Selects the host to which a request is passed on, and sends it there.
 */
#pragma once

#include "forward/RequestHandoff.h"
#include "handoff/HandoffMessages.h"
#include "membership/GossipController.h"
#include "transport/SingleCall.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief Dependencies of a HandoffController; they outlive it.
struct HandoffEnvironment {
    const Clock &clock;
    Scheduler &scheduler;
    Journal &journal;
    Counters &counters;
    Transport &transport;
    GossipController &gossip;
};

/// \brief Passes requests to hosts that are not known to be cut off from targets too: first to those that served one lately,
/// then to nearby ones, but to another zone after one in which hosts were found to be cut off.
///
/// What other hosts say is evidence: one that reports that it reaches no target is left out for a while, and so is a
/// service that another host cannot reach either.
class HandoffController : public RequestHandoff
{
public:
    /// \param regionOfZone region by zone.
    /// \param seed of the random choice among hosts.
    HandoffController(const HandoffEnvironment &environment,
                      std::string key,
                      std::map<std::string, std::string, std::less<>> regionOfZone,
                      std::uint64_t seed);
    ~HandoffController() override;

    bool isPossible(std::span<const std::string> services, std::span<const std::string> allowedRegions) const override;
    CancelFunction start(HandoffRequest request, Handler handler) override;

    /// \brief Records whether another host reaches targets, as it says itself.
    void recordPeer(const std::string &host, bool reachesTargets);

private:
    struct Handoff {
        HandoffRequest request;
        Handler handler;
        Member host;                 // To which it is sent now.
        std::set<std::string> tried; // Names of hosts.
        std::shared_ptr<SingleCall> call;
        TimerId connectTimer = TimerId::None;
        bool mayHaveRun = false;
    };

    std::vector<Member> candidates(std::span<const std::string> allowedRegions) const;
    bool isAvoided(const std::string &host) const;
    void dropExpiredEvidence();
    void recordUnusable(const std::string &host);
    bool servedLately(const std::string &host) const;
    int distance(const Member &host) const;
    std::set<std::string, std::less<>> zonesWithAvoidedHosts() const;
    bool sendToNext(std::uint64_t number);
    void onConnectTimeout(std::uint64_t number);
    void onReply(std::uint64_t number, const WireReply &reply);
    void onFailed(std::uint64_t number, bool wasSent, std::string_view reason);
    void finish(std::uint64_t number, HandoffResult result);
    std::string_view regionOf(std::string_view zone) const;

    HandoffEnvironment environment_;
    HandoffCodec codec_;
    std::map<std::string, std::string, std::less<>> regionOfZone_;
    std::mt19937_64 random_;
    std::map<std::string, TimePoint, std::less<>> avoidedUntil_;  // Hosts, by name.
    std::map<std::string, TimePoint, std::less<>> servedAt_;      // When a host last served a request, by name.
    std::map<std::string, TimePoint, std::less<>> unservedUntil_; // Services that another host did not reach either.
    std::map<std::uint64_t, Handoff> handoffs_;                   // Running, by number.
    std::uint64_t lastNumber_ = 0;
};

} // namespace magnoliaspan
