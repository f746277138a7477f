/*
 * Handles requests and long polls of other hosts.
 */
#include "relay/RelayService.h"

#include "core/Hmac.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

constexpr unsigned statusForbidden = 403;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnavailable = 503;
// More than the hosts of one zone in the largest intended deployment.
constexpr std::size_t maxLongPolls = 2'000;
constexpr Duration maxPollTime = std::chrono::seconds(30);

} // namespace

RelayService::RelayService(const Clock &clock,
                           Scheduler &scheduler,
                           Counters &counters,
                           Mirror &mirror,
                           std::string key,
                           std::function<SourceAccess()> sourceAccess)
    : clock_(clock)
    , scheduler_(scheduler)
    , counters_(counters)
    , mirror_(mirror)
    , codec_(std::move(key))
    , sourceAccess_(std::move(sourceAccess))
{
    mirror_.onApplied([this] { onMirrorChanged(); });
}

RelayService::~RelayService()
{
    mirror_.onApplied(nullptr);
    for (const auto &[number, poll] : longPolls_) {
        scheduler_.cancel(poll.timer);
    }
}

Service::CancelFunction RelayService::handle(ServiceRequest request, ReplyHandler handler)
{
    const auto relayRequest = RelayCodec::decodeRequest(request.target);
    if (!sameDigest(request.authorization, codec_.sign(request.target))) {
        counters_.add("magnoliaspan_relay_refused_total");
        handler({statusForbidden, "text/plain", "keyed hash does not match the path and query\n", true});
        return {};
    }
    if (!relayRequest) {
        handler({statusBadRequest, "text/plain", "malformed path or query\n", false});
        return {};
    }
    if (mirror_.empty() || longPolls_.size() >= maxLongPolls) {
        handler({statusUnavailable, "text/plain", "nothing was read yet, or too many wait\n", false});
        return {};
    }
    counters_.add("magnoliaspan_relay_requests_total");
    if (!relayRequest->after) {
        handler(makeReply(wholeState()));
        return {};
    }
    DiscoveryReadResult changes = changesSince(*relayRequest->after);
    // Waiting would keep a host of a newer era from reading elsewhere.
    const bool isBehind = mirror_.position().era < relayRequest->after->era;
    if (changes.historyLost || changes.complete || !changes.items.empty() || isBehind || relayRequest->wait == Duration::zero()) {
        handler(makeReply(std::move(changes)));
        return {};
    }
    const std::uint64_t number = ++lastPollNumber_;
    const TimePoint until = clock_.now() + std::min(relayRequest->wait, maxPollTime);
    longPolls_[number] = {*relayRequest->after, std::move(handler), scheduler_.callAt(until, [this, number] { onPollTimeout(number); })};
    return [this, number] {
        const auto poll = longPolls_.extract(number);
        if (!poll.empty()) {
            scheduler_.cancel(poll.mapped().timer);
        }
    };
}

DiscoveryReadResult RelayService::wholeState() const
{
    DiscoveryReadResult result;
    result.complete = true;
    result.items = mirror_.allItems();
    return result;
}

// To a host of an older era the whole state is new; one of a newer era learns only that this host is behind.
DiscoveryReadResult RelayService::changesSince(const StatePosition &after) const
{
    const std::int64_t era = mirror_.position().era;
    if (after.era != era) {
        return after.era < era ? wholeState() : DiscoveryReadResult();
    }
    DiscoveryReadResult result;
    auto items = mirror_.changesSince(after.revision);
    result.historyLost = !items;
    result.items = items ? std::move(*items) : std::vector<PublishedItem>();
    return result;
}

ServiceReply RelayService::makeReply(DiscoveryReadResult result) const
{
    result.position = mirror_.position();
    result.age = mirror_.age();
    const SourceAccess access = sourceAccess_();
    result.sourceRecentlyUnavailable = access.recentlyUnavailable;
    result.sourceUnreachable = access.unreachable;
    return {200, "text/plain", codec_.encode(result), false};
}

void RelayService::onPollTimeout(std::uint64_t number)
{
    const auto poll = longPolls_.extract(number);
    poll.mapped().handler(makeReply(changesSince(poll.mapped().after)));
}

void RelayService::onMirrorChanged()
{
    std::vector<std::uint64_t> ready;
    for (const auto &[number, poll] : longPolls_) {
        if (mirror_.position() > poll.after || mirror_.position().era < poll.after.era) {
            ready.push_back(number);
        }
    }
    // Most followers wait for changes after the same position; their common response is encoded once.
    std::map<StatePosition, ServiceReply> replies;
    for (const std::uint64_t number : ready) {
        const auto poll = longPolls_.extract(number);
        if (poll.empty()) {
            continue;
        }
        const StatePosition after = poll.mapped().after;
        auto encoded = replies.find(after);
        if (encoded == replies.end()) {
            encoded = replies.emplace(after, makeReply(changesSince(after))).first;
        }
        scheduler_.cancel(poll.mapped().timer);
        poll.mapped().handler(encoded->second);
    }
}

} // namespace magnoliaspan
