/*
 * Datagrams between fake hosts on the manual clock, for unit tests.
 */
#pragma once

#include "scenario/ManualTime.h"
#include "transport/DatagramPort.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace magnoliaspan::testing {

/// Delivers datagrams between bound ports, each after the same delay, and counts them.
class FakeDatagrams
{
public:
    explicit FakeDatagrams(ManualTime &time);

    /// \returns a port bound to \p address; it stops receiving when it is destroyed.
    std::unique_ptr<DatagramPort> bind(const Endpoint &address);

    /// Returns whether a datagram is delivered; if unset, all are.
    std::function<bool(const Endpoint &from, const Endpoint &to)> shouldDeliver;

    std::size_t sent = 0;    ///< Datagrams, including those not delivered.
    std::size_t bytes = 0;   ///< Bytes sent.
    std::size_t largest = 0; ///< Bytes of the largest datagram sent.

private:
    class Port;

    ManualTime &time_;
    std::map<Endpoint, Port *> ports_;
};

} // namespace magnoliaspan::testing
