/*
 * Checks requests before they are forwarded, and holds those that arrive before the first routing table.
 */
#include "forward/ForwardService.h"

#include "core/Text.h"
#include "core/Visitor.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusInternalError = 500;
// A host that has just started reads the table within a few hundred milliseconds.
constexpr Duration noTableRetryAfter = std::chrono::milliseconds(200);
// Covers three round trips between regions and the response of the source; a quarter of the shortest latency goals
// is less than this.
constexpr Duration firstTableWait = std::chrono::milliseconds(100);
// Many times the requests that one host receives in that time.
constexpr std::size_t maxPendingRequests = 256;
// Requests in flight complete within a few latencies, which frees capacity.
constexpr Duration busyRetryAfter = std::chrono::milliseconds(200);
// Time for the way back, so that the response arrives before the caller stops waiting.
constexpr Duration responseReserve = std::chrono::milliseconds(5);

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

Fingerprint fingerprintOfRequest(const ForwardRequest &request)
{
    return fingerprintOf(request.host, fmt::format("{} {}\n{}", request.method, request.target, request.body));
}

} // namespace

ForwardService::ForwardService(const ForwardEnvironment &environment,
                               Registry &registry,
                               ReplicaController &replicas,
                               ActiveRequests &active,
                               std::uint64_t seed)
    : environment_(environment)
    , registry_(registry)
    , replicas_(replicas)
    , activeRequests_(active)
    , random_(seed)
{
}

ServiceReply
ForwardService::refuse(const ForwardRequest &request, unsigned status, std::string_view cause, std::optional<Duration> retryAfter)
{
    const std::int64_t version = registry_.table() ? registry_.table()->version() : 0;
    environment_.journal.record(LogCategory::Admit,
                                request.id,
                                fmt::format("request refused status={} cause=\"{}\" host={} path={} table={}",
                                            status,
                                            cause,
                                            toLogValue(request.host),
                                            toLogValue(pathOf(request.target)),
                                            version));
    environment_.counters.add(fmt::format("magnoliaspan_refusals_total{{cause=\"{}\"}}", cause));
    return refusalReply(status, cause, retryAfter);
}

ForwardService::ResolvedDestination ForwardService::resolveDestination(const Route &route)
{
    return std::visit(Visitor{
                          [](const ServiceDestination &to) {
                              return ResolvedDestination{{to.service}, nullptr};
                          },
                          [this, &route](const SplitDestination &to) {
                              const double offset = std::uniform_real_distribution<double>(0, 1)(random_);
                              return ResolvedDestination{{splits_.next(route.name, to.services, offset)}, nullptr};
                          },
                          [](const ShardedDestination &to) {
                              return ResolvedDestination{to.services, &to};
                          },
                      },
                      route.destination);
}

std::shared_ptr<CallContext> ForwardService::makeContext(ForwardRequest &&request, Fingerprint fingerprint, const Route &route)
{
    const TimePoint now = environment_.clock.now();
    const Duration callerTimeout = request.timeLeft.value_or(route.timeout);
    // The time left of a retry is less than that of a first attempt, from which its latency goal counts.
    CallerTimeouts &timeouts = callerTimeouts_[route.name];
    timeouts.add(callerTimeout);
    const Duration elapsed = std::max(Duration::zero(), timeouts.ofFirstAttempt() - callerTimeout);
    auto context = std::make_shared<CallContext>();
    context->fingerprint = fingerprint;
    context->request = std::move(request);
    context->table = registry_.table();
    context->route = &route;
    context->deadline = now + std::max(Duration(1), std::min(callerTimeout, route.timeout) - responseReserve);
    context->goal = now + route.latencyGoal - elapsed;
    context->single = !std::holds_alternative<ShardedDestination>(route.destination);
    return context;
}

Service::CancelFunction ForwardService::handle(ServiceRequest incoming, ReplyHandler handler)
{
    // An exception concerns this request only as long as it is the one being handled.
    try {
        return admit(std::move(incoming), handler);
    } catch (const std::exception &error) {
        environment_.journal.record(
            LogCategory::Admit, "", fmt::format("request failed with an exception reason={}", quoteForLog(error.what())));
        environment_.counters.add("magnoliaspan_request_exceptions_total");
        handler(refusalReply(statusInternalError, "internal error", std::nullopt));
        return {};
    }
}

Service::CancelFunction ForwardService::admit(ServiceRequest incoming, ReplyHandler handler)
{
    ForwardRequest request = environment_.codec.decodeRequest(std::move(incoming));
    if (registry_.table()) {
        return serve(std::move(request), std::move(handler));
    }
    if (pendingRequests_.size() >= maxPendingRequests) {
        handler(refuse(request, statusUnavailable, "no routing table yet", noTableRetryAfter));
        return {};
    }
    return enqueueUntilTable(std::move(request), std::move(handler));
}

Service::CancelFunction ForwardService::enqueueUntilTable(ForwardRequest request, ReplyHandler handler)
{
    const std::uint64_t number = ++lastPending_;
    PendingRequest &pending = pendingRequests_[number];
    pending.request = std::move(request);
    pending.handler = std::move(handler);
    pending.timer = environment_.scheduler.callAt(environment_.clock.now() + firstTableWait, [this, number] {
        auto late = pendingRequests_.extract(number);
        late.mapped().handler(refuse(late.mapped().request, statusUnavailable, "no routing table yet", noTableRetryAfter));
    });
    return [this, number] {
        const auto found = pendingRequests_.find(number);
        if (found != pendingRequests_.end()) {
            environment_.scheduler.cancel(found->second.timer);
            pendingRequests_.erase(found);
            return;
        }
        if (const auto served = resumedCancels_.extract(number); !served.empty() && served.mapped()) {
            served.mapped()();
        }
    };
}

void ForwardService::readApplied()
{
    if (!registry_.table()) {
        return;
    }
    const auto pending = std::move(pendingRequests_);
    pendingRequests_.clear();
    for (const auto &[number, entry] : pending) {
        environment_.scheduler.cancel(entry.timer);
        // The caller holds the cancel function of the pending request, which finds this one by the same number.
        const auto ended = std::make_shared<bool>(false);
        auto cancel = serve(entry.request, [this, number = number, ended, handler = entry.handler](ServiceReply reply) {
            *ended = true;
            resumedCancels_.erase(number);
            handler(std::move(reply));
        });
        if (!*ended) {
            resumedCancels_[number] = std::move(cancel);
        }
    }
}

unsigned ForwardService::recentRequests() const
{
    return admitted_.count(environment_.clock.now());
}

Service::CancelFunction ForwardService::serve(ForwardRequest request, ReplyHandler handler)
{
    const RoutingTablePtr table = registry_.table();
    const Route *route = table->find(request.host, pathOf(request.target));
    if (route == nullptr) {
        handler(refuse(request, statusNotFound, "no route", std::nullopt));
        return {};
    }
    if (request.id.empty()) {
        handler(refuse(request, statusBadRequest, "no request id", std::nullopt));
        return {};
    }
    const Fingerprint fingerprint = fingerprintOfRequest(request);
    if (const auto until = environment_.crashGuard.refusedUntil(fingerprint)) {
        handler(refuse(request, statusUnavailable, "request crashed targets before", *until - environment_.clock.now()));
        return {};
    }
    if (activeRequests_.count() >= replicas_.limits().maxInFlight) {
        handler(refuse(request, statusUnavailable, "too many requests in flight", busyRetryAfter));
        return {};
    }
    return run(makeContext(std::move(request), fingerprint, *route),
               [handler = std::move(handler)](OperationResult result) { handler(std::move(result.reply)); });
}

Service::CancelFunction ForwardService::handleHandoff(ForwardRequest request, Duration goalLeft, HandoffHandler handler)
{
    const Route *route = registry_.table() ? registry_.table()->find(request.host, pathOf(request.target)) : nullptr;
    const Fingerprint fingerprint = fingerprintOfRequest(request);
    std::string_view cause;
    if (route == nullptr) {
        // The routing table of the host that the caller asked may be newer; this one cannot deny the request.
        cause = "no route at the other host";
    } else if (environment_.crashGuard.refusedUntil(fingerprint)) {
        cause = "request crashed targets before";
    } else if (activeRequests_.count() >= replicas_.limits().maxInFlight) {
        cause = "too many requests in flight";
    }
    if (!cause.empty()) {
        handler(refuse(request, statusUnavailable, cause, busyRetryAfter), true);
        return {};
    }
    auto context = makeContext(std::move(request), fingerprint, *route);
    context->goal = environment_.clock.now() + goalLeft;
    context->passedOn = true;
    return run(std::move(context),
               [handler = std::move(handler)](OperationResult result) { handler(std::move(result.reply), result.servicesReachable); });
}

void ForwardService::onTableAccepted(const RoutingTable &table)
{
    splits_.retainRoutes(table);
    std::erase_if(callerTimeouts_, [&table](const auto &entry) { return !table.hasRoute(entry.first); });
}

void ForwardService::onContactLost()
{
    const auto running = operations_;
    for (const auto &[number, operation] : running) {
        operation->onContactLost();
    }
}

Service::CancelFunction ForwardService::run(std::shared_ptr<CallContext> context, ForwardOperation::Handler handler)
{
    admitted_.add(environment_.clock.now());
    ResolvedDestination resolved = resolveDestination(*context->route);
    const std::uint64_t number = ++lastOperation_;
    auto finished = [this, number, token = activeRequests_.track(), handler = std::move(handler)](OperationResult result) {
        const auto operation = operations_.extract(number);
        handler(std::move(result));
    };
    auto operation = std::make_shared<ForwardOperation>(
        environment_, replicas_, std::move(context), std::move(resolved.services), resolved.shards, std::move(finished));
    operations_.emplace(number, operation);
    try {
        operation->start();
    } catch (...) {
        operations_.erase(number);
        operation->cancel();
        throw;
    }
    return [this, number] {
        const auto found = operations_.extract(number);
        if (!found.empty()) {
            found.mapped()->cancel();
        }
    };
}

} // namespace magnoliaspan
