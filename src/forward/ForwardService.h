/*
 * Part forward: admission of callers' requests and their plan.
 */
#pragma once

#include "app/ActiveRequests.h"
#include "forward/ForwardOperation.h"
#include "request/Service.h"
#include "routing/WeightedRoundRobin.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace magnoliaspan {

/// \brief Answers callers by forwarding along the routing table in force.
class ForwardService : public Service
{
public:
    ForwardService(const ForwardEnvironment &environment,
                   Registry &registry,
                   ReplicaController &replicas,
                   ActiveRequests &active,
                   std::uint64_t seed);

    /// \brief A request that arrives before the first table is known waits for it, for a bounded time.
    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override;

    /// \brief Serves what waited for the first table, once it is known; to be called after each reading.
    void readingApplied();

private:
    struct Waiting {
        ForwardRequest request;
        ReplyHandler handler;
        TimerId timer = TimerId::None;
    };

    CancelFunction hold(ForwardRequest request, ReplyHandler handler);
    CancelFunction serve(ForwardRequest request, ReplyHandler handler);

    struct Plan {
        std::vector<std::string> services;
        const ShardedDestination *shards = nullptr; // In the routing table.
    };

    ServiceReply refuse(const ForwardRequest &request, unsigned status, std::string_view cause, std::optional<Duration> retryAfter);
    Plan plan(const Route &route);
    std::shared_ptr<CallContext> contextOf(ForwardRequest &&request, Fingerprint fingerprint, const Route &route);

    const ForwardEnvironment &environment_;
    Registry &registry_;
    ReplicaController &replicas_;
    ActiveRequests &active_;
    WeightedRoundRobin splits_;
    std::mt19937_64 random_;
    std::map<std::string, Duration, std::less<>> longestPatience_; // Of callers' first tries, by route.
    std::map<std::uint64_t, std::shared_ptr<ForwardOperation>> operations_;
    std::uint64_t lastOperation_ = 0;
    std::map<std::uint64_t, Waiting> waiting_;     // Until the first table is known, by arrival.
    std::map<std::uint64_t, CancelFunction> held_; // Of those that waited and are served now.
    std::uint64_t lastWaiting_ = 0;
};

} // namespace magnoliaspan
