/*
 * Test stand-in: a link between a process and a target that can be cut,
 * delayed or silenced.
 */
#pragma once

#include "core/Endpoint.h"
#include "net/EventLoop.h"

#include <cstddef>
#include <memory>
#include <string>

namespace magnoliaspan::testing {

/// Relays TCP connections, with faults.
class Relay
{
public:
    Relay(EventLoop &loop, const Endpoint &listen, const Endpoint &upstream);
    ~Relay();

    /// Sets a condition: heal, cut, refuse, silence (for connections that stand) or delay. \returns false for another word.
    bool set(const std::string &condition, Duration addedDelay);

    /// The next connection breaks after \p bytes towards the target.
    void breakAfterRequestBytes(std::size_t bytes);

    /// The next connection breaks after \p bytes from the target.
    void breakAfterReplyBytes(std::size_t bytes);

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace magnoliaspan::testing
