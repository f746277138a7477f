/*
 * Owns the replicas of all services, keeps them in sync with the registry, and selects one for each attempt.
 */
#pragma once

#include "discovery/Registry.h"
#include "forward/ExtraSendBudget.h"
#include "forward/ForwardLimits.h"
#include "forward/Replica.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief Location of this host.
struct HostLocation {
    std::string zone;
    std::map<std::string, std::string, std::less<>> regionOfZone;

    /// \returns the region of \p zone, empty if the zone is unknown.
    std::string_view regionOf(std::string_view zone) const;
};

/// \brief Criteria for the selection of a replica.
struct ReplicaQuery {
    std::string_view service;
    std::string_view workKind;
    std::span<const std::string> allowedRegions; ///< Empty allows all.
    std::span<const std::string> excluded;       ///< Ids of targets that must not be selected.
};

/// \brief Owns every replica and selects among those of a service.
class ReplicaController
{
public:
    ReplicaController(const ForwardEnvironment &environment, Registry &registry, HostLocation location, const ForwardLimits &limits);

    void setLimits(const ForwardLimits &limits);

    /// \brief Sets the number of hosts that share the limits.
    void setHostCount(unsigned hosts);

    /// \brief Sets the traffic of this host relative to the mean of all hosts; it gets that part of the extra sends and of the limits that
    /// targets state.
    void setTrafficWeight(double weight);

    const ForwardLimits &limits() const;

    /// \brief Applies changes of the registry; to be called by its listener.
    void onTableAccepted();
    void onTargetChanged(const TargetEntry &entry);
    void onTargetRemoved(const std::string &id);
    void onZoneChanged(const std::string &zone, bool evacuated);

    /// \brief Selects the replica with the lowest score; a cold one only if there is no warm one, and one that leaves only if
    /// there is no other, for a short time. A replica whose target limits requests or asks for a pause is selected only as far
    /// as it takes requests.
    /// Selecting a cold replica uses up part of its share.
    /// \returns null if none can be used now.
    std::shared_ptr<Replica> pick(const ReplicaQuery &query);

    /// \returns how long an attempt on the replica with the lowest score would take, with the time to open a connection if none is
    /// idle; nothing if no warm replica can be used now.
    std::optional<Duration> expectedDuration(const ReplicaQuery &query) const;

    /// \returns whether a replica can be used, cold ones and those that have just begun to leave included.
    bool isAvailable(const ReplicaQuery &query) const;

    /// \returns by how much the earliest replica would miss \p deadline, predicted from the queues; zero if one would
    /// meet it, nothing if none isAvailable().
    std::optional<Duration> lateness(const ReplicaQuery &query, TimePoint deadline) const;

    /// \returns when the first of the replicas that are unreachable, or paused, may be tried again; nothing if there is none.
    std::optional<TimePoint> nextRetry(const ReplicaQuery &query) const;

    /// \returns when the first pause ends, if a service has ready replicas but all of them asked for a pause; else nothing.
    std::optional<TimePoint> pausedUntil(const ReplicaQuery &query) const;

    /// \returns the typical latency of replicas in this region or in others; an initial guess before the first response.
    Duration baselineLatency(std::string_view workKind, bool otherRegion) const;

    /// \brief Records the latency of a successful response.
    void recordLatency(std::string_view workKind, bool otherRegion, Duration latency);

    /// \returns the typical time to open a connection to a replica in this region or in others; an initial guess before the first.
    Duration connectTime(bool otherRegion) const;

    /// \brief Records the time that opening a connection took.
    void recordConnectTime(bool otherRegion, Duration time);

    /// \brief Records the start of a request to \p service.
    void recordRequest(std::string_view service);

    /// \brief Acquires permission for an attempt beyond the first of a request.
    /// \returns false if the service's budget is used up.
    bool tryAcquireExtraSend(std::string_view service);

    /// \returns baselineLatency() with the half-life that suits the rate of requests to \p service.
    LatencyBaseline baselineFor(std::string_view service, std::string_view workKind, bool otherRegion) const;

    /// \brief Opens connections to the targets that responded last and to a few random ones, whatever their state, to learn
    /// whether any can be reached.
    void probeTargets();

    /// \brief Forgets failures of targets, after this host was cut off from all of them.
    void onContactRegained();

    /// \brief Runs the maintenance of all replicas and drops retired ones without attempts.
    void tick();

    std::size_t size() const;
    std::size_t connections() const;

private:
    struct ServiceTraffic {
        ExtraSendBudget extraSends; // Attempts beyond the first of each request.
        TimePoint lastRequestAt;    // When a request last started.
        Duration meanInterval{};    // Between requests; a weighted mean.
    };

    // Identifier of a target and the time of its start.
    using Instance = std::pair<std::string, std::int64_t>;

    struct KeptStatement {
        std::shared_ptr<TargetStatement> statement;
        TimePoint lastUsed; // When a replica last held it.
    };

    using ReplicaList = std::vector<std::shared_ptr<Replica>>;
    using Replicas = std::map<std::string, std::shared_ptr<Replica>, std::less<>>;

    ExtraSendLimits extraSendLimits() const;
    ServiceTraffic &trafficOf(std::string_view service);
    double trafficShare() const;
    ReplicaLimits limitsFor(const TargetEntry &entry) const;
    std::shared_ptr<TargetStatement> statementOf(const TargetEntry &entry);
    std::optional<TimePoint> leavingSince(const Replica &replica) const;
    bool isOpen(const Replica &replica) const;
    bool isUsable(const Replica &replica, const ReplicaQuery &query) const;
    void index(const TargetEntry &entry);
    void unindex(const std::string &id);
    void retire(const std::string &id);
    ReplicaList candidates(const ReplicaQuery &query) const;
    std::shared_ptr<Replica> best(std::span<const std::shared_ptr<Replica>> candidates, const ReplicaQuery &query) const;

    const ForwardEnvironment &environment_;
    Registry &registry_;
    HostLocation location_;
    ForwardLimits limits_;
    double trafficWeight_ = 1;
    std::mt19937_64 random_; // Selects the targets to probe.
    Replicas replicas_;
    std::map<std::string, std::set<std::string>, std::less<>> byService_; // Invariant: each id is a key of replicas_.
    std::map<std::string, TimePoint, std::less<>> drainingSince_;         // When this host learned of it, by target id.
    std::map<Instance, KeptStatement> statements_;
    std::vector<std::shared_ptr<Replica>> retired_; // Kept until their attempts have ended.
    std::map<std::string, ServiceTraffic, std::less<>> traffic_;
    std::array<LatencyEstimate, 2> connectTimes_;                                  // This region's and others'.
    std::array<std::map<std::string, LatencyEstimate, std::less<>>, 2> baselines_; // This region's and others', by kind of work.
};

} // namespace magnoliaspan
