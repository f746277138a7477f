/*
 * HTTP service of the admin port, used by operators and by the load balancer.
 */
#pragma once

#include "app/EntryHost.h"
#include "request/Service.h"

namespace magnoliaspan {

/// \brief Serves GET /live, /ready, /metrics, /status and /explain.
class AdminService : public Service
{
public:
    explicit AdminService(EntryHost &host);

    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override;

private:
    ServiceReply respond(const ServiceRequest &request) const;
    ServiceReply readinessReply() const;
    ServiceReply statusReply() const;
    ServiceReply explanationReply(std::string_view query) const;

    EntryHost &host_;
};

} // namespace magnoliaspan
