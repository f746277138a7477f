/*
 * TCP relay between a process and a target that injects network faults: partition, delay, refused and silent
 * connections.
 */
#pragma once

#include "core/Endpoint.h"
#include "net/EventLoop.h"

#include <cstddef>
#include <memory>
#include <string>

namespace magnoliaspan::testing {

/// Relays TCP connections and injects faults.
class Relay
{
public:
    Relay(EventLoop &loop, const Endpoint &listen, const Endpoint &upstream);
    ~Relay();

    /// Sets a condition: heal, cut, refuse, silence (affects open connections only) or delay (\p addedDelay in each direction).
    /// \returns false for any other word.
    bool set(const std::string &condition, Duration addedDelay);

    /// Resets the next connection after \p bytes have been forwarded to the target.
    void breakAfterRequestBytes(std::size_t bytes);

    /// Resets the next connection after \p bytes have been forwarded from the target.
    void breakAfterReplyBytes(std::size_t bytes);

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace magnoliaspan::testing
