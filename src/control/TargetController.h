/*
 * Part control: the links to all targets of this zone and to the other entry
 * hosts, kept in step with the environment document and the membership list.
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

/// \brief Which replica is wanted.
struct ReplicaWanted {
    const EnvironmentDocument &document;   ///< The newest accepted document; zones and leaving are judged by it.
    std::span<const std::string> replicas; ///< Target names from the pinned shard map.
    std::span<const std::string> avoid;    ///< Links already tried, by name.
    std::int64_t snapshot = 0;             ///< Zero when any will do.
    ConnectionNeed need = ConnectionNeed::Any;
    TimePoint deadline;
    bool mayUsePeers = true; ///< False for work that another zone's entry host asked for.
};

/// \brief The chosen replica.
struct Route {
    TargetLink *link = nullptr; // Never null.
    SendPermit permit;
    bool viaPeer = false;    ///< The link leads to an entry host of the target's zone.
    std::string_view reason; ///< For the log.
};

/// \brief Why no replica was chosen.
enum class NoRoute {
    Busy,      ///< A usable replica exists, but takes no more work now.
    NoReplica, ///< No replica is usable.
};

/// \brief Owns every link and chooses among them.
class TargetController
{
public:
    /// \param seed of the random choice between replicas.
    TargetController(const LinkEnvironment &environment, std::string seat, std::string zone, std::uint64_t seed);

    /// \brief Opens and retires links to match \p document.
    void apply(const EnvironmentDocument &document);

    /// \brief Tells every link what the membership list says.
    void apply(const MembershipReadResult &reading);

    /// \brief Chooses the less loaded of two random admissible replicas (Mitzenmacher, 2001).
    /// Replicas of this zone come first; other zones are asked through their entry hosts.
    std::optional<Route> pick(const ReplicaWanted &wanted, NoRoute &why);

    /// \returns the snapshot that this zone's targets, as far as known, hold for most shards, the newest of
    /// several such; never \p excluded; zero when no target has told of any.
    std::int64_t bestSnapshot(const SystemSpec &system, std::int64_t excluded) const;

    /// \brief Runs the periodic work of every link.
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
    void add(Links &links, LinkAddress address, const LinkLimits &limits);
    void applyTargets(const EnvironmentDocument &document);
    void applySeats(const EnvironmentDocument &document);
    std::vector<Candidate> localCandidates(const ReplicaWanted &wanted, bool &anyUsable) const;
    /// \returns whether no replica of this zone is known to be warm, but one may be.
    bool needsZonePeers(const ReplicaWanted &wanted) const;
    std::set<std::string_view> zonesWithReplicas(const ReplicaWanted &wanted) const;
    std::vector<Candidate> peerCandidates(const ReplicaWanted &wanted, bool &anyUsable);
    const Candidate &lessLoaded(std::vector<Candidate> &candidates);

    LinkEnvironment environment_;
    std::string seat_;
    std::string zone_;
    std::mt19937_64 random_;
    Links targets_;                                    // Invariant: only targets of zone_.
    Links peers_;                                      // By seat; without this process's own.
    std::vector<std::unique_ptr<TargetLink>> retired_; // Links without a place in the document whose last work still runs.
    std::map<std::string, MemberState> listed_;
};

} // namespace magnoliaspan
