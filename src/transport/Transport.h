/*
 * Part transport: opens connections; implemented over Asio and by the tests' fakes.
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
    /// \param connected called once when the connection stands or failed, never from inside connect().
    /// \param closed called once when the other end closes the connection while no exchange runs.
    /// \returns the connection; usable after \p connected reported no error.
    virtual std::unique_ptr<Connection> connect(const Endpoint &endpoint, ConnectHandler connected, ClosedHandler closed) = 0;
};

} // namespace magnoliaspan
