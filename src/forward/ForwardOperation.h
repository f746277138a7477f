/*
 * Part forward: one request from its plan to its answer, over one service or all shards of a route.
 */
#pragma once

#include "forward/ShardCall.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief Whether an answer over shards should go out.
enum class GatherStep {
    Wait,   ///< More may come.
    Answer, ///< What is in goes out.
    GiveUp, ///< The least coverage cannot be reached.
};

/// \brief What has come of a request over shards.
struct GatherState {
    std::size_t total = 0;   ///< Shards of the route, one or more.
    std::size_t in = 0;      ///< Shards that answered well.
    std::size_t running = 0; ///< Shards that may still answer.
    double minimumCoverage = 0;
    bool goalReached = false; ///< The time in which the answer is of full use is over.
};

/// \returns what to do.
/// Before the goal a whole answer is waited for; at the goal what is in goes out if it is enough; later, the moment
/// it is enough.
GatherStep gatherStep(const GatherState &state);

/// \returns whether \p in shards of \p total reach \p minimumCoverage.
bool coverageReached(std::size_t in, std::size_t total, double minimumCoverage);

/// \brief Runs one request.
class ForwardOperation : public std::enable_shared_from_this<ForwardOperation>
{
public:
    using Handler = std::function<void(ServiceReply reply)>;

    /// \param services one, or one for each shard when \p shards is set.
    /// \param shards the merge that the route asks for; in the table of \p context.
    ForwardOperation(const ForwardEnvironment &environment,
                     ReplicaController &replicas,
                     std::shared_ptr<const CallContext> context,
                     std::vector<std::string> services,
                     const ShardedDestination *shards,
                     Handler handler);

    /// \brief Begins; the handler is called once, perhaps from inside, unless abandon() comes first.
    void start();

    /// \brief The caller left.
    void abandon();

private:
    struct ServicePart {
        std::shared_ptr<ShardCall> call;
        bool ended = false;
        CallResult result;
    };

    bool admit();
    void partEnded(std::size_t index, CallResult result);
    void singleEnded();
    void step();
    GatherState gatherState() const;
    void goalDue();
    void deadlineDue();
    void answerMerged();
    void answerTarget(TargetAnswer answer);
    void refuse(unsigned status, std::string_view cause);
    void deliver(ServiceReply reply, std::string_view outcome);
    Verdict verdict() const;
    Duration retryAfter() const;
    std::string missingText() const;

    const ForwardEnvironment &environment_;
    ReplicaController &replicas_;
    std::shared_ptr<const CallContext> context_;
    const ShardedDestination *shards_;
    Handler handler_; // Empty once called or abandoned.
    std::vector<ServicePart> parts_;
    TimePoint startedAt_;
    TimerId goalTimer_ = TimerId::None;
    TimerId deadlineTimer_ = TimerId::None;
    bool goalReached_ = false;
};

/// \returns a refusal of this host's own.
/// \param retryAfter when another try may succeed; only given when nothing has run.
ServiceReply refusalReply(unsigned status, std::string_view cause, std::optional<Duration> retryAfter);

} // namespace magnoliaspan
