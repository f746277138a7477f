/*
 * Part forward: all replicas of this host, kept in step with the registry, and the choice among them.
 */
#pragma once

#include "control/TokenBucket.h"
#include "discovery/Registry.h"
#include "forward/ForwardLimits.h"
#include "forward/Replica.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief Where this host stands.
struct HostPlace {
    std::string zone;
    std::map<std::string, std::string, std::less<>> regionOfZone;

    /// \returns the region of \p zone, empty when the zone is unknown.
    std::string_view regionOf(std::string_view zone) const;
};

/// \brief Which replica is wanted.
struct ReplicaQuery {
    std::string_view service;
    std::string_view workKind;
    std::span<const std::string> allowedRegions; ///< Empty allows all.
    std::span<const std::string> tried;          ///< Targets that are not to be chosen again.
};

/// \brief Owns every replica and chooses among those of a service.
class ReplicaController
{
public:
    ReplicaController(const ForwardEnvironment &environment, Registry &registry, HostPlace place, const ForwardLimits &limits);

    void setLimits(const ForwardLimits &limits);

    /// \brief Tells how many hosts share the bounds now.
    void setHosts(unsigned hosts);
    const ForwardLimits &limits() const;

    /// \brief Follows the registry; to be called by its listener.
    void tableAccepted();
    void targetChanged(const TargetEntry &entry);
    void targetRemoved(const std::string &id);
    void zoneChanged(const std::string &zone, bool evacuated);

    /// \brief Chooses the replica with the least score; a cold one only while no warm one can be used.
    /// A choice of a cold replica uses up part of its share.
    /// \returns null when none can be used now.
    std::shared_ptr<Replica> pick(const ReplicaQuery &query);

    /// \returns whether pick() would find a replica, cold ones included.
    bool available(const ReplicaQuery &query) const;

    /// \returns how much too late the earliest of the replicas would answer for \p deadline, judged by their queues; zero when
    /// one would be in time, nothing when none is available().
    std::optional<Duration> lateness(const ReplicaQuery &query, TimePoint deadline) const;

    /// \returns when a replica that cannot be reached now is tried again; nothing when there is none.
    std::optional<TimePoint> nextTrial(const ReplicaQuery &query) const;

    /// \returns what an exchange takes in replicas of this region or of others; a first guess before the first answer.
    Duration usual(std::string_view workKind, bool otherRegion) const;

    /// \brief Tells of a whole answer of a replica.
    void observe(std::string_view workKind, bool otherRegion, Duration latency);

    /// \brief Tells that a request to \p service begins.
    void requestBegins(std::string_view service);

    /// \brief Takes leave for a send beyond the first of a request. \returns false when the service's budget is used up.
    bool takeExtraSend(std::string_view service);

    /// \returns usual() with the memory that suits the rate of requests to \p service.
    UsualLatency usualAt(std::string_view service, std::string_view workKind, bool otherRegion) const;

    /// \brief Does what is due: closes idle connections, drops replicas that are gone and idle.
    void tick();

    std::size_t size() const;
    std::size_t connections() const;

private:
    struct ServiceUse {
        TokenBucket extraSends;  // Sends beyond the first of each request.
        TimePoint refilledAt;    // When the budget last got its part of the slack.
        TimePoint lastRequestAt; // When a request last began.
        Duration interval{};     // Between requests, a weighted mean.
    };

    using ReplicaList = std::vector<std::shared_ptr<Replica>>;
    using Replicas = std::map<std::string, std::shared_ptr<Replica>, std::less<>>;

    void shareChanged();
    double extraSendBurst() const;
    ServiceUse &useOf(std::string_view service);
    ReplicaLimits limitsFor(const TargetEntry &entry) const;
    bool usable(const Replica &replica, const ReplicaQuery &query) const;
    void index(const TargetEntry &entry);
    void unindex(const std::string &id);
    void retire(const std::string &id);
    ReplicaList candidates(const ReplicaQuery &query) const;
    std::shared_ptr<Replica> best(std::span<const std::shared_ptr<Replica>> candidates, const ReplicaQuery &query) const;

    const ForwardEnvironment &environment_;
    Registry &registry_;
    HostPlace place_;
    ForwardLimits limits_;
    Replicas replicas_;
    std::map<std::string, std::set<std::string>, std::less<>> byService_; // Ids of replicas_.
    std::map<std::string, TimePoint, std::less<>> drainingSince_;         // When this host learned of it.
    std::vector<std::shared_ptr<Replica>> retired_;                       // Gone, with sends that still run.
    std::map<std::string, ServiceUse, std::less<>> uses_;
    std::array<std::map<std::string, LatencyEstimate, std::less<>>, 2> usual_; // Of this region and of others, by kind of work.
};

} // namespace magnoliaspan
