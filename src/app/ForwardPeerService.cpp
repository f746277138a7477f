/*
 * Selects the service by the path.
 */
#include "app/ForwardPeerService.h"

#include "handoff/HandoffMessages.h"

namespace magnoliaspan {

ForwardPeerService::ForwardPeerService(Service &relay, Service &handoff)
    : relay_(relay)
    , handoff_(handoff)
{
}

Service::CancelFunction ForwardPeerService::handle(ServiceRequest request, ReplyHandler handler)
{
    Service &service = request.target == HandoffCodec::path ? handoff_ : relay_;
    return service.handle(std::move(request), std::move(handler));
}

} // namespace magnoliaspan
