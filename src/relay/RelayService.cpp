/*
 * Part relay: requests of other hosts.
 */
#include "relay/RelayService.h"

#include "core/Hmac.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

constexpr unsigned statusForbidden = 403;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnavailable = 503;
// More than the hosts of a zone at the target size.
constexpr std::size_t maxWaiting = 2'000;
constexpr Duration longestWait = std::chrono::seconds(30);

} // namespace

RelayService::RelayService(const Clock &clock,
                           Scheduler &scheduler,
                           Counters &counters,
                           Mirror &mirror,
                           std::string key,
                           std::function<bool()> unsettled)
    : clock_(clock)
    , scheduler_(scheduler)
    , counters_(counters)
    , mirror_(mirror)
    , codec_(std::move(key))
    , unsettled_(std::move(unsettled))
{
    mirror_.onApplied([this] { applied(); });
}

RelayService::~RelayService()
{
    mirror_.onApplied(nullptr);
    for (const auto &[number, waiting] : waiting_) {
        scheduler_.cancel(waiting.timer);
    }
}

Service::CancelFunction RelayService::handle(ServiceRequest request, ReplyHandler handler)
{
    const auto asked = RelayCodec::decodeRequest(request.target);
    if (!sameDigest(request.authorization, codec_.sign(request.target))) {
        counters_.add("magnoliaspan_relay_refused_total");
        handler({statusForbidden, "text/plain", "no authorization\n", true});
        return {};
    }
    if (!asked) {
        handler({statusBadRequest, "text/plain", "unknown path\n", false});
        return {};
    }
    if (mirror_.empty() || waiting_.size() >= maxWaiting) {
        handler({statusUnavailable, "text/plain", "nothing was read yet, or too many wait\n", false});
        return {};
    }
    counters_.add("magnoliaspan_relay_requests_total");
    if (!asked->after) {
        DiscoveryReading whole;
        whole.items = mirror_.all();
        handler(reply(std::move(whole)));
        return {};
    }
    DiscoveryReading news = since(*asked->after);
    if (news.historyLost || !news.items.empty() || asked->wait == Duration::zero()) {
        handler(reply(std::move(news)));
        return {};
    }
    const std::uint64_t number = ++last_;
    const TimePoint until = clock_.now() + std::min(asked->wait, longestWait);
    waiting_[number] = {*asked->after, std::move(handler), scheduler_.callAt(until, [this, number] { timedOut(number); })};
    return [this, number] {
        const auto left = waiting_.extract(number);
        if (!left.empty()) {
            scheduler_.cancel(left.mapped().timer);
        }
    };
}

DiscoveryReading RelayService::since(std::int64_t revision) const
{
    DiscoveryReading reading;
    auto items = mirror_.since(revision);
    reading.historyLost = !items;
    reading.items = items ? std::move(*items) : std::vector<PublishedItem>();
    return reading;
}

ServiceReply RelayService::reply(DiscoveryReading reading) const
{
    reading.revision = mirror_.revision();
    reading.age = mirror_.age();
    reading.unsettled = unsettled_();
    return {200, "text/plain", codec_.encode(reading), false};
}

void RelayService::timedOut(std::uint64_t number)
{
    const auto waiting = waiting_.extract(number);
    waiting.mapped().handler(reply(since(waiting.mapped().after)));
}

void RelayService::applied()
{
    std::vector<std::uint64_t> due;
    for (const auto &[number, waiting] : waiting_) {
        if (mirror_.revision() > waiting.after) {
            due.push_back(number);
        }
    }
    // Most followers wait after the same revision: what changed is written once for them.
    std::map<std::int64_t, ServiceReply> replies;
    for (const std::uint64_t number : due) {
        const auto waiting = waiting_.extract(number);
        if (waiting.empty()) {
            continue;
        }
        const std::int64_t after = waiting.mapped().after;
        auto written = replies.find(after);
        if (written == replies.end()) {
            written = replies.emplace(after, reply(since(after))).first;
        }
        scheduler_.cancel(waiting.mapped().timer);
        waiting.mapped().handler(written->second);
    }
}

} // namespace magnoliaspan
