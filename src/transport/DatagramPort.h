/*
 * Interface for datagrams between hosts; implemented over UDP and by a fake in the tests.
 */
#pragma once

#include "core/Endpoint.h"

#include <functional>
#include <string_view>

namespace magnoliaspan {

/// \brief Sends and receives datagrams, which may be lost, duplicated or reordered.
class DatagramPort
{
public:
    using Handler = std::function<void(std::string_view datagram)>;

    virtual ~DatagramPort() = default;

    /// \brief Sends \p datagram once, without blocking.
    virtual void send(const Endpoint &to, std::string_view datagram) = 0;

    /// \brief Sets the handler that is called with each datagram received.
    virtual void setDatagramHandler(Handler handler) = 0;
};

} // namespace magnoliaspan
