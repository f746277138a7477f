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

    Abandon handle(ServiceRequest request, ReplyHandler handler) override;

private:
    struct Plan {
        std::vector<std::string> services;
        const ToShards *shards = nullptr; // In the routing table.
    };

    ServiceReply refuse(const ForwardRequest &request, unsigned status, std::string_view cause, std::optional<Duration> retryAfter);
    Plan plan(const Route &route);
    std::shared_ptr<CallContext> contextOf(ForwardRequest &&request, const Route &route);

    const ForwardEnvironment &environment_;
    Registry &registry_;
    ReplicaController &replicas_;
    ActiveRequests &active_;
    WeightedChoice splits_;
    std::mt19937_64 random_;
    std::map<std::string, Duration, std::less<>> longestPatience_; // Of callers' first tries, by route.
    std::map<std::uint64_t, std::shared_ptr<ForwardOperation>> operations_;
    std::uint64_t lastOperation_ = 0;
};

} // namespace magnoliaspan
