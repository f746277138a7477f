/*
 * Reads environment documents and membership from the platform over HTTP.
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

/// \brief Reads /v1/document and /v1/membership by long polling.
/// Each read uses a connection of its own, so that a response cannot be taken for that of another read.
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
    std::set<std::shared_ptr<SingleCall>> calls_; // Calls without a response so far; cancelled by the destructor.
};

} // namespace magnoliaspan
