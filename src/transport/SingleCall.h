/*
 * One request and its response on a dedicated connection, with a deadline.
 */
#pragma once

#include "core/Scheduler.h"
#include "transport/Transport.h"

#include <functional>
#include <memory>

namespace magnoliaspan {

/// \brief Sends one request on a connection of its own, so that a response cannot belong to another request.
class SingleCall : public std::enable_shared_from_this<SingleCall>
{
public:
    explicit SingleCall(Scheduler &scheduler);

    /// \brief Connects to \p endpoint and sends \p request.
    /// \param handler called once, with TransportError::Silent if there is no response by \p deadline, unless cancel()
    /// is called first.
    void start(Transport &transport,
               const Endpoint &endpoint,
               WireRequest request,
               TimePoint deadline,
               std::function<void(const WireReply &)> handler);

    /// \brief Closes the connection; the handler is not called afterwards.
    void cancel();

    /// \returns whether the connection was established, so that bytes of the request may have been sent.
    bool isSent() const;

private:
    void onConnected(std::error_code error, const WireRequest &request);
    void finish(const WireReply &reply);

    Scheduler &scheduler_;
    std::function<void(const WireReply &)> handler_; // Empty once called or cancelled.
    std::unique_ptr<Connection> connection_;
    TimerId timer_ = TimerId::None;
    bool sent_ = false;
};

} // namespace magnoliaspan
