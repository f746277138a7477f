/*
 * Decodes calls and encodes the replies.
 */
#include "handoff/HandoffService.h"

namespace magnoliaspan {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusForbidden = 403;
constexpr unsigned statusUnavailable = 503;

} // namespace

HandoffService::HandoffService(Counters &counters, const TargetContact &contact, ForwardService &forward, std::string key)
    : counters_(counters)
    , contact_(contact)
    , forward_(forward)
    , codec_(std::move(key))
{
}

Service::CancelFunction HandoffService::handle(ServiceRequest request, ReplyHandler handler)
{
    auto call = codec_.decodeCall(request.body);
    if (!call) {
        counters_.add("magnoliaspan_handoff_refused_total");
        handler({statusForbidden, "text/plain", "call is malformed or its keyed hash does not match\n", true});
        return {};
    }
    counters_.add("magnoliaspan_handoffs_received_total");
    const auto answer = [this, handler = std::move(handler)](const HandoffAnswer &result) {
        handler({statusOk, "application/octet-stream", codec_.encode(result), true});
    };
    if (contact_.isLost()) {
        answer({refusalReply(statusUnavailable, "no target can be reached", std::nullopt), false, true});
        return {};
    }
    return forward_.handleHandoff(std::move(call->request), call->goalLeft, [answer](ServiceReply reply, bool servicesReachable) {
        answer({std::move(reply), true, servicesReachable});
    });
}

} // namespace magnoliaspan
