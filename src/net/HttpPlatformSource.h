/*
 * Part net: reads the platform's configuration and membership service.
 */
#pragma once

#include "core/Clock.h"
#include "core/Scheduler.h"
#include "transport/PlatformSource.h"
#include "transport/SingleCall.h"
#include "transport/Transport.h"

#include <memory>
#include <set>
#include <string>

namespace magnoliaspan {

/// \brief GET /v1/document and /v1/membership with long polling.
class HttpPlatformSource : public PlatformSource
{
public:
    HttpPlatformSource(const Clock &clock, Scheduler &scheduler, Transport &transport, Endpoint endpoint, std::string environment);
    ~HttpPlatformSource() override;

    void watchDocument(std::int64_t after, std::function<void(DocumentReadResult)> handler) override;
    void watchMembership(std::int64_t after, std::function<void(MembershipReadResult)> handler) override;

private:
    void get(std::string path, std::function<void(const WireReply &)> handler);

    const Clock &clock_;
    Scheduler &scheduler_;
    Transport &transport_;
    Endpoint endpoint_;
    std::string environment_;
    std::set<std::shared_ptr<SingleCall>> calls_; // Those that wait for their answer.
};

} // namespace magnoliaspan
