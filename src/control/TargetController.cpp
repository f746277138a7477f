/*
 * Maintenance of links and selection of replicas.
 */
#include "control/TargetController.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace magnoliaspan {

namespace {

constexpr unsigned connectionsPerPeer = 64;
// One selection in so many uses a cold replica although a warm one is available;
// otherwise a cold replica would lose every comparison of loads and stay cold.
constexpr unsigned choicesPerColdReplica = 4;
constexpr double similarLoadRatio = 1.5;

bool contains(std::span<const std::string> names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool mayHoldSnapshot(const TargetLink &link, std::int64_t snapshot)
{
    const auto &held = link.snapshots();
    return snapshot == 0 || held.empty() || std::find(held.begin(), held.end(), snapshot) != held.end();
}

double loadScore(const TargetLink &link)
{
    const auto latency = std::max<double>(1, static_cast<double>(link.meanLatency().count()));
    return (link.inFlight() + 1) * latency;
}

unsigned perSeatShare(unsigned total, std::size_t seatCount)
{
    return std::max(1U, total / static_cast<unsigned>(std::max<std::size_t>(1, seatCount)));
}

} // namespace

TargetController::TargetController(const LinkEnvironment &environment, std::string seat, std::string zone, std::uint64_t seed)
    : environment_(environment)
    , seat_(std::move(seat))
    , zone_(std::move(zone))
    , random_(seed)
{
}

void TargetController::apply(const EnvironmentDocument &document)
{
    applyTargets(document);
    applySeats(document);
}

void TargetController::applyTargets(const EnvironmentDocument &document)
{
    std::vector<std::string> obsolete;
    for (const auto &[name, link] : targets_) {
        const TargetSpec *spec = document.findTarget(name);
        if (spec == nullptr || spec->zone != zone_ || spec->address != link->address().endpoint) {
            obsolete.push_back(name);
        }
    }
    retire(targets_, obsolete);
    for (const auto &[name, spec] : document.targets) {
        if (spec.zone != zone_) {
            continue;
        }
        const LinkLimits limits = targetLimits(document, spec);
        const auto found = targets_.find(name);
        if (found != targets_.end()) {
            found->second->setLimits(limits);
            continue;
        }
        addLink(targets_, {name, spec.zone, spec.address}, limits);
        const auto member = memberStates_.find(name);
        if (member != memberStates_.end()) {
            targets_.at(name)->setListedLeaving(member->second == MemberState::Leaving);
        }
    }
}

void TargetController::applySeats(const EnvironmentDocument &document)
{
    std::vector<std::string> obsolete;
    for (const auto &[name, link] : peers_) {
        const SeatSpec *spec = document.findSeat(name);
        if (spec == nullptr || spec->peer != link->address().endpoint || spec->zone != link->address().zone) {
            obsolete.push_back(name);
        }
    }
    retire(peers_, obsolete);
    LinkLimits limits;
    limits.connections = connectionsPerPeer;
    limits.slots = connectionsPerPeer;
    limits.hasColdStart = false;
    for (const SeatSpec &seat : document.seats) {
        if (seat.name == seat_ || peers_.count(seat.name) != 0) {
            continue;
        }
        addLink(peers_, {seat.name, seat.zone, seat.peer}, limits);
    }
}

void TargetController::retire(Links &links, std::span<const std::string> obsolete)
{
    for (const std::string &name : obsolete) {
        const auto found = links.find(name);
        retired_.push_back(std::move(found->second));
        links.erase(found);
    }
}

void TargetController::addLink(Links &links, LinkAddress address, const LinkLimits &limits)
{
    const std::string name = address.name;
    links.emplace(name, std::make_unique<TargetLink>(environment_, std::move(address), limits));
}

LinkLimits TargetController::targetLimits(const EnvironmentDocument &document, const TargetSpec &target) const
{
    const SystemSpec &system = *document.findSystem(target.system);
    const std::vector<std::string> seats = document.seatsInZone(zone_);
    const auto own = std::find(seats.begin(), seats.end(), seat_);
    LinkLimits limits;
    limits.connections = perSeatShare(system.connections, seats.size());
    limits.slots = std::min(perSeatShare(system.slots, seats.size()), limits.connections);
    limits.warmAfter = system.warmAfter;
    limits.cold.seatCount = static_cast<unsigned>(std::max<std::size_t>(1, seats.size()));
    limits.cold.seatIndex = own == seats.end() ? 0 : static_cast<unsigned>(own - seats.begin());
    // A process without a published seat has no share of a cold target's concurrency.
    limits.cold.coldConcurrency = own == seats.end() ? 0 : system.coldConcurrency;
    limits.cold.targetHash = std::hash<std::string>{}(target.name);
    limits.cold.slice = document.coldSlice;
    limits.cold.clockOffsetBound = document.clockOffsetBound;
    return limits;
}

void TargetController::apply(const MembershipReadResult &reading)
{
    memberStates_ = reading.targets;
    for (const auto &[name, state] : reading.targets) {
        const auto found = targets_.find(name);
        if (found == targets_.end()) {
            continue;
        }
        found->second->setListedLeaving(state == MemberState::Leaving);
    }
}

std::optional<ReplicaRoute> TargetController::selectReplica(const ReplicaCriteria &criteria, RouteFailure &failure)
{
    bool anyUsable = false;
    auto local = localCandidates(criteria, anyUsable);
    if (!local.empty()) {
        const Candidate &chosen = selectLessLoaded(local);
        return ReplicaRoute{chosen.link,
                            chosen.permit,
                            false,
                            chosen.permit.cold ? "cold share"
                            : local.size() > 1 ? "less loaded of two"
                                               : "only one admissible"};
    }
    if (criteria.mayUsePeers) {
        auto remote = peerCandidates(criteria, anyUsable);
        if (!remote.empty()) {
            const Candidate &chosen = selectLessLoaded(remote);
            return ReplicaRoute{chosen.link,
                                chosen.permit,
                                true,
                                chosen.link->address().zone == zone_ ? "replicas not known to be warm"
                                                                     : "no admissible replica in this zone"};
        }
    }
    failure = anyUsable ? RouteFailure::Busy : RouteFailure::NoReplica;
    return std::nullopt;
}

std::vector<TargetController::Candidate> TargetController::localCandidates(const ReplicaCriteria &criteria, bool &anyUsable) const
{
    std::vector<Candidate> candidates;
    if (!criteria.document.isZoneInService(zone_)) {
        return candidates;
    }
    for (const std::string &name : criteria.replicas) {
        const auto found = targets_.find(name);
        if (found == targets_.end() || contains(criteria.excludedLinks, name)) {
            continue;
        }
        TargetLink &link = *found->second;
        if (link.state() == TargetState::Leaving || !mayHoldSnapshot(link, criteria.snapshot)) {
            continue;
        }
        anyUsable = true;
        const auto permit = link.permitFor(criteria.need, criteria.deadline);
        if (permit) {
            candidates.push_back({&link, *permit});
        }
    }
    return candidates;
}

bool TargetController::needsZonePeers(const ReplicaCriteria &criteria) const
{
    bool anyUnconfirmed = false;
    for (const std::string &name : criteria.replicas) {
        const auto found = targets_.find(name);
        if (found == targets_.end()) {
            continue;
        }
        const TargetState state = found->second->state();
        if (state == TargetState::Warm || state == TargetState::Warming) {
            return false;
        }
        anyUnconfirmed = anyUnconfirmed || state == TargetState::Unknown || state == TargetState::Cold;
    }
    return anyUnconfirmed;
}

std::set<std::string_view> TargetController::zonesWithReplicas(const ReplicaCriteria &criteria) const
{
    std::set<std::string_view> zones;
    for (const std::string &name : criteria.replicas) {
        const TargetSpec *target = criteria.document.findTarget(name);
        if (target != nullptr && criteria.document.isZoneInService(target->zone)) {
            zones.insert(target->zone);
        }
    }
    // Peers of this zone share the limits of its targets, so that they only help while this host does not know the targets yet.
    if (!needsZonePeers(criteria)) {
        zones.erase(zone_);
    }
    return zones;
}

std::vector<TargetController::Candidate> TargetController::peerCandidates(const ReplicaCriteria &criteria, bool &anyUsable)
{
    const std::set<std::string_view> zones = zonesWithReplicas(criteria);
    std::vector<Candidate> sameZone;
    std::vector<Candidate> otherZones;
    for (const auto &[seat, link] : peers_) {
        const std::string &zone = link->address().zone;
        if (zones.count(zone) == 0 || contains(criteria.excludedLinks, seat)) {
            continue;
        }
        const auto permit = link->permitFor(criteria.need, criteria.deadline);
        if (permit) {
            (zone == zone_ ? sameZone : otherZones).push_back({link.get(), *permit});
        }
        anyUsable = anyUsable || link->state() != TargetState::Lost;
    }
    return sameZone.empty() ? otherZones : sameZone;
}

const TargetController::Candidate &TargetController::selectLessLoaded(std::vector<Candidate> &candidates)
{
    const auto warmEnd
        = std::stable_partition(candidates.begin(), candidates.end(), [](const Candidate &candidate) { return !candidate.permit.cold; });
    const auto warm = static_cast<std::size_t>(warmEnd - candidates.begin());
    const bool mixed = warm > 0 && warm < candidates.size();
    if (mixed && random_() % choicesPerColdReplica == 0) {
        candidates.erase(candidates.begin(), warmEnd);
    } else if (mixed) {
        candidates.erase(warmEnd, candidates.end());
    }
    if (candidates.size() == 1) {
        return candidates.front();
    }
    const std::size_t first = random_() % candidates.size();
    const std::size_t step = 1 + random_() % (candidates.size() - 1);
    const std::size_t second = (first + step) % candidates.size();
    // With similar loads the first, random choice is kept; otherwise a slightly faster replica would get all requests.
    return loadScore(*candidates[first].link) <= similarLoadRatio * loadScore(*candidates[second].link) ? candidates[first]
                                                                                                        : candidates[second];
}

std::int64_t TargetController::bestSnapshot(const SystemSpec &system, std::int64_t excluded) const
{
    std::map<std::int64_t, std::size_t> shardsHolding;
    for (const ShardSpec &shard : system.shards) {
        std::set<std::int64_t> held;
        for (const std::string &name : shard.targets) {
            const auto found = targets_.find(name);
            if (found == targets_.end() || found->second->state() == TargetState::Leaving || found->second->state() == TargetState::Lost) {
                continue;
            }
            held.insert(found->second->snapshots().begin(), found->second->snapshots().end());
        }
        for (const std::int64_t snapshot : held) {
            if (snapshot != excluded) {
                ++shardsHolding[snapshot];
            }
        }
    }
    std::int64_t best = 0;
    std::size_t bestCount = 0;
    for (const auto &[snapshot, count] : shardsHolding) {
        if (count >= bestCount) {
            best = snapshot;
            bestCount = count;
        }
    }
    return best;
}

void TargetController::tick()
{
    for (const auto &[name, link] : targets_) {
        link->tick();
    }
    for (const auto &[name, link] : peers_) {
        link->tick();
    }
    std::erase_if(retired_, [](const std::unique_ptr<TargetLink> &link) { return link->inFlight() == 0; });
}

const std::map<std::string, std::unique_ptr<TargetLink>, std::less<>> &TargetController::targets() const
{
    return targets_;
}

const std::map<std::string, std::unique_ptr<TargetLink>, std::less<>> &TargetController::peers() const
{
    return peers_;
}

TargetLink *TargetController::findPeer(std::string_view seat)
{
    const auto found = peers_.find(seat);
    return found == peers_.end() ? nullptr : found->second.get();
}

} // namespace magnoliaspan
