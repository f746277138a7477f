/*
 * Serves the mirrored published state to other hosts.
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

/// \brief What a host knows of its access to the source, for its responses.
struct SourceAccess {
    bool recentlyUnavailable = false; ///< DiscoveryReadResult::sourceRecentlyUnavailable.
    bool unreachable = false;         ///< DiscoveryReadResult::sourceUnreachable.
};

/// \brief Responds with the content of the mirror, at once or, to a long poll, when it changes.
class RelayService : public Service
{
public:
    /// \param sourceAccess returns what this host knows of its access to the source.
    RelayService(const Clock &clock,
                 Scheduler &scheduler,
                 Counters &counters,
                 Mirror &mirror,
                 std::string key,
                 std::function<SourceAccess()> sourceAccess);
    ~RelayService() override;

    /// \brief Responds with status 403 to a wrong signature, 400 to a malformed path, and 503 while the mirror is empty or
    /// too many long polls are pending.
    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override;

private:
    struct LongPoll {
        StatePosition after; // A change after it completes the poll.
        ReplyHandler handler;
        TimerId timer = TimerId::None;
    };

    DiscoveryReadResult wholeState() const;
    DiscoveryReadResult changesSince(const StatePosition &after) const;
    ServiceReply makeReply(DiscoveryReadResult result) const;
    void onMirrorChanged();
    void onPollTimeout(std::uint64_t number);

    const Clock &clock_;
    Scheduler &scheduler_;
    Counters &counters_;
    Mirror &mirror_;
    RelayCodec codec_;
    std::function<SourceAccess()> sourceAccess_;
    std::map<std::uint64_t, LongPoll> longPolls_; // Pending, by number.
    std::uint64_t lastPollNumber_ = 0;
};

} // namespace magnoliaspan
