/*
 * Connects, sends one request and reports its response or a time-out.
 */
#include "transport/SingleCall.h"

#include "transport/TransportError.h"

namespace magnoliaspan {

SingleCall::SingleCall(Scheduler &scheduler)
    : scheduler_(scheduler)
{
}

void SingleCall::start(Transport &transport,
                       const Endpoint &endpoint,
                       WireRequest request,
                       TimePoint deadline,
                       std::function<void(const WireReply &)> handler)
{
    handler_ = std::move(handler);
    timer_ = scheduler_.callAt(deadline, [self = shared_from_this()] { self->finish({TransportError::Silent, self->sent_, 0, ""}); });
    connection_ = transport.connect(
        endpoint,
        [self = shared_from_this(), request = std::move(request)](std::error_code error) { self->onConnected(error, request); },
        [] {});
}

void SingleCall::cancel()
{
    handler_ = nullptr;
    scheduler_.cancel(timer_);
    connection_->close();
}

bool SingleCall::isSent() const
{
    return sent_;
}

void SingleCall::onConnected(std::error_code error, const WireRequest &request)
{
    if (error) {
        finish({error, false, 0, ""});
        return;
    }
    sent_ = true;
    connection_->exchange(request, [self = shared_from_this()](const WireReply &reply) { self->finish(reply); });
}

void SingleCall::finish(const WireReply &reply)
{
    if (!handler_) {
        return;
    }
    const auto handler = std::move(handler_);
    handler_ = nullptr;
    scheduler_.cancel(timer_);
    const auto self = shared_from_this();
    connection_->close();
    handler(reply);
}

} // namespace magnoliaspan
