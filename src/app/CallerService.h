/*
 * HTTP service of the caller port: searches and submits.
 */
#pragma once

#include "app/ActiveRequests.h"
#include "app/SubmitRouter.h"
#include "request/FilterChain.h"
#include "request/SearchOperation.h"
#include "request/Service.h"

#include <map>
#include <memory>
#include <string>

namespace magnoliaspan {

/// \brief Serves POST /v1/search and POST /v1/submit.
class CallerService : public Service
{
public:
    CallerService(RequestServices &services,
                  FilterChain &filters,
                  SubmitRouter &submitRouter,
                  ActiveRequests &activeRequests,
                  std::string zone);

    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override;

private:
    CancelFunction search(const ServiceRequest &request, const std::string &requestId, ReplyHandler handler);
    CancelFunction submit(const ServiceRequest &request, const std::string &requestId, ReplyHandler handler);
    std::optional<Refusal>
    checkAdmission(std::string_view system, std::string_view content, std::optional<Duration> timeout, std::string_view requestId);
    TimePoint deadlineFor(std::string_view system, std::optional<Duration> timeout) const;

    RequestServices &services_;
    FilterChain &filters_;
    SubmitRouter &submitRouter_;
    ActiveRequests &activeRequests_;
    std::string zone_;
    std::uint64_t lastRequestNumber_ = 0;
    std::map<std::uint64_t, std::shared_ptr<SearchOperation>> runningSearches_; // Operations in progress, by number.
    std::uint64_t lastSearchNumber_ = 0;
};

} // namespace magnoliaspan
