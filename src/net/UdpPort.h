/*
 * UDP socket for datagrams between hosts.
 */
#pragma once

#include "net/EventLoop.h"
#include "transport/DatagramPort.h"

#include <memory>
#include <system_error>

namespace magnoliaspan {

/// \brief UDP socket bound to one endpoint; sends without blocking.
class UdpPort : public DatagramPort
{
public:
    explicit UdpPort(EventLoop &loop);
    ~UdpPort() override;

    /// \brief Binds to \p endpoint and starts to receive.
    /// \returns the error if the address is invalid or the socket could not be opened or bound.
    std::error_code listen(const Endpoint &endpoint);

    void send(const Endpoint &to, std::string_view datagram) override;
    void setDatagramHandler(Handler handler) override;

    /// \returns the number of datagrams since the start that the operating system did not accept for sending.
    std::uint64_t sendFailures() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace magnoliaspan
