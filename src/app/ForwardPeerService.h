/*
 * Dispatches the requests that a forwarding host receives from other hosts.
 */
#pragma once

#include "request/Service.h"

namespace magnoliaspan {

/// \brief Passes each request to the service of its path.
class ForwardPeerService : public Service
{
public:
    /// \param relay serves the published state, and any path that is not of \p handoff. Both outlive this object.
    ForwardPeerService(Service &relay, Service &handoff);

    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override;

private:
    Service &relay_;
    Service &handoff_;
};

} // namespace magnoliaspan
