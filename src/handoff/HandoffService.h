/*
 * Serves requests that other hosts pass on.
 */
#pragma once

#include "core/Counters.h"
#include "forward/ForwardService.h"
#include "handoff/HandoffMessages.h"
#include "request/Service.h"

namespace magnoliaspan {

/// \brief Decodes a request that another host passed on, and serves it like one of an own caller, but never passes it on again.
class HandoffService : public Service
{
public:
    /// \param contact tells whether this host reaches targets. The references outlive this object.
    HandoffService(Counters &counters, const TargetContact &contact, ForwardService &forward, std::string key);

    /// \brief Responds with status 403 to a call that is malformed or signed with another key.
    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override;

private:
    Counters &counters_;
    const TargetContact &contact_;
    ForwardService &forward_;
    HandoffCodec codec_;
};

} // namespace magnoliaspan
