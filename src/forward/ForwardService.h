/*
 * Part forward: admission of callers' requests and their plan.
 */
#pragma once

#include "app/ActiveRequests.h"
#include "forward/ForwardOperation.h"
#include "request/Service.h"
#include "routing/WeightedChoice.h"

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
    Abandon handle(ServiceRequest request, ReplyHandler handler) override;

    /// \brief Serves what waited for the first table, once it is known; to be called after each reading.
    void readApplied();

private:
    struct PendingRequest {
        ForwardRequest request;
        ReplyHandler handler;
        TimerId timer = TimerId::None;
    };

    Abandon enqueueUntilTable(ForwardRequest request, ReplyHandler handler);
    Abandon serve(ForwardRequest request, ReplyHandler handler);

    struct ResolvedDestination {
        std::vector<std::string> services;
        const ToShards *shards = nullptr; // In the routing table.
    };

    ServiceReply refuse(const ForwardRequest &request, unsigned status, std::string_view cause, std::optional<Duration> retryAfter);
    ResolvedDestination resolveDestination(const Route &route);
    std::shared_ptr<CallContext> makeContext(ForwardRequest &&request, Fingerprint fingerprint, const Route &route);

    const ForwardEnvironment &environment_;
    Registry &registry_;
    ReplicaController &replicas_;
    ActiveRequests &activeRequests_;
    WeightedChoice splits_;
    std::mt19937_64 random_;
    std::map<std::string, Duration, std::less<>> longestTimeout_; // Of callers' first tries, by route.
    std::map<std::uint64_t, std::shared_ptr<ForwardOperation>> operations_;
    std::uint64_t lastOperation_ = 0;
    std::map<std::uint64_t, PendingRequest> pendingRequests_; // Until the first table is known, by arrival.
    std::map<std::uint64_t, Abandon> resumedCancels_;         // Of those that waited and are served now.
    std::uint64_t lastPending_ = 0;
};

} // namespace magnoliaspan
