/*
 * Part membership: which hosts there are, found from a few seeds and kept by probes.
 *
 * Each host probes one other at a time and hands news on with every datagram (Das, Gupta and Motivala, "SWIM", 2002). A
 * host that does not answer is suspect; unless it denies that in time it counts as gone. There is no probe by way of
 * others: a suspicion travels to its host by way of those that reach it, and so does the denial back.
 */
#pragma once

#include "core/Counters.h"
#include "core/Journal.h"
#include "core/Ticker.h"
#include "membership/MemberTable.h"
#include "membership/PeerDatagram.h"
#include "membership/UpdateQueue.h"
#include "transport/DatagramPort.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief What a host knows of the deployment's hosts before it meets any.
struct GossipSettings {
    Member self;                 ///< With the wall time of the start as its incarnation.
    std::vector<Endpoint> seeds; ///< Hosts to meet first; this one may be among them.
    std::set<std::string> zones; ///< Of the deployment.
    std::string key;             ///< Shared by all hosts.
    unsigned assumedHosts = 1;   ///< Counted until the hosts are known.
};

/// \brief Meets other hosts, watches them, and hands news on.
class GossipController
{
public:
    GossipController(const Clock &clock,
                     Scheduler &scheduler,
                     Journal &journal,
                     Counters &counters,
                     DatagramPort &port,
                     GossipSettings settings,
                     std::uint64_t seed);
    ~GossipController() = default;
    GossipController(const GossipController &) = delete;
    GossipController &operator=(const GossipController &) = delete;

    void start();

    /// \brief Tells others that this host ends.
    void leave();

    /// \brief Takes over settings that may change while the process runs: the seeds.
    void setSeeds(std::vector<Endpoint> seeds);

    /// \brief Tells others of a lost target; they hear of each once. \returns whether this host had not heard of it.
    bool reportCrash(const CrashReport &crash);

    /// \brief Calls \p listener with each report heard for the first time.
    void onCrashReport(std::function<void(const CrashReport &)> listener);

    /// \brief Calls \p listener whenever the number of hosts that share the bounds changes.
    void onSharingHostsChanged(std::function<void(unsigned hosts)> listener);

    /// \brief Tells which revision of the published state this host knows, for others to compare.
    void setRevision(std::int64_t revision);

    /// \brief Calls \p listener with each revision that another host tells to know.
    void onPeerRevision(std::function<void(std::int64_t revision)> listener);

    const Member &self() const;

    /// \returns other hosts that answer, of \p zone or of all.
    std::vector<Member> aliveMembers(const std::optional<std::string> &zone) const;

    /// \returns hosts that share the bounds of the targets, counted high rather than low.
    unsigned sharingHosts() const;

    /// \returns other hosts that may be alive.
    std::size_t aliveCount() const;

private:
    void tick();
    void probeNext();
    void probeSeeds();
    void sendProbe(const Endpoint &to, const std::string &name);
    void onProbeTimeout(std::uint64_t number);
    void handleDatagram(std::string_view text);
    void applyUpdate(const Member &update);
    void notifySuspect(const Member &suspect);
    void refuteUpdate(const Member &update);
    void expireSuspects();
    PeerDatagram composeDatagram(DatagramType type, const Member *to, std::size_t sample);
    std::size_t sampleSize() const;
    void send(const Endpoint &to, const PeerDatagram &datagram);
    void schedulePush();
    void push();
    void sendToRandomMembers();
    bool isMembershipStable() const;
    bool hasNoOtherSeed() const;
    unsigned maxTransmissions(unsigned transmissionsPerDoubling) const;
    void updateSharingHosts();

    const Clock &clock_;
    Scheduler &scheduler_;
    Journal &journal_;
    Counters &counters_;
    DatagramPort &port_;
    GossipSettings settings_;
    PeerDatagramCodec codec_;
    MemberTable table_;
    std::mt19937_64 random_;
    UpdateQueue<std::string> newMemberQueue_;   // Hosts met for the first time, by name.
    UpdateQueue<std::string> stateChangeQueue_; // Hosts whose state changed.
    UpdateQueue<CrashReport> crashReportQueue_;
    std::map<CrashReport, TimePoint> knownCrashReports_;               // When each was first heard.
    std::map<std::string, TimePoint, std::less<>> suspicionDeadlines_; // When each counts as gone.
    std::map<std::uint64_t, std::string> pendingProbes_;               // Unanswered, by number; the name is empty for a seed.
    std::uint64_t lastProbeNumber_ = 0;
    TimePoint lastNewMemberAt_; // When a host was last met for the first time; the start of this one before.
    TimePoint nextProbeAt_{};
    TimePoint nextReconnectAt_{};
    unsigned sharingHosts_ = 0;
    bool wasStable_ = false;     // Whether the hosts were ever all known; newcomers are counted on top from then on.
    bool pushScheduled_ = false; // Whether a push is scheduled.
    std::function<void(const CrashReport &)> crashListener_;
    std::function<void(unsigned)> sharingHostsListener_;
    std::function<void(std::int64_t)> revisionListener_;
    std::int64_t revision_ = 0;
    std::shared_ptr<int> lifetimeToken_; // Handlers hold it weakly, so that none outlives the controller.
    Ticker timer_;
};

} // namespace magnoliaspan
