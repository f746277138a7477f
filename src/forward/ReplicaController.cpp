/*
 * Part forward: the choice of a replica.
 */
#include "forward/ReplicaController.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

// Replicas of one service stand in several regions, so that most connections are made by the few hosts of their own:
// a fifth for each of these and a tenth for each of the others. A host takes them up one by one while the target lets it.
constexpr unsigned localConnectionParts = 5;
constexpr unsigned remoteConnectionParts = 10;
constexpr unsigned leastLocalConnections = 2;
constexpr unsigned leastRemoteConnections = 2;
// Draining targets serve on for three seconds or more; they are a last resort for the first of these.
constexpr Duration drainingUse = std::chrono::seconds(1);
constexpr Duration firstUsual = std::chrono::milliseconds(15);
// Two ways between regions of today's deployments.
constexpr Duration firstUsualElsewhere = std::chrono::milliseconds(45);
// Parts of the published bound on extra sends that are used; the rest covers requests counted in other windows. Of the
// slack one part may be used at once and another over the length of the window.
constexpr double ratioUsed = 0.9;
constexpr double slackHeld = 0.5;
constexpr double slackRefilled = 0.3;
// Over which the published bound counts.
constexpr Duration budgetWindow = std::chrono::seconds(10);
// A replica that was slow is tried again within seconds, but by no more than one request in some ten.
constexpr Duration leastMemory = std::chrono::seconds(2);
constexpr Duration longestMemory = std::chrono::seconds(15);
constexpr int memoryRequests = 8;
constexpr int intervalWeight = 8;
// Below one token nothing could ever be sent again.
constexpr double leastBurst = 1;

bool isReady(const std::shared_ptr<Replica> &replica)
{
    return replica->entry().stage == TargetStage::Ready;
}

} // namespace

std::string_view HostPlace::regionOf(std::string_view zone) const
{
    const auto found = regionOfZone.find(zone);
    return found == regionOfZone.end() ? std::string_view() : std::string_view(found->second);
}

ReplicaController::ReplicaController(const ForwardEnvironment &environment,
                                     Registry &registry,
                                     HostPlace place,
                                     const ForwardLimits &limits)
    : environment_(environment)
    , registry_(registry)
    , place_(std::move(place))
    , limits_(limits)
{
}

void ReplicaController::setLimits(const ForwardLimits &limits)
{
    limits_ = limits;
    shareChanged();
}

void ReplicaController::setHosts(unsigned hosts)
{
    limits_.hosts = hosts;
    shareChanged();
}

// What a budget held is kept: a change of the hosts gives no leave for more sends at once.
void ReplicaController::shareChanged()
{
    for (auto &[service, use] : uses_) {
        use.extraSends.setBounds(ratioUsed * limits_.extraSendRatio, extraSendBurst());
    }
    tableAccepted();
}

double ReplicaController::extraSendBurst() const
{
    return std::max(leastBurst, slackHeld * limits_.extraSendSlack / std::max(1U, limits_.hosts));
}

const ForwardLimits &ReplicaController::limits() const
{
    return limits_;
}

ReplicaLimits ReplicaController::limitsFor(const TargetEntry &entry) const
{
    ReplicaLimits result;
    result.otherRegion = place_.regionOf(entry.zone) != place_.regionOf(place_.zone);
    const ServiceSpec *service = registry_.table() ? registry_.table()->findService(entry.service) : nullptr;
    if (service == nullptr) {
        return result;
    }
    result.connections = result.otherRegion ? std::max(leastRemoteConnections, service->maxConnections / remoteConnectionParts)
                                            : std::max(leastLocalConnections, service->maxConnections / localConnectionParts);
    result.cold.warmUp = service->warmUp;
    result.cold.perSecond = (service->coldRequestsPerSecond * limits_.coldFactor + limits_.coldSlack) / std::max(1U, limits_.hosts);
    return result;
}

void ReplicaController::tableAccepted()
{
    for (const auto &[id, replica] : replicas_) {
        replica->setLimits(limitsFor(replica->entry()));
    }
}

void ReplicaController::index(const TargetEntry &entry)
{
    byService_[entry.service].insert(entry.id);
}

void ReplicaController::unindex(const std::string &id)
{
    for (auto &[service, ids] : byService_) {
        ids.erase(id);
    }
}

void ReplicaController::targetChanged(const TargetEntry &entry)
{
    const auto found = replicas_.find(entry.id);
    const bool sameStart = found != replicas_.end() && found->second->entry().startedAt == entry.startedAt
                           && found->second->entry().address == entry.address && found->second->entry().service == entry.service
                           && !found->second->ended();
    if (sameStart) {
        found->second->update(entry);
    } else {
        retire(entry.id);
        replicas_[entry.id] = std::make_shared<Replica>(environment_, entry, limitsFor(entry));
        index(entry);
    }
    if (entry.stage == TargetStage::Draining) {
        drainingSince_.try_emplace(entry.id, environment_.clock.now());
    } else {
        drainingSince_.erase(entry.id);
    }
}

void ReplicaController::targetRemoved(const std::string &id)
{
    retire(id);
    drainingSince_.erase(id);
}

void ReplicaController::retire(const std::string &id)
{
    unindex(id);
    const auto found = replicas_.extract(id);
    if (!found.empty()) {
        found.mapped()->end();
        retired_.push_back(std::move(found.mapped()));
    }
}

void ReplicaController::zoneChanged(const std::string &zone, bool evacuated)
{
    if (evacuated) {
        return;
    }
    // Targets may come back cold from an evacuation before their entries say so.
    for (const auto &[id, replica] : replicas_) {
        if (replica->entry().zone == zone) {
            replica->suspectCold();
        }
    }
}

bool ReplicaController::usable(const Replica &replica, const ReplicaQuery &query) const
{
    const TargetEntry &entry = replica.entry();
    if (replica.ended() || replica.unreachable() || registry_.isEvacuated(entry.zone)) {
        return false;
    }
    if (std::find(query.tried.begin(), query.tried.end(), entry.id) != query.tried.end()) {
        return false;
    }
    return query.allowedRegions.empty()
           || std::find(query.allowedRegions.begin(), query.allowedRegions.end(), place_.regionOf(entry.zone))
                  != query.allowedRegions.end();
}

ReplicaController::ReplicaList ReplicaController::candidates(const ReplicaQuery &query) const
{
    ReplicaList result;
    const auto ids = byService_.find(query.service);
    if (ids == byService_.end()) {
        return result;
    }
    for (const std::string &id : ids->second) {
        const auto &replica = replicas_.find(id)->second;
        if (!usable(*replica, query)) {
            continue;
        }
        result.push_back(replica);
    }
    return result;
}

std::shared_ptr<Replica> ReplicaController::best(std::span<const std::shared_ptr<Replica>> candidates, const ReplicaQuery &query) const
{
    std::shared_ptr<Replica> chosen;
    Duration least{};
    const std::string kind(query.workKind);
    for (const auto &replica : candidates) {
        const Duration score = replicaScore(replica->view(kind, usualAt(query.service, kind, replica->limits().otherRegion)));
        if (chosen != nullptr && score >= least) {
            continue;
        }
        chosen = replica;
        least = score;
    }
    return chosen;
}

std::shared_ptr<Replica> ReplicaController::pick(const ReplicaQuery &query)
{
    const ReplicaList all = candidates(query);
    ReplicaList warm;
    ReplicaList draining;
    ReplicaList cold;
    const TimePoint now = environment_.clock.now();
    for (const auto &replica : all) {
        if (replica->entry().stage == TargetStage::Draining) {
            const auto since = drainingSince_.find(replica->entry().id);
            if (since != drainingSince_.end() && now - since->second < drainingUse) {
                draining.push_back(replica);
            }
            continue;
        }
        (replica->cold() ? cold : warm).push_back(replica);
    }
    if (auto replica = best(warm, query)) {
        return replica;
    }
    if (auto replica = best(draining, query)) {
        return replica;
    }
    for (const auto &replica : cold) {
        if (replica->takeColdSend()) {
            return replica;
        }
    }
    return nullptr;
}

bool ReplicaController::available(const ReplicaQuery &query) const
{
    const ReplicaList all = candidates(query);
    return std::any_of(all.begin(), all.end(), isReady);
}

std::optional<Duration> ReplicaController::lateness(const ReplicaQuery &query, TimePoint deadline) const
{
    std::optional<TimePoint> earliest;
    bool ready = false;
    const std::string kind(query.workKind);
    for (const auto &replica : candidates(query)) {
        const TimePoint end = replica->predictedEnd(kind, usualAt(query.service, kind, replica->limits().otherRegion));
        earliest = std::min(end, earliest.value_or(end));
        ready = ready || isReady(replica);
    }
    return ready ? std::optional(std::max(Duration::zero(), *earliest - deadline)) : std::nullopt;
}

std::optional<TimePoint> ReplicaController::nextTrial(const ReplicaQuery &query) const
{
    std::optional<TimePoint> earliest;
    const auto ids = byService_.find(query.service);
    if (ids == byService_.end()) {
        return earliest;
    }
    for (const std::string &id : ids->second) {
        const Replica &replica = *replicas_.find(id)->second;
        if (!replica.unreachable() || (earliest && *earliest <= replica.reachableAgainAt())) {
            continue;
        }
        earliest = replica.reachableAgainAt();
    }
    return earliest;
}

Duration ReplicaController::usual(std::string_view workKind, bool otherRegion) const
{
    const Duration guess = otherRegion ? firstUsualElsewhere : firstUsual;
    const auto &kinds = usual_.at(otherRegion ? 1 : 0);
    const auto found = kinds.find(workKind);
    return found == kinds.end() ? guess : found->second.expected({guess, leastMemory}, environment_.clock.now());
}

void ReplicaController::observe(std::string_view workKind, bool otherRegion, Duration latency)
{
    usual_.at(otherRegion ? 1 : 0)[std::string(workKind)].add(latency, environment_.clock.now());
}

ReplicaController::ServiceUse &ReplicaController::useOf(std::string_view service)
{
    const auto found = uses_.find(service);
    if (found != uses_.end()) {
        return found->second;
    }
    const TimePoint now = environment_.clock.now();
    return uses_.emplace(std::string(service), ServiceUse{Budget(ratioUsed * limits_.extraSendRatio, extraSendBurst()), now, now, {}})
        .first->second;
}

void ReplicaController::requestBegins(std::string_view service)
{
    const TimePoint now = environment_.clock.now();
    ServiceUse &use = useOf(service);
    use.extraSends.earn();
    use.interval += (now - use.lastRequestAt - use.interval) / intervalWeight;
    use.lastRequestAt = now;
}

bool ReplicaController::takeExtraSend(std::string_view service)
{
    const TimePoint now = environment_.clock.now();
    ServiceUse &use = useOf(service);
    const double elapsed = std::chrono::duration<double>(now - use.refilledAt) / std::chrono::duration<double>(budgetWindow);
    use.extraSends.add(elapsed * slackRefilled * limits_.extraSendSlack / std::max(1U, limits_.hosts));
    use.refilledAt = now;
    return use.extraSends.spend();
}

UsualLatency ReplicaController::usualAt(std::string_view service, std::string_view workKind, bool otherRegion) const
{
    const auto found = uses_.find(service);
    const Duration interval = found == uses_.end() ? Duration::zero() : found->second.interval;
    return {usual(workKind, otherRegion), std::clamp(memoryRequests * interval, leastMemory, longestMemory)};
}

void ReplicaController::tick()
{
    std::erase_if(retired_, [](const std::shared_ptr<Replica> &replica) { return replica->sends() == 0; });
    for (const auto &[id, replica] : replicas_) {
        replica->closeIdle();
    }
}

std::size_t ReplicaController::size() const
{
    return replicas_.size();
}

std::size_t ReplicaController::connections() const
{
    std::size_t count = 0;
    for (const auto &[id, replica] : replicas_) {
        count += replica->connections();
    }
    return count;
}

} // namespace magnoliaspan
