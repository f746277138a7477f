/*
 * HTTP service of the peer port: subrequests that other entry hosts relay to the
 * targets of this zone, and submits whose idempotency key has its home here.
 */
#pragma once

#include "app/ActiveRequests.h"
#include "app/SubmitRouter.h"
#include "peer/PeerAuthenticator.h"
#include "request/FilterChain.h"
#include "request/Service.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace magnoliaspan {

/// \brief Serves requests of other entry hosts.
class PeerService : public Service
{
public:
    /// Handles a control message; takes the body of the request and returns the body of the response.
    using ControlHandler = std::function<std::string(const std::string &body)>;

    PeerService(RequestServices &services,
                FilterChain &filters,
                SubmitRouter &submitRouter,
                ActiveRequests &activeRequests,
                PeerAuthenticator &authenticator,
                std::string zone,
                ControlHandler controlHandler);

    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override;

private:
    CancelFunction relay(ShardWork work, std::string requestId, WallTime deadline, ReplyHandler handler);
    void handleSubmit(const ServiceRequest &request, ReplyHandler handler);
    ServiceReply statusReply() const;
    ShardReply refusalReply(std::string requestId, std::int64_t shard, ShardOutcome outcome, Verdict verdict) const;

    RequestServices &services_;
    FilterChain &filters_;
    SubmitRouter &submitRouter_;
    ActiveRequests &activeRequests_;
    PeerAuthenticator &authenticator_;
    std::string zone_;
    ControlHandler controlHandler_;
    std::map<std::uint64_t, std::shared_ptr<SingleShardOperation>> runningOperations_;
    std::uint64_t lastOperationNumber_ = 0;
};

} // namespace magnoliaspan
