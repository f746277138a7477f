/*
 * Part app: the operators' and balancer's port.
 */
#pragma once

#include "app/EntryHost.h"
#include "request/Service.h"

namespace magnoliaspan {

/// \brief Answers /live, /ready, /metrics, /status and /explain.
class AdminService : public Service
{
public:
    explicit AdminService(EntryHost &host);

    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override;

private:
    ServiceReply answer(const ServiceRequest &request) const;
    ServiceReply ready() const;
    ServiceReply status() const;
    ServiceReply explain(std::string_view query) const;

    EntryHost &host_;
};

} // namespace magnoliaspan
