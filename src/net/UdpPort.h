/*
 * Part net: datagrams over UDP.
 */
#pragma once

#include "net/EventLoop.h"
#include "transport/DatagramPort.h"

#include <memory>
#include <system_error>

namespace magnoliaspan {

/// \brief One bound UDP socket.
class UdpPort : public DatagramPort
{
public:
    explicit UdpPort(EventLoop &loop);
    ~UdpPort() override;

    /// \brief Binds and begins to receive. \returns the error of the bind, if any.
    std::error_code listen(const Endpoint &endpoint);

    void send(const Endpoint &to, std::string_view datagram) override;
    void onDatagram(Handler handler) override;

    /// \returns datagrams that could not be handed to the system since the start.
    std::uint64_t sendFailures() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace magnoliaspan
