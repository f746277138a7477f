/*
 * Part transport: datagrams between hosts, as the decisions see them.
 */
#pragma once

#include "core/Endpoint.h"

#include <functional>
#include <string_view>

namespace magnoliaspan {

/// \brief Sends and receives datagrams; any of them may be lost, repeated or out of order.
class DatagramPort
{
public:
    using Handler = std::function<void(std::string_view datagram)>;

    virtual ~DatagramPort() = default;

    /// \brief Sends once and does not wait.
    virtual void send(const Endpoint &to, std::string_view datagram) = 0;

    /// \brief Calls \p handler with each datagram that arrives.
    virtual void setDatagramHandler(Handler handler) = 0;
};

} // namespace magnoliaspan
