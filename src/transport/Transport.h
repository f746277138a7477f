/*
 * Interface that opens client connections; implemented over Asio and by fakes in the tests.
 */
#pragma once

#include "core/Endpoint.h"
#include "transport/Connection.h"

#include <memory>

namespace magnoliaspan {

/// \brief Opens connections to targets and peers.
class Transport
{
public:
    using ConnectHandler = std::function<void(std::error_code error)>;
    using ClosedHandler = std::function<void()>;

    virtual ~Transport() = default;

    /// \brief Starts to connect.
    /// \param connected called once when the connection is established or has failed, never from within connect().
    /// \param closed called once if the remote end closes the connection while no exchange is running.
    /// \returns the connection; usable after \p connected reported no error.
    virtual std::unique_ptr<Connection> connect(const Endpoint &endpoint, ConnectHandler connected, ClosedHandler closed) = 0;
};

} // namespace magnoliaspan
