/*
 * Part transport: one exchange on a connection of its own, within a time deadline.
 */
#pragma once

#include "core/Scheduler.h"
#include "transport/Transport.h"

#include <functional>
#include <memory>

namespace magnoliaspan {

/// \brief One connection a call, so that no answer can belong to another one.
class SingleCall : public std::enable_shared_from_this<SingleCall>
{
public:
    explicit SingleCall(Scheduler &scheduler);

    /// \brief Connects and sends \p request.
    /// \param handler called once, with TransportError::Silent at \p deadline, unless cancel() comes first.
    void start(Transport &transport,
               const Endpoint &endpoint,
               WireRequest request,
               TimePoint deadline,
               std::function<void(const WireReply &)> handler);

    /// \brief The handler is not called any more.
    void cancel();

private:
    void onConnected(std::error_code error, const WireRequest &request);
    void finish(const WireReply &reply);

    Scheduler &scheduler_;
    std::function<void(const WireReply &)> handler_; // Empty once called or cancelled.
    std::unique_ptr<Connection> connection_;
    TimerId timer_ = TimerId::None;
};

} // namespace magnoliaspan
