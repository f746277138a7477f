/*
 * Filters the replicas of a service, selects the best, and keeps the budgets of extra sends.
 */
#include "forward/ReplicaController.h"

#include <algorithm>
#include <iterator>

namespace magnoliaspan {

namespace {

// Replicas of a service are spread over regions, so that most connections to a target come from the few hosts of its own
// region: each of these may open a fifth of the target's limit and each other host a tenth. A host opens them one by one
// while the target accepts them.
constexpr unsigned localConnectionDivisor = 5;
constexpr unsigned remoteConnectionDivisor = 10;
constexpr unsigned minLocalConnections = 2;
constexpr unsigned minRemoteConnections = 2;
// Draining targets continue to serve for three seconds or more; they are a last resort during the first of these.
constexpr Duration maxDrainingUse = std::chrono::seconds(1);
constexpr Duration initialLocalLatency = std::chrono::milliseconds(15);
// Includes two one-way trips between regions of current deployments.
constexpr Duration initialRemoteLatency = std::chrono::milliseconds(45);
// A host opens its first connections all at once, to one target of each shard, which takes longer than a single one.
constexpr Duration initialLocalConnectTime = std::chrono::milliseconds(40);
constexpr Duration initialRemoteConnectTime = std::chrono::milliseconds(80);
// A replica that was slow is tried again within seconds, but by no more than about one request in ten.
constexpr Duration minHalfLife = std::chrono::seconds(2);
constexpr Duration maxHalfLife = std::chrono::seconds(15);
constexpr int halfLifeRequests = 8;
constexpr int intervalWeight = 8;

// An entry that lapsed is published again within seconds; one that was restored from an older copy may be much later.
constexpr Duration statementRetention = std::chrono::minutes(10);

bool isReady(const std::shared_ptr<Replica> &replica)
{
    return replica->entry().stage == TargetStage::Ready && !replica->saidLeavingAt();
}

} // namespace

std::string_view HostLocation::regionOf(std::string_view zone) const
{
    const auto found = regionOfZone.find(zone);
    return found == regionOfZone.end() ? std::string_view() : std::string_view(found->second);
}

ReplicaController::ReplicaController(const ForwardEnvironment &environment,
                                     Registry &registry,
                                     HostLocation location,
                                     const ForwardLimits &limits)
    : environment_(environment)
    , registry_(registry)
    , location_(std::move(location))
    , limits_(limits)
    , random_(environment.seed)
{
}

void ReplicaController::setLimits(const ForwardLimits &limits)
{
    limits_ = limits;
    onTableAccepted();
}

void ReplicaController::setHostCount(unsigned hosts)
{
    limits_.hosts = hosts;
    onTableAccepted();
}

void ReplicaController::setTrafficWeight(double weight)
{
    trafficWeight_ = weight;
}

ExtraSendLimits ReplicaController::extraSendLimits() const
{
    return {limits_.extraSendRatio, limits_.extraSendSlack, static_cast<double>(limits_.hosts), trafficWeight_};
}

const ForwardLimits &ReplicaController::limits() const
{
    return limits_;
}

double ReplicaController::trafficShare() const
{
    return std::min(1.0, trafficWeight_ / std::max(1U, limits_.hosts));
}

ReplicaLimits ReplicaController::limitsFor(const TargetEntry &entry) const
{
    ReplicaLimits result;
    result.trafficShare = trafficShare();
    result.otherRegion = location_.regionOf(entry.zone) != location_.regionOf(location_.zone);
    const ServiceSpec *service = registry_.table() ? registry_.table()->findService(entry.service) : nullptr;
    if (service == nullptr) {
        return result;
    }
    result.connections = result.otherRegion ? std::max(minRemoteConnections, service->maxConnections / remoteConnectionDivisor)
                                            : std::max(minLocalConnections, service->maxConnections / localConnectionDivisor);
    result.cold.warmUp = service->warmUp;
    result.cold.requestsPerSecond = (service->coldRequestsPerSecond * limits_.coldFactor + limits_.coldSlack) / std::max(1U, limits_.hosts);
    return result;
}

void ReplicaController::onTableAccepted()
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

void ReplicaController::onTargetChanged(const TargetEntry &entry)
{
    const auto found = replicas_.find(entry.id);
    const bool sameInstance = found != replicas_.end() && found->second->entry().startedAt == entry.startedAt
                              && found->second->entry().address == entry.address && found->second->entry().service == entry.service
                              && !found->second->isRetired();
    if (sameInstance) {
        found->second->updateEntry(entry);
    } else {
        retire(entry.id);
        replicas_[entry.id] = std::make_shared<Replica>(environment_, entry, limitsFor(entry), statementOf(entry));
        index(entry);
    }
    if (entry.stage == TargetStage::Draining) {
        drainingSince_.try_emplace(entry.id, environment_.clock.now());
    } else {
        drainingSince_.erase(entry.id);
    }
}

std::shared_ptr<TargetStatement> ReplicaController::statementOf(const TargetEntry &entry)
{
    KeptStatement &kept = statements_[{entry.id, entry.startedAt}];
    if (!kept.statement) {
        kept.statement = std::make_shared<TargetStatement>();
    }
    kept.lastUsed = environment_.clock.now();
    return kept.statement;
}

// The published entry and the target's own word count alike; whichever came first.
std::optional<TimePoint> ReplicaController::leavingSince(const Replica &replica) const
{
    const auto published = drainingSince_.find(replica.entry().id);
    const auto said = replica.saidLeavingAt();
    if (published == drainingSince_.end()) {
        return said;
    }
    return said ? std::min(*said, published->second) : published->second;
}

// Whether it may get new requests, if only as the last one of its service.
bool ReplicaController::isOpen(const Replica &replica) const
{
    const auto since = leavingSince(replica);
    return !since || environment_.clock.now() - *since < maxDrainingUse;
}

void ReplicaController::onTargetRemoved(const std::string &id)
{
    retire(id);
    drainingSince_.erase(id);
}

void ReplicaController::retire(const std::string &id)
{
    unindex(id);
    const auto found = replicas_.extract(id);
    if (!found.empty()) {
        found.mapped()->retire();
        retired_.push_back(std::move(found.mapped()));
    }
}

void ReplicaController::onZoneChanged(const std::string &zone, bool evacuated)
{
    if (evacuated) {
        return;
    }
    // Targets may be cold after an evacuation before their entries say so.
    for (const auto &[id, replica] : replicas_) {
        if (replica->entry().zone == zone) {
            replica->suspectCold();
        }
    }
}

bool ReplicaController::isUsable(const Replica &replica, const ReplicaQuery &query) const
{
    const TargetEntry &entry = replica.entry();
    if (replica.isRetired() || replica.isUnreachable() || registry_.isEvacuated(entry.zone)) {
        return false;
    }
    if (std::find(query.excluded.begin(), query.excluded.end(), entry.id) != query.excluded.end()) {
        return false;
    }
    return query.allowedRegions.empty()
           || std::find(query.allowedRegions.begin(), query.allowedRegions.end(), location_.regionOf(entry.zone))
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
        if (!isUsable(*replica, query)) {
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
        const Duration score = replicaScore(replica->stats(kind, baselineFor(query.service, kind, replica->limits().otherRegion)));
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
    for (const auto &replica : all) {
        if (leavingSince(*replica)) {
            if (isOpen(*replica) && replica->takesRequest()) {
                draining.push_back(replica);
            }
            continue;
        }
        (replica->isCold() ? cold : warm).push_back(replica);
    }
    ReplicaList allowed = warm;
    std::erase_if(allowed, [](const auto &replica) { return !replica->takesRequest(); });
    if (auto replica = best(allowed, query)) {
        return replica;
    }
    if (auto replica = best(draining, query)) {
        return replica;
    }
    if (!warm.empty()) {
        return nullptr;
    }
    for (const auto &replica : cold) {
        if (replica->takesRequest() && replica->tryAcquireColdSend()) {
            return replica;
        }
    }
    return nullptr;
}

std::optional<Duration> ReplicaController::expectedDuration(const ReplicaQuery &query) const
{
    ReplicaList warm = candidates(query);
    std::erase_if(warm, [](const auto &replica) { return !isReady(replica) || replica->isCold() || !replica->takesRequest(); });
    const auto replica = best(warm, query);
    if (!replica) {
        return std::nullopt;
    }
    const std::string kind(query.workKind);
    const bool otherRegion = replica->limits().otherRegion;
    return replica->expectedLatency(kind, baselineFor(query.service, kind, otherRegion))
           + (replica->hasIdleConnection() ? Duration::zero() : connectTime(otherRegion));
}

bool ReplicaController::isAvailable(const ReplicaQuery &query) const
{
    const ReplicaList all = candidates(query);
    return std::any_of(all.begin(), all.end(), [this](const auto &replica) { return isOpen(*replica) && !replica->isPaused(); });
}

std::optional<Duration> ReplicaController::lateness(const ReplicaQuery &query, TimePoint deadline) const
{
    std::optional<TimePoint> earliest;
    bool open = false;
    const std::string kind(query.workKind);
    for (const auto &replica : candidates(query)) {
        if (replica->isPaused()) {
            continue;
        }
        const TimePoint end = replica->predictedCompletion(kind, baselineFor(query.service, kind, replica->limits().otherRegion));
        earliest = std::min(end, earliest.value_or(end));
        open = open || isOpen(*replica);
    }
    return open ? std::optional(std::max(Duration::zero(), *earliest - deadline)) : std::nullopt;
}

std::optional<TimePoint> ReplicaController::pausedUntil(const ReplicaQuery &query) const
{
    std::optional<TimePoint> earliest;
    for (const auto &replica : candidates(query)) {
        if (!isOpen(*replica)) {
            continue;
        }
        if (!replica->isPaused()) {
            return std::nullopt;
        }
        earliest = std::min(replica->pausedUntil(), earliest.value_or(replica->pausedUntil()));
    }
    return earliest;
}

std::optional<TimePoint> ReplicaController::nextRetry(const ReplicaQuery &query) const
{
    std::optional<TimePoint> earliest;
    const auto ids = byService_.find(query.service);
    if (ids == byService_.end()) {
        return earliest;
    }
    for (const std::string &id : ids->second) {
        const Replica &replica = *replicas_.find(id)->second;
        if (!replica.isUnreachable() && !replica.isPaused()) {
            continue;
        }
        const TimePoint next = std::max(replica.unreachableUntil(), replica.pausedUntil());
        earliest = std::min(next, earliest.value_or(next));
    }
    return earliest;
}

Duration ReplicaController::baselineLatency(std::string_view workKind, bool otherRegion) const
{
    const Duration guess = otherRegion ? initialRemoteLatency : initialLocalLatency;
    const auto &kinds = baselines_.at(otherRegion ? 1 : 0);
    const auto found = kinds.find(workKind);
    return found == kinds.end() ? guess : found->second.expected({guess, minHalfLife}, environment_.clock.now());
}

void ReplicaController::recordLatency(std::string_view workKind, bool otherRegion, Duration latency)
{
    baselines_.at(otherRegion ? 1 : 0)[std::string(workKind)].add(latency, environment_.clock.now());
}

Duration ReplicaController::connectTime(bool otherRegion) const
{
    const Duration guess = otherRegion ? initialRemoteConnectTime : initialLocalConnectTime;
    return connectTimes_.at(otherRegion ? 1 : 0).expected({guess, maxHalfLife}, environment_.clock.now());
}

void ReplicaController::recordConnectTime(bool otherRegion, Duration time)
{
    connectTimes_.at(otherRegion ? 1 : 0).add(time, environment_.clock.now());
}

ReplicaController::ServiceTraffic &ReplicaController::trafficOf(std::string_view service)
{
    const auto found = traffic_.find(service);
    if (found != traffic_.end()) {
        return found->second;
    }
    const TimePoint now = environment_.clock.now();
    return traffic_.emplace(std::string(service), ServiceTraffic{{}, now, {}}).first->second;
}

void ReplicaController::recordRequest(std::string_view service)
{
    const TimePoint now = environment_.clock.now();
    ServiceTraffic &traffic = trafficOf(service);
    traffic.extraSends.recordRequest(now);
    traffic.meanInterval += (now - traffic.lastRequestAt - traffic.meanInterval) / intervalWeight;
    traffic.lastRequestAt = now;
}

bool ReplicaController::tryAcquireExtraSend(std::string_view service)
{
    return trafficOf(service).extraSends.tryAcquire(extraSendLimits(), environment_.clock.now());
}

LatencyBaseline ReplicaController::baselineFor(std::string_view service, std::string_view workKind, bool otherRegion) const
{
    const auto found = traffic_.find(service);
    const Duration interval = found == traffic_.end() ? Duration::zero() : found->second.meanInterval;
    return {baselineLatency(workKind, otherRegion), std::clamp(halfLifeRequests * interval, minHalfLife, maxHalfLife)};
}

void ReplicaController::probeTargets()
{
    // Some of the targets may be down. Those that responded last are the least likely to be.
    constexpr std::ptrdiff_t probedTargets = 3;
    ReplicaList ready;
    for (const auto &[id, replica] : replicas_) {
        if (isReady(replica) && !replica->isRetired()) {
            ready.push_back(replica);
        }
    }
    const auto recent = ready.begin() + std::min<std::ptrdiff_t>(probedTargets, std::ssize(ready));
    std::partial_sort(
        ready.begin(), recent, ready.end(), [](const auto &a, const auto &b) { return a->sinceLastResponse() < b->sinceLastResponse(); });
    ReplicaList selected(ready.begin(), recent);
    std::sample(recent, ready.end(), std::back_inserter(selected), probedTargets, random_);
    for (const auto &replica : selected) {
        replica->probe();
    }
}

void ReplicaController::onContactRegained()
{
    for (const auto &[id, replica] : replicas_) {
        replica->onContactRegained();
    }
}

void ReplicaController::tick()
{
    std::erase_if(retired_, [](const std::shared_ptr<Replica> &replica) { return replica->attemptCount() == 0; });
    const TimePoint now = environment_.clock.now();
    for (auto &[instance, kept] : statements_) {
        kept.lastUsed = kept.statement.use_count() > 1 ? now : kept.lastUsed;
    }
    std::erase_if(statements_, [now](const auto &entry) {
        const KeptStatement &kept = entry.second;
        const bool isEmpty = !kept.statement->leavingSince && kept.statement->pausedUntil <= now;
        return kept.statement.use_count() == 1 && (isEmpty || now - kept.lastUsed > statementRetention);
    });
    for (const auto &[id, replica] : replicas_) {
        replica->setTrafficShare(trafficShare());
        replica->runMaintenance();
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
        count += replica->connectionCount();
    }
    return count;
}

} // namespace magnoliaspan
