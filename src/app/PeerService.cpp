/*
 * Authenticates requests of other entry hosts, and relays subrequests and submits for them.
 */
#include "app/PeerService.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusForbidden = 403;
constexpr unsigned statusNotFound = 404;
// A relayed response must arrive before the requesting host reaches its deadline: the reserve is a tenth of the
// remaining time, at most 5 ms.
constexpr Duration maxRelayReserve = std::chrono::milliseconds(5);
constexpr int relayReserveDivisor = 10;

ServiceReply jsonReply(unsigned status, std::string body)
{
    return {status, "application/json", std::move(body), false};
}

} // namespace

PeerService::PeerService(RequestServices &services,
                         FilterChain &filters,
                         SubmitRouter &submitRouter,
                         ActiveRequests &activeRequests,
                         PeerAuthenticator &authenticator,
                         std::string zone,
                         ControlHandler controlHandler)
    : services_(services)
    , filters_(filters)
    , submitRouter_(submitRouter)
    , activeRequests_(activeRequests)
    , authenticator_(authenticator)
    , zone_(std::move(zone))
    , controlHandler_(std::move(controlHandler))
{
}

Service::CancelFunction PeerService::handle(ServiceRequest request, ReplyHandler handler)
{
    if (request.method == "GET" && request.target == "/v1/state") {
        handler(statusReply());
        return {};
    }
    if (!authenticator_.verify(request.authorization, request.target, request.body)) {
        services_.counters.add("magnoliaspan_peer_requests_refused_total");
        services_.journal.record(LogCategory::Peer, "", fmt::format("request refused path={} reason=\"not authorized\"", request.target));
        handler(jsonReply(statusForbidden, "{\"error\":\"not authorized\"}"));
        return {};
    }
    if (request.target == "/peer/rpc") {
        handler(jsonReply(200, controlHandler_(request.body)));
        return {};
    }
    if (request.target == "/peer/submit") {
        handleSubmit(request, std::move(handler));
        return {};
    }
    if (request.target == "/peer/shard-search") {
        if (auto work = decodeShardSearch(request.body)) {
            return relay(*work, work->requestId, work->deadline, std::move(handler));
        }
    } else if (request.target == "/peer/shard-submit") {
        if (auto work = decodeShardSubmit(request.body)) {
            return relay(*work, work->requestId, work->deadline, std::move(handler));
        }
    } else {
        handler(jsonReply(statusNotFound, "{\"error\":\"unknown path\"}"));
        return {};
    }
    services_.journal.record(LogCategory::Peer, "", fmt::format("request refused path={} reason=malformed", request.target));
    handler(jsonReply(statusBadRequest, "{\"error\":\"malformed\"}"));
    return {};
}

ServiceReply PeerService::statusReply() const
{
    TargetStatus notice;
    notice.bootId = services_.seat;
    return jsonReply(200, encode(notice));
}

ShardReply PeerService::refusalReply(std::string requestId, std::int64_t shard, ShardOutcome outcome, Verdict verdict) const
{
    ShardReply reply;
    reply.requestId = std::move(requestId);
    reply.shard = shard;
    reply.outcome = outcome;
    reply.verdict = verdict;
    reply.targetStatus.bootId = services_.seat;
    return reply;
}

Service::CancelFunction PeerService::relay(ShardWork work, std::string requestId, WallTime wallDeadline, ReplyHandler handler)
{
    const std::int64_t shard = shardOf(work);
    const TimePoint now = services_.clock.now();
    const Duration remaining
        = std::min<Duration>(services_.clock.toSteady(wallDeadline) - now, std::chrono::milliseconds(CallerLimits::maxTimeoutMs));
    const auto refusal = filters_.check({systemOf(work), contentOf(work), remaining, zone_});
    if (refusal || remaining.count() <= 0) {
        const ShardOutcome outcome = refusal ? ShardOutcome::Shed : ShardOutcome::DeadlinePassed;
        services_.journal.record(
            LogCategory::Admit, requestId, fmt::format("request of peer refused code={}", refusal ? refusal->code : "deadline_passed"));
        handler(jsonReply(200, encode(refusalReply(std::move(requestId), shard, outcome, Verdict::NotRun))));
        return {};
    }
    const TimePoint deadline = now + remaining - std::min(maxRelayReserve, remaining / relayReserveDivisor);
    std::vector<std::string> replicas;
    for (const ShardSpec &spec : services_.configuration.current()->findSystem(systemOf(work))->shards) {
        if (spec.shard == shard) {
            replicas = spec.targets;
        }
    }
    const std::uint64_t number = ++lastOperationNumber_;
    auto onFinished
        = [this, number, requestId, shard, token = activeRequests_.track(), handler = std::move(handler)](const SingleShardResult &result) {
              const auto operation = runningOperations_.extract(number);
              ShardReply reply = result.reply ? *result.reply : refusalReply(requestId, shard, ShardOutcome::Failed, result.verdict);
              reply.requestId = requestId;
              reply.verdict = result.verdict;
              handler(jsonReply(200, encode(reply)));
          };
    auto operation = std::make_shared<SingleShardOperation>(
        services_, std::move(work), requestId, std::move(replicas), deadline, false, std::move(onFinished));
    runningOperations_.emplace(number, operation);
    operation->start();
    return [this, number] {
        const auto found = runningOperations_.find(number);
        if (found != runningOperations_.end() && found->second->cancel()) {
            runningOperations_.erase(found);
        }
    };
}

void PeerService::handleSubmit(const ServiceRequest &request, ReplyHandler handler)
{
    auto parsed = parseSubmitCall(request.body, "", "");
    const auto *call = std::get_if<SubmitCall>(&parsed);
    const auto key = call == nullptr ? std::nullopt : IdempotencyKey::parse(call->key);
    if (!key || call->requestId.empty()) {
        handler(jsonReply(statusBadRequest, "{\"error\":\"malformed\"}"));
        return;
    }
    const std::string requestId = call->requestId;
    const auto onResult = [this, requestId, token = activeRequests_.track(), handler = std::move(handler)](const SubmitResult &result) {
        ShardReply reply = refusalReply(requestId, 0, ShardOutcome::Answered, result.verdict);
        reply.result = encode(result, requestId);
        handler(jsonReply(200, encode(reply)));
    };
    if (const auto refusal = filters_.check({call->system, call->payload, call->timeout, zone_})) {
        onResult({call->refusalVerdict(), refusal->status, refusal->code, refusal->detail, ""});
        return;
    }
    const SystemSpec &system = *services_.configuration.current()->findSystem(call->system);
    const TimePoint deadline = services_.clock.now() + std::min(call->timeout.value_or(system.hardDeadline), system.hardDeadline);
    submitRouter_.submitAtHome(*call, *key, deadline, onResult);
}

} // namespace magnoliaspan
