/*
 * Membership protocol: finds all hosts of the deployment from a few seeds and detects their failures.
 *
 * Each host probes one other host at a time and piggybacks updates on every datagram (Das, Gupta and Motivala, "SWIM",
 * 2002). A host that does not acknowledge a probe becomes suspect; unless it refutes the suspicion in time it becomes gone.
 * Unlike SWIM there are no indirect probes: a suspicion reaches the suspect through hosts that can contact it, and the
 * refutation returns the same way.
 */
#pragma once

#include "core/Counters.h"
#include "core/Journal.h"
#include "core/PeriodicTimer.h"
#include "membership/CrashReportBuffer.h"
#include "membership/LoadAverage.h"
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

/// \brief Configuration of the membership protocol.
struct GossipSettings {
    Member self;                 ///< This host, with the wall-clock time of its start as its incarnation.
    std::vector<Endpoint> seeds; ///< Hosts to contact first; may include this one.
    std::set<std::string> zones; ///< All zones of the deployment.
    std::string key;             ///< Shared by all hosts; authenticates datagrams.
    unsigned assumedHosts = 1;   ///< Lowest host count used until membership is stable.
};

/// \brief Discovers other hosts, detects their failures and disseminates updates.
class GossipController
{
public:
    /// \param port sends and receives the datagrams; outlives the controller, as do the other references.
    /// \param seed of all random choices.
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

    /// \brief Marks this host as left and notifies a few other hosts.
    void leave();

    /// \brief Replaces the seeds, the only setting that can change at run time.
    void setSeeds(std::vector<Endpoint> seeds);

    /// \brief Disseminates a report on a crashing request; each report is disseminated once.
    /// \returns whether the report was new; false also while the highest number of reports is kept.
    bool reportCrash(const CrashReport &crash);

    /// \returns whether this host has the same reports as another host, or has waited for that long enough.
    bool hasCrashReports() const;

    /// \brief Calls \p listener with each report that another host sent, once per report.
    void onCrashReport(std::function<void(const CrashReport &)> listener);

    /// \brief Calls \p listener when the result of sharingHosts() changes.
    void onSharingHostsChanged(std::function<void(unsigned hosts)> listener);

    /// \brief Sets the position up to which this host has read the published state; it is sent with every datagram.
    void setPosition(const StatePosition &position);

    /// \brief Calls \p listener with the position in each datagram that another host sent.
    /// \sa PeerDatagram::position
    void onPeerPosition(std::function<void(const StatePosition &position)> listener);

    /// \brief Sets whether this host reaches any target; a change is sent to a few hosts at once.
    void setReachesTargets(bool reaches);

    /// \brief Calls \p listener with what each datagram says of its sender: whether that reaches any target.
    void onPeerReach(std::function<void(const std::string &host, bool reachesTargets)> listener);

    const Member &self() const;

    /// \returns other hosts in state Alive, of \p zone or, without a value, of all zones.
    std::vector<Member> aliveMembers(const std::optional<std::string> &zone) const;

    /// \returns the number of hosts that share the limits on the load of targets; rather too high than too low, so that
    /// the shares together stay below the limit.
    unsigned sharingHosts() const;

    /// \returns the number of other hosts that are alive or suspect.
    std::size_t aliveCount() const;

    /// \brief Sets the load of this host, by which limits that all hosts share are divided.
    /// \sa LoadAverage::setLoad
    void setLoad(double load);

    /// \returns the load of this host relative to the mean of all hosts.
    /// \sa LoadAverage::weight
    double loadWeight() const;

private:
    void tick();
    void probeNext();
    void probeSeeds();
    void sendProbe(const Endpoint &to, const std::string &name);
    void onProbeTimeout(std::uint64_t number);
    void handleDatagram(std::string_view text);
    void scheduleLoadExchange();
    void startLoadExchange();
    void handleLoadSample(const PeerDatagram &datagram);
    void handleCrashReports(const PeerDatagram &datagram);
    void applyUpdate(const Member &update);
    void notifySuspect(const Member &suspect);
    void refuteUpdate(const Member &update);
    void expireSuspects();
    PeerDatagram composeHeader(DatagramType type) const;
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
    UpdateQueue<std::string> newMemberQueue_;   // Names of hosts that became known.
    UpdateQueue<std::string> stateChangeQueue_; // Names of hosts whose state changed.
    CrashReportBuffer crashReports_;
    TimePoint startedAt_;
    TimePoint nextResendAt_{};                 // When crash reports may be sent again to a host that lacks some.
    bool crashReportsAgreed_ = false;          // Whether a host that has all reports had the same ones as this host since the start.
    bool crashReportsAgreedByNewHost_ = false; // The same of any host.
    std::map<std::string, TimePoint, std::less<>> suspicionDeadlines_; // When a suspect becomes gone, by name.
    std::map<std::uint64_t, std::string> pendingProbes_;               // Unacknowledged, by number; no name for a seed.
    std::uint64_t lastProbeNumber_ = 0;
    TimePoint lastNewMemberAt_; // When a host last became known; initially the start of this host.
    TimePoint nextProbeAt_{};
    TimePoint nextReconnectAt_{};
    unsigned sharingHosts_ = 0;
    bool wasStable_ = false;     // Whether membership was ever stable; from then on the known hosts are counted.
    bool pushScheduled_ = false; // Invariant: at most one push is scheduled.
    std::function<void(const CrashReport &)> crashListener_;
    std::function<void(unsigned)> sharingHostsListener_;
    std::function<void(const StatePosition &)> positionListener_;
    StatePosition position_;
    bool reachesTargets_ = true;
    std::function<void(const std::string &, bool)> reachListener_;
    LoadAverage loadAverage_;
    std::uint64_t exchangeNumber_ = 0;   // Of the pending exchange; 0 if there is none.
    unsigned exchangeCount_ = 0;         // Started so far.
    std::shared_ptr<int> lifetimeToken_; // Callbacks hold it weakly and do nothing once the controller is destroyed.
    PeriodicTimer timer_;
};

} // namespace magnoliaspan
