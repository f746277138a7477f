/*
 * Runs one request from its routing decision to the response, over one service or over all shards of a route.
 */
#pragma once

#include "forward/ShardCall.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief Next step of a request over shards.
enum class GatherStep {
    Wait,    ///< Wait for more shards.
    Respond, ///< Merge and send the responses that have arrived.
    GiveUp,  ///< Refuse: the minimum coverage can no longer be reached.
};

/// \brief Progress of a request over shards.
struct GatherState {
    std::size_t total = 0;     ///< Shards of the route, at least one.
    std::size_t succeeded = 0; ///< Shards with a successful response.
    std::size_t pending = 0;   ///< Shards that may still respond.
    double minimumCoverage = 0;
    bool goalExpired = false; ///< Whether the latency goal has expired.
};

/// \returns the next step.
/// Until the latency goal expires, a complete response is awaited. At that moment a partial response is sent if it reaches
/// the minimum coverage; after it, as soon as it does.
GatherStep gatherStep(const GatherState &state);

/// \returns whether \p succeeded shards of \p total reach \p minimumCoverage; never without any.
bool coverageReached(std::size_t succeeded, std::size_t total, double minimumCoverage);

/// \brief How a request ended.
struct OperationResult {
    ServiceReply reply;            ///< For the caller.
    bool servicesReachable = true; ///< Whether this host had a usable target of enough services.
};

/// \brief Runs one request.
///
/// A request that this host cannot serve, because it reaches no target or none of a service that is needed, is passed on to
/// another host, unless it must not run twice and may have run.
class ForwardOperation : public std::enable_shared_from_this<ForwardOperation>
{
public:
    using Handler = std::function<void(OperationResult result)>;

    /// \param services one, or one for each shard when \p shards is set.
    /// \param shards the merge that the route asks for, or null; points into the routing table of \p context.
    ForwardOperation(const ForwardEnvironment &environment,
                     ReplicaController &replicas,
                     std::shared_ptr<const CallContext> context,
                     std::vector<std::string> services,
                     const ShardedDestination *shards,
                     Handler handler);

    /// \brief Starts the request. The handler is called once, possibly before start() returns, unless cancel() is called first.
    void start();

    /// \brief Cancels the request because its caller disconnected.
    void cancel();

    /// \brief Passes the request on, if that is possible and of use, since this host reaches no target any more.
    void onContactLost();

private:
    struct ServiceCall {
        std::shared_ptr<ShardCall> shardCall;
        bool ended = false;
        CallResult result; // Valid once ended.
    };

    bool admit();
    bool tryPassOn(std::string_view cause);
    bool mayPassOn() const;
    void onPassedOn(HandoffResult result);
    std::vector<std::string> services() const;
    void onCallEnded(std::size_t index, CallResult result);
    void finishSingle();
    void advanceGather();
    GatherState gatherState() const;
    void onGoalExpired();
    void onDeadlineExpired();
    void respondMerged();
    void forwardResponse(TargetResponse response);
    void refuse(unsigned status, std::string_view cause);
    void deliver(ServiceReply reply, std::string_view outcome);
    Verdict verdict() const;
    Duration retryAfter() const;
    Duration returnDelay() const;
    void refuseUntilPausesEnd(std::size_t reachable, std::vector<TimePoint> pauseEnds);
    std::string describeMissing() const;

    const ForwardEnvironment &environment_;
    ReplicaController &replicas_;
    std::shared_ptr<const CallContext> context_;
    const ShardedDestination *shards_;
    Handler handler_; // Empty once called or cancelled.
    std::vector<ServiceCall> calls_;
    TimePoint startedAt_;
    TimerId goalTimer_ = TimerId::None;
    TimerId deadlineTimer_ = TimerId::None;
    bool goalExpired_ = false;
    bool servicesReachable_ = true;
    RequestHandoff::CancelFunction cancelHandoff_; // Set while another host has the request.
    std::optional<Verdict> verdictBeforeHandoff_;  // Of the attempts of this host; set once the request was passed on.
};

/// \returns a refusal by this host.
/// \param retryAfter when another try may succeed; only given when nothing has run.
ServiceReply refusalReply(unsigned status, std::string_view cause, std::optional<Duration> retryAfter);

} // namespace magnoliaspan
