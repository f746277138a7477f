/*
 * Part relay: answers other hosts from what this one has read.
 */
#pragma once

#include "core/Counters.h"
#include "core/Scheduler.h"
#include "relay/Mirror.h"
#include "relay/RelayMessages.h"
#include "request/Service.h"

#include <functional>
#include <map>

namespace magnoliaspan {

/// \brief Gives out the mirror, at once or when it changes.
class RelayService : public Service
{
public:
    /// \param unsettled tells whether the source was away just now.
    RelayService(const Clock &clock,
                 Scheduler &scheduler,
                 Counters &counters,
                 Mirror &mirror,
                 std::string key,
                 std::function<bool()> isSourceRecentlyUnavailable);
    ~RelayService() override;

    Abandon handle(ServiceRequest request, ReplyHandler handler) override;

private:
    struct LongPoll {
        std::int64_t after = 0;
        ReplyHandler handler;
        TimerId timer = TimerId::None;
    };

    DiscoveryReadResult changesSince(std::int64_t revision) const;
    ServiceReply makeReply(DiscoveryReadResult result) const;
    void onMirrorChanged();
    void onPollTimeout(std::uint64_t number);

    const Clock &clock_;
    Scheduler &scheduler_;
    Counters &counters_;
    Mirror &mirror_;
    RelayCodec codec_;
    std::function<bool()> isSourceRecentlyUnavailable_;
    std::map<std::uint64_t, LongPoll> longPolls_;
    std::uint64_t lastPollNumber_ = 0;
};

} // namespace magnoliaspan
