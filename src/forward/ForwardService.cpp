/*
 * Part forward: admission.
 */
#include "forward/ForwardService.h"

#include "core/Visitor.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;
// A host that has just started reads the table within some hundred milliseconds.
constexpr Duration noTableRetry = std::chrono::milliseconds(200);
// Three round trips between regions and the source's answer; a quarter of the shortest latency goals is less.
constexpr Duration firstTableWait = std::chrono::milliseconds(100);
// Requests of one host in that time, many times over.
constexpr std::size_t maxWaiting = 256;
// Work in flight ends within some latencies.
constexpr Duration busyRetry = std::chrono::milliseconds(200);
// The way back to the caller, so that the answer arrives before it stops waiting.
constexpr Duration answerReserve = std::chrono::milliseconds(5);

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
    , active_(active)
    , random_(seed)
{
}

ServiceReply
ForwardService::refuse(const ForwardRequest &request, unsigned status, std::string_view cause, std::optional<Duration> retryAfter)
{
    const std::int64_t version = registry_.table() ? registry_.table()->version() : 0;
    environment_.journal.note(Part::Admit,
                              request.id,
                              fmt::format("request refused status={} cause=\"{}\" host={} path={} table={}",
                                          status,
                                          cause,
                                          request.host,
                                          pathOf(request.target),
                                          version));
    environment_.counters.add(fmt::format("magnoliaspan_refusals_total{{cause=\"{}\"}}", cause));
    return refusalReply(status, cause, retryAfter);
}

ForwardService::Plan ForwardService::plan(const Route &route)
{
    return std::visit(Visitor{
                          [](const ToService &to) {
                              return Plan{{to.service}, nullptr};
                          },
                          [this, &route](const ToSplit &to) {
                              const double offset = std::uniform_real_distribution<double>(0, 1)(random_);
                              return Plan{{splits_.next(route.name, to.parts, offset)}, nullptr};
                          },
                          [](const ToShards &to) {
                              return Plan{to.services, &to};
                          },
                      },
                      route.destination);
}

std::shared_ptr<CallContext> ForwardService::contextOf(ForwardRequest &&request, Fingerprint fingerprint, const Route &route)
{
    const TimePoint now = environment_.clock.now();
    const Duration patience = request.timeLeft.value_or(route.timeout);
    // A caller that asks again has less time left than one that asks first; its goal counts from the first time.
    Duration &longest = longestPatience_[route.name];
    longest = std::max(longest, patience);
    auto context = std::make_shared<CallContext>();
    context->fingerprint = fingerprint;
    context->request = std::move(request);
    context->table = registry_.table();
    context->route = &route;
    context->deadline = now + std::max(Duration(1), std::min(patience, route.timeout) - answerReserve);
    context->goal = now + route.latencyGoal - (longest - patience);
    context->single = !std::holds_alternative<ToShards>(route.destination);
    return context;
}

Service::Abandon ForwardService::handle(ServiceRequest incoming, ReplyHandler handler)
{
    ForwardRequest request = environment_.codec.decodeRequest(std::move(incoming));
    if (registry_.table()) {
        return serve(std::move(request), std::move(handler));
    }
    if (waiting_.size() >= maxWaiting) {
        handler(refuse(request, statusUnavailable, "no routing table yet", noTableRetry));
        return {};
    }
    return hold(std::move(request), std::move(handler));
}

Service::Abandon ForwardService::hold(ForwardRequest request, ReplyHandler handler)
{
    const std::uint64_t number = ++lastWaiting_;
    Waiting &waiting = waiting_[number];
    waiting.request = std::move(request);
    waiting.handler = std::move(handler);
    waiting.timer = environment_.scheduler.callAt(environment_.clock.now() + firstTableWait, [this, number] {
        auto late = waiting_.extract(number);
        late.mapped().handler(refuse(late.mapped().request, statusUnavailable, "no routing table yet", noTableRetry));
    });
    return [this, number] {
        const auto found = waiting_.find(number);
        if (found != waiting_.end()) {
            environment_.scheduler.cancel(found->second.timer);
            waiting_.erase(found);
            return;
        }
        if (const auto served = held_.extract(number); !served.empty() && served.mapped()) {
            served.mapped()();
        }
    };
}

void ForwardService::readingApplied()
{
    if (!registry_.table()) {
        return;
    }
    const auto waiting = std::move(waiting_);
    waiting_.clear();
    for (const auto &[number, entry] : waiting) {
        environment_.scheduler.cancel(entry.timer);
        // Its caller may leave later: the way to give it up is looked up by its number then.
        const auto ended = std::make_shared<bool>(false);
        auto abandon = serve(entry.request, [this, number = number, ended, handler = entry.handler](ServiceReply reply) {
            *ended = true;
            held_.erase(number);
            handler(std::move(reply));
        });
        if (!*ended) {
            held_[number] = std::move(abandon);
        }
    }
}

Service::Abandon ForwardService::serve(ForwardRequest request, ReplyHandler handler)
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
    if (const auto until = environment_.crashes.refusedUntil(fingerprint)) {
        handler(refuse(request, statusUnavailable, "request crashed targets before", *until - environment_.clock.now()));
        return {};
    }
    if (active_.count() >= replicas_.limits().maxInFlight) {
        handler(refuse(request, statusUnavailable, "too many requests in flight", busyRetry));
        return {};
    }
    Plan planned = plan(*route);
    const std::uint64_t number = ++lastOperation_;
    auto finished = [this, number, token = active_.track(), handler = std::move(handler)](ServiceReply reply) {
        const auto operation = operations_.extract(number);
        handler(std::move(reply));
    };
    auto operation = std::make_shared<ForwardOperation>(environment_,
                                                        replicas_,
                                                        contextOf(std::move(request), fingerprint, *route),
                                                        std::move(planned.services),
                                                        planned.shards,
                                                        std::move(finished));
    operations_.emplace(number, operation);
    operation->start();
    return [this, number] {
        const auto found = operations_.extract(number);
        if (!found.empty()) {
            found.mapped()->abandon();
        }
    };
}

} // namespace magnoliaspan
