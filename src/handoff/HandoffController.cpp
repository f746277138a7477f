/*
 * Tries hosts one after the other.
 */
#include "handoff/HandoffController.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace magnoliaspan {

namespace {

constexpr unsigned statusOk = 200;
// If half of the hosts are cut off and nothing is known of them, fifteen of sixteen requests find one that is not.
constexpr std::size_t maxHosts = 4;
// Three round trips between the farthest regions. Until then no byte of the request has left this host.
constexpr Duration connectTimeout = std::chrono::milliseconds(150);
// Bounds the use of what a host knows of another one, which may be cut off or reach targets again meanwhile. A datagram from
// that host says so earlier.
constexpr Duration evidenceTime = std::chrono::seconds(5);
// Limits how late a service is noticed that another host reaches again.
constexpr Duration unservedTime = std::chrono::seconds(1);
// Time for the reply to come back from the other host.
constexpr Duration replySlack = std::chrono::milliseconds(100);

} // namespace

HandoffController::HandoffController(const HandoffEnvironment &environment,
                                     std::string key,
                                     std::map<std::string, std::string, std::less<>> regionOfZone,
                                     std::uint64_t seed)
    : environment_(environment)
    , codec_(std::move(key))
    , regionOfZone_(std::move(regionOfZone))
    , random_(seed)
{
}

HandoffController::~HandoffController()
{
    for (const auto &[number, handoff] : handoffs_) {
        environment_.scheduler.cancel(handoff.connectTimer);
        if (handoff.call) {
            handoff.call->cancel();
        }
    }
}

std::string_view HandoffController::regionOf(std::string_view zone) const
{
    const auto found = regionOfZone_.find(zone);
    return found == regionOfZone_.end() ? std::string_view() : std::string_view(found->second);
}

bool HandoffController::isAvoided(const std::string &host) const
{
    const auto found = avoidedUntil_.find(host);
    return found != avoidedUntil_.end() && environment_.clock.now() < found->second;
}

bool HandoffController::servedLately(const std::string &host) const
{
    const auto found = servedAt_.find(host);
    return found != servedAt_.end() && environment_.clock.now() - found->second < evidenceTime;
}

std::set<std::string, std::less<>> HandoffController::zonesWithAvoidedHosts() const
{
    std::set<std::string, std::less<>> zones;
    for (const Member &host : environment_.gossip.aliveMembers(std::nullopt)) {
        if (isAvoided(host.name)) {
            zones.insert(host.zone);
        }
    }
    return zones;
}

std::vector<Member> HandoffController::candidates(std::span<const std::string> allowedRegions) const
{
    std::vector<Member> hosts = environment_.gossip.aliveMembers(std::nullopt);
    std::erase_if(hosts, [&](const Member &host) {
        const bool allowed = allowedRegions.empty()
                             || std::find(allowedRegions.begin(), allowedRegions.end(), regionOf(host.zone)) != allowedRegions.end();
        return !allowed || isAvoided(host.name);
    });
    return hosts;
}

// Traffic between zones costs time and money, and between regions more of both.
int HandoffController::distance(const Member &host) const
{
    const Member &self = environment_.gossip.self();
    if (host.zone == self.zone) {
        return 0;
    }
    return regionOf(host.zone) == regionOf(self.zone) ? 1 : 2;
}

bool HandoffController::isPossible(std::span<const std::string> services, std::span<const std::string> allowedRegions) const
{
    const bool unserved = std::any_of(services.begin(), services.end(), [this](const std::string &service) {
        const auto found = unservedUntil_.find(service);
        return found != unservedUntil_.end() && environment_.clock.now() < found->second;
    });
    return !unserved && !candidates(allowedRegions).empty();
}

void HandoffController::recordPeer(const std::string &host, bool reachesTargets)
{
    if (reachesTargets) {
        avoidedUntil_.erase(host);
    } else {
        recordUnusable(host);
    }
}

// Hosts and services come and go for as long as this process runs.
void HandoffController::dropExpiredEvidence()
{
    const TimePoint now = environment_.clock.now();
    const auto isExpired = [now](const auto &entry) { return entry.second <= now; };
    std::erase_if(avoidedUntil_, isExpired);
    std::erase_if(unservedUntil_, isExpired);
    std::erase_if(servedAt_, [now](const auto &entry) { return now - entry.second >= evidenceTime; });
}

void HandoffController::recordUnusable(const std::string &host)
{
    avoidedUntil_[host] = environment_.clock.now() + evidenceTime;
    servedAt_.erase(host);
}

RequestHandoff::CancelFunction HandoffController::start(HandoffRequest request, Handler handler)
{
    dropExpiredEvidence();
    const std::uint64_t number = ++lastNumber_;
    Handoff &handoff = handoffs_[number];
    handoff.request = std::move(request);
    handoff.handler = std::move(handler);
    if (!sendToNext(number)) {
        environment_.scheduler.callAt(environment_.clock.now(), [this, number] { finish(number, {}); });
    }
    return [this, number] {
        const auto cancelled = handoffs_.extract(number);
        if (cancelled.empty()) {
            return;
        }
        environment_.scheduler.cancel(cancelled.mapped().connectTimer);
        if (cancelled.mapped().call) {
            cancelled.mapped().call->cancel();
        }
    };
}

bool HandoffController::sendToNext(std::uint64_t number)
{
    Handoff &handoff = handoffs_.at(number);
    const TimePoint now = environment_.clock.now();
    std::vector<Member> hosts = candidates(handoff.request.allowedRegions);
    std::erase_if(hosts, [&handoff](const Member &host) { return handoff.tried.contains(host.name); });
    if (hosts.empty() || handoff.tried.size() >= maxHosts || now >= handoff.request.deadline) {
        return false;
    }
    std::shuffle(hosts.begin(), hosts.end(), random_);
    const auto doubtfulZones = zonesWithAvoidedHosts();
    const auto rank
        = [&](const Member &host) { return std::make_tuple(!servedLately(host.name), doubtfulZones.contains(host.zone), distance(host)); };
    handoff.host = *std::min_element(hosts.begin(), hosts.end(), [&rank](const Member &a, const Member &b) { return rank(a) < rank(b); });
    handoff.tried.insert(handoff.host.name);
    HandoffCall call{handoff.request.request, handoff.request.goal - now};
    call.request.timeLeft = handoff.request.deadline - now;
    WireRequest wire;
    wire.path = HandoffCodec::path;
    wire.body = codec_.encode(call);
    environment_.counters.add("magnoliaspan_handoffs_total");
    environment_.journal.record(
        LogCategory::Route,
        handoff.request.request.id,
        fmt::format("request passed to another host host={} zone={} send={}", handoff.host.name, handoff.host.zone, handoff.tried.size()));
    handoff.call = std::make_shared<SingleCall>(environment_.scheduler);
    handoff.call->start(environment_.transport,
                        handoff.host.address,
                        std::move(wire),
                        handoff.request.deadline + replySlack,
                        [this, number](const WireReply &reply) { onReply(number, reply); });
    handoff.connectTimer = environment_.scheduler.callAt(now + connectTimeout, [this, number] { onConnectTimeout(number); });
    return true;
}

void HandoffController::onConnectTimeout(std::uint64_t number)
{
    Handoff &handoff = handoffs_.at(number);
    handoff.connectTimer = TimerId::None;
    if (handoff.call->isSent()) {
        return;
    }
    handoff.call->cancel();
    onFailed(number, false, "no connection in time");
}

void HandoffController::onReply(std::uint64_t number, const WireReply &reply)
{
    Handoff &handoff = handoffs_.at(number);
    environment_.scheduler.cancel(handoff.connectTimer);
    if (reply.error) {
        onFailed(number, reply.bytesSent, reply.error.message());
        return;
    }
    auto answer = reply.status == statusOk ? codec_.decodeAnswer(reply.body) : std::nullopt;
    if (!answer) {
        onFailed(number, true, fmt::format("malformed answer, status {}", reply.status));
        return;
    }
    if (!answer->servicesReachable) {
        // It has not run there. That host may be about to notice that it is cut off itself.
        if (sendToNext(number)) {
            return;
        }
        for (const std::string &service : handoff.request.services) {
            unservedUntil_[service] = environment_.clock.now() + unservedTime;
        }
    }
    if (!answer->targetsReachable) {
        onFailed(number, false, "it reaches no target either");
        return;
    }
    servedAt_[handoff.host.name] = environment_.clock.now();
    finish(number, {std::move(answer->reply), handoff.mayHaveRun});
}

void HandoffController::onFailed(std::uint64_t number, bool wasSent, std::string_view reason)
{
    Handoff &handoff = handoffs_.at(number);
    handoff.mayHaveRun = handoff.mayHaveRun || wasSent;
    recordUnusable(handoff.host.name);
    environment_.counters.add("magnoliaspan_handoff_failures_total");
    environment_.journal.record(
        LogCategory::Peer,
        handoff.request.request.id,
        fmt::format("request not served by another host host={} sent={} reason=\"{}\"", handoff.host.name, wasSent, reason));
    const bool mayRepeat = handoff.request.idempotent || !handoff.mayHaveRun;
    if (!mayRepeat || !sendToNext(number)) {
        finish(number, {std::nullopt, handoff.mayHaveRun});
    }
}

void HandoffController::finish(std::uint64_t number, HandoffResult result)
{
    auto ended = handoffs_.extract(number);
    if (!ended.empty()) {
        ended.mapped().handler(std::move(result));
    }
}

} // namespace magnoliaspan
