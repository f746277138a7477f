/*
 * Admits callers' requests, resolves their destination from the routing table, and starts an operation for each.
 */
#pragma once

#include "app/ActiveRequests.h"
#include "core/SlidingCount.h"
#include "forward/CallerTimeouts.h"
#include "forward/ForwardOperation.h"
#include "request/Service.h"
#include "routing/WeightedRoundRobin.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace magnoliaspan {

/// \brief Answers callers by forwarding their requests according to the routing table in force.
class ForwardService : public Service
{
public:
    ForwardService(const ForwardEnvironment &environment,
                   Registry &registry,
                   ReplicaController &replicas,
                   ActiveRequests &active,
                   std::uint64_t seed);

    /// \brief Forwards a request. One that arrives before the first routing table waits for it, for a limited time.
    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override;

    using HandoffHandler = std::function<void(ServiceReply reply, bool servicesReachable)>;

    /// \brief Forwards a request that another host passed on; it is not passed on again.
    /// \param goalLeft time until its latency goal; negative if that has expired.
    /// \param handler called once with the reply, and whether this host had a usable target of enough services.
    CancelFunction handleHandoff(ForwardRequest request, Duration goalLeft, HandoffHandler handler);

    /// \brief Passes on the requests that this host cannot complete, since it reaches no target any more.
    void onContactLost();

    /// \brief Drops what is known of routes that \p table does not have.
    void onTableAccepted(const RoutingTable &table);

    /// \returns the requests admitted within the last SlidingCount::window.
    unsigned recentRequests() const;

    /// \brief Resumes requests that wait for the first routing table, if it is known; to be called after each read.
    void readApplied();

private:
    struct PendingRequest {
        ForwardRequest request;
        ReplyHandler handler;
        TimerId timer = TimerId::None;
    };

    CancelFunction admit(ServiceRequest incoming, ReplyHandler handler);
    CancelFunction enqueueUntilTable(ForwardRequest request, ReplyHandler handler);
    CancelFunction serve(ForwardRequest request, ReplyHandler handler);
    CancelFunction run(std::shared_ptr<CallContext> context, ForwardOperation::Handler handler);

    struct ResolvedDestination {
        std::vector<std::string> services;
        const ShardedDestination *shards = nullptr; // Points into the routing table; null for a single service.
    };

    ServiceReply refuse(const ForwardRequest &request, unsigned status, std::string_view cause, std::optional<Duration> retryAfter);
    ResolvedDestination resolveDestination(const Route &route);
    std::shared_ptr<CallContext> makeContext(ForwardRequest &&request, Fingerprint fingerprint, const Route &route);

    const ForwardEnvironment &environment_;
    Registry &registry_;
    ReplicaController &replicas_;
    ActiveRequests &activeRequests_;
    WeightedRoundRobin splits_;
    std::mt19937_64 random_;
    std::map<std::string, CallerTimeouts, std::less<>> callerTimeouts_; // By route.
    std::map<std::uint64_t, std::shared_ptr<ForwardOperation>> operations_;
    std::uint64_t lastOperation_ = 0;
    SlidingCount admitted_;
    std::map<std::uint64_t, PendingRequest> pendingRequests_; // Waiting for the first routing table, in order of arrival.
    std::map<std::uint64_t, CancelFunction> resumedCancels_;  // Cancel functions of resumed requests, by pending number.
    std::uint64_t lastPending_ = 0;
};

} // namespace magnoliaspan
