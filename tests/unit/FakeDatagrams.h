/*
 * Unit tests: datagrams between fake hosts on the manual clock.
 */
#pragma once

#include "scenario/ManualTime.h"
#include "transport/DatagramPort.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace magnoliaspan::testing {

/// Carries datagrams between bound ports, each after the same delay.
class FakeDatagrams
{
public:
    explicit FakeDatagrams(ManualTime &time);

    /// \returns a port at \p address, which stops receiving when it is destroyed.
    std::unique_ptr<DatagramPort> bind(const Endpoint &address);

    /// Tells whether a datagram passes; all do when it is not set.
    std::function<bool(const Endpoint &from, const Endpoint &to)> shouldDeliver;

    std::size_t sent = 0;
    std::size_t bytes = 0;
    std::size_t largest = 0;

private:
    class Port;

    ManualTime &time_;
    std::map<Endpoint, Port *> ports_;
};

} // namespace magnoliaspan::testing
