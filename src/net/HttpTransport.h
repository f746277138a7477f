/*
 * HTTP/1.1 connections to targets, peers and the platform.
 */
#pragma once

#include "net/EventLoop.h"
#include "transport/Transport.h"

namespace magnoliaspan {

/// \brief Opens HTTP/1.1 connections with keep-alive; each carries one exchange at a time.
class HttpTransport : public Transport
{
public:
    explicit HttpTransport(EventLoop &loop);

    std::unique_ptr<Connection> connect(const Endpoint &endpoint, ConnectHandler connected, ClosedHandler closed) override;

private:
    EventLoop &loop_;
};

} // namespace magnoliaspan
