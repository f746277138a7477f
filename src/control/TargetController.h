/*
 * Links to all targets of this zone and to the other entry hosts, kept in step
 * with the environment document and the membership list; selection of replicas.
 */
#pragma once

#include "config/EnvironmentDocument.h"
#include "control/TargetLink.h"
#include "transport/PlatformSource.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief Criteria for the selection of a replica.
struct ReplicaCriteria {
    const EnvironmentDocument &document;        ///< The newest accepted document; decides which zones and targets take requests.
    std::span<const std::string> replicas;      ///< Target names from the shard map pinned by the request.
    std::span<const std::string> excludedLinks; ///< Names of links already tried.
    std::int64_t snapshot = 0;                  ///< Zero for any.
    ConnectionNeed need = ConnectionNeed::Any;
    TimePoint deadline;
    bool mayUsePeers = true; ///< False for requests from the entry host of another zone.
};

/// \brief A selected replica and the permit to send to it.
struct ReplicaRoute {
    TargetLink *link = nullptr; // Invariant: not null.
    SendPermit permit;
    bool viaPeer = false;    ///< Whether the link leads to an entry host of the target's zone.
    std::string_view reason; ///< For the log.
};

/// \brief Why no replica was selected.
enum class RouteFailure {
    Busy,      ///< A usable replica exists, but takes no more requests now.
    NoReplica, ///< No replica is usable.
};

/// \brief Owns every link and selects among them.
class TargetController
{
public:
    /// \param seed of the random choice between replicas.
    TargetController(const LinkEnvironment &environment, std::string seat, std::string zone, std::uint64_t seed);

    /// \brief Adds, updates and retires links to match \p document.
    void apply(const EnvironmentDocument &document);

    /// \brief Passes the states in the membership list to the links.
    void apply(const MembershipReadResult &reading);

    /// \brief Selects the less loaded of two random admissible replicas (Mitzenmacher, 2001).
    /// Replicas of this zone are preferred; those of other zones are reached through their entry hosts.
    /// \param failure set when no replica is selected.
    std::optional<ReplicaRoute> selectReplica(const ReplicaCriteria &criteria, RouteFailure &failure);

    /// \returns the snapshot that the targets of this zone, as last observed, hold for the most shards, the newest of
    /// several such; never \p excluded; zero when no target has reported any.
    std::int64_t bestSnapshot(const SystemSpec &system, std::int64_t excluded) const;

    /// \brief Runs the periodic maintenance of every link and deletes retired links that are idle.
    void tick();

    const std::map<std::string, std::unique_ptr<TargetLink>, std::less<>> &targets() const;
    const std::map<std::string, std::unique_ptr<TargetLink>, std::less<>> &peers() const;

    /// \returns the link to the entry host in \p seat, or null.
    TargetLink *findPeer(std::string_view seat);

private:
    using Links = std::map<std::string, std::unique_ptr<TargetLink>, std::less<>>;

    struct Candidate {
        TargetLink *link;
        SendPermit permit;
    };

    LinkLimits targetLimits(const EnvironmentDocument &document, const TargetSpec &target) const;
    void retire(Links &links, std::span<const std::string> obsolete);
    void addLink(Links &links, LinkAddress address, const LinkLimits &limits);
    void applyTargets(const EnvironmentDocument &document);
    void applySeats(const EnvironmentDocument &document);
    std::vector<Candidate> localCandidates(const ReplicaCriteria &criteria, bool &anyUsable) const;
    /// \returns whether no replica of this zone is known to be warm or warming, but one may be.
    bool needsZonePeers(const ReplicaCriteria &criteria) const;
    std::set<std::string_view> zonesWithReplicas(const ReplicaCriteria &criteria) const;
    std::vector<Candidate> peerCandidates(const ReplicaCriteria &criteria, bool &anyUsable);
    const Candidate &selectLessLoaded(std::vector<Candidate> &candidates);

    LinkEnvironment environment_;
    std::string seat_;
    std::string zone_;
    std::mt19937_64 random_;
    Links targets_;                                    // Invariant: only targets of zone_.
    Links peers_;                                      // By seat; without the seat of this process.
    std::vector<std::unique_ptr<TargetLink>> retired_; // Links no longer in the document, until their last request ends.
    std::map<std::string, MemberState> memberStates_;  // From the last membership list; applied to links added later.
};

} // namespace magnoliaspan
