/*
 * Selection of the home seat, forwarding to it and execution at the home.
 */
#include "app/SubmitRouter.h"

#include <cassert>
#include <fmt/format.h>
#include <xxhash.h>

namespace magnoliaspan {

namespace {

constexpr std::string_view peerSubmitPath = "/peer/submit";
constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;
constexpr Duration forwardReserve = std::chrono::milliseconds(20);

std::uint64_t rendezvousWeight(std::string_view name, std::string_view key)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), XXH3_64bits(name.data(), name.size()));
}

const ShardSpec &shardFor(const SystemSpec &system, std::string_view routing)
{
    const ShardSpec *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const ShardSpec &shard : system.shards) {
        const std::uint64_t candidate = rendezvousWeight(std::to_string(shard.shard), routing);
        if (best == nullptr || candidate > bestWeight) {
            best = &shard;
            bestWeight = candidate;
        }
    }
    assert(best != nullptr && "a validated document has at least one shard per system");
    return *best;
}

SubmitResult refusalResult(Verdict verdict, std::string code, std::string detail)
{
    return {verdict, statusUnavailable, std::move(code), std::move(detail), ""};
}

} // namespace

SubmitRouter::SubmitRouter(RequestServices &services, const HomeLease &lease)
    : services_(services)
    , lease_(lease)
    , keyStore_(services.clock, [this] { return lease_.keyWindow(services_.clock.wallNow()); })
{
}

void SubmitRouter::apply(const EnvironmentDocument &document)
{
    keyStore_.configure(document.clockOffsetBound, document.keyLifetime);
}

const SeatSpec &SubmitRouter::homeOf(const EnvironmentDocument &document, std::string_view key)
{
    const SeatSpec *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const SeatSpec &seat : document.seats) {
        const std::uint64_t candidate = rendezvousWeight(seat.name, key);
        if (best == nullptr || candidate > bestWeight) {
            best = &seat;
            bestWeight = candidate;
        }
    }
    assert(best != nullptr && "a validated document has at least one seat");
    return *best;
}

const IdempotencyKeyStore &SubmitRouter::keyStore() const
{
    return keyStore_;
}

void SubmitRouter::submit(const SubmitCall &call, const IdempotencyKey &key, TimePoint deadline, Handler handler)
{
    const EnvironmentPtr document = services_.configuration.current();
    const SeatSpec &home = homeOf(*document, key.text);
    services_.journal.record(LogCategory::Submit, call.requestId, fmt::format("home chosen seat={} key={}", home.name, key.text));
    if (home.name == services_.seat) {
        submitAtHome(call, key, deadline, std::move(handler));
        return;
    }
    forwardToHome(call, home, deadline, std::move(handler));
}

void SubmitRouter::forwardToHome(const SubmitCall &call, const SeatSpec &home, TimePoint deadline, Handler handler)
{
    TargetLink *link = services_.targets.findPeer(home.name);
    const TimePoint now = services_.clock.now();
    const auto permit = link == nullptr ? std::nullopt : link->permitFor(ConnectionNeed::NewOrJustVerified, deadline);
    if (!permit || !services_.pauseDetector.isStateFresh(now)) {
        handler(refusalResult(
            call.refusalVerdict(), "home_unreachable", fmt::format("seat '{}', the home of the key, cannot be reached", home.name)));
        return;
    }
    SubmitCall forwarded = call;
    const Duration remaining = deadline - now;
    forwarded.timeout = remaining > 2 * forwardReserve ? remaining - forwardReserve : remaining / 2;
    LinkRequest request;
    request.requestId = fmt::format("{}.{}", services_.seat, services_.nextOperationId());
    forwarded.requestId = request.requestId;
    request.wire.path = peerSubmitPath;
    request.wire.body = encode(forwarded);
    request.wire.authorization = services_.authorize(request.wire.path, request.wire.body);
    request.deadline = deadline;
    request.silentAfter = deadline;
    request.handler = [handler = std::move(handler), seat = home.name, refusalVerdict = call.refusalVerdict()](const LinkReply &reply) {
        const auto result = reply.reply ? decodeSubmitResult(reply.reply->result) : std::nullopt;
        if (result) {
            handler(*result);
            return;
        }
        const std::string cause = reply.error ? reply.error.message() : "malformed response";
        handler(refusalResult(
            combine(refusalVerdict, reply.verdict()), "home_unreachable", fmt::format("seat '{}', the home of the key: {}", seat, cause)));
    };
    link->send(*permit, std::move(request));
}

void SubmitRouter::submitAtHome(const SubmitCall &call, const IdempotencyKey &key, TimePoint deadline, Handler handler)
{
    const EnvironmentPtr document = services_.configuration.current();
    const SeatSpec &home = homeOf(*document, key.text);
    if (home.name != services_.seat) {
        handler(refusalResult(call.refusalVerdict(), "not_home", fmt::format("seat '{}' is not the home of the key", services_.seat)));
        return;
    }
    const std::uint64_t contentHash = rendezvousWeight(call.system + '\n' + call.routing, call.payload);
    const IdempotencyKeyStore::Admission admission = keyStore_.admit(key, contentHash, call.refusalVerdict(), std::move(handler));
    const std::string_view decision = admission == IdempotencyKeyStore::Admission::Run       ? "run"
                                      : admission == IdempotencyKeyStore::Admission::Waiting ? "wait"
                                                                                             : "ended";
    services_.journal.record(LogCategory::Submit, call.requestId, fmt::format("key looked up key={} decision={}", key.text, decision));
    if (admission == IdempotencyKeyStore::Admission::Run) {
        runAtHome(call, key, deadline);
    }
}

void SubmitRouter::runAtHome(const SubmitCall &call, const IdempotencyKey &key, TimePoint deadline)
{
    const EnvironmentPtr document = services_.configuration.current();
    const SystemSpec &system = *document->findSystem(call.system);
    const ShardSpec &shard = shardFor(system, call.routing.empty() ? key.text : call.routing);
    ShardSubmit work;
    work.system = call.system;
    work.key = key.text;
    work.payload = call.payload;
    work.shard = shard.shard;
    auto operation
        = std::make_shared<SingleShardOperation>(services_,
                                                 work,
                                                 call.requestId,
                                                 shard.targets,
                                                 deadline,
                                                 true,
                                                 [this, key = key.text, requestId = call.requestId](const SingleShardResult &result) {
                                                     onOperationFinished(key, requestId, result);
                                                 });
    runningOperations_[key.text] = operation;
    operation->start();
}

void SubmitRouter::onOperationFinished(const std::string &key, const std::string &requestId, const SingleShardResult &result)
{
    // Called by the operation itself, which must therefore outlive this call.
    const auto operation = std::move(runningOperations_[key]);
    runningOperations_.erase(key);
    SubmitResult submitResult;
    submitResult.verdict = result.verdict;
    if (result.verdict == Verdict::Ran && result.reply) {
        submitResult.status = statusOk;
        submitResult.result = result.reply->result;
    } else {
        submitResult.code = result.verdict == Verdict::NotRun ? "not_accepted" : "outcome_unknown";
        submitResult.detail = fmt::format("submit failed at the target of the shard: {}",
                                          result.failure.empty() ? "the target responded without running the submit" : result.failure);
    }
    services_.counters.add(fmt::format("magnoliaspan_submits_total{{verdict=\"{}\"}}", toString(submitResult.verdict)));
    services_.journal.record(
        LogCategory::Submit, requestId, fmt::format("submit ended key={} verdict={}", key, toString(submitResult.verdict)));
    keyStore_.complete(key, submitResult);
}

} // namespace magnoliaspan
