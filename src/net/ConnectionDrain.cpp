/*
 * Polls the server until its last connection has closed.
 */
#include "net/ConnectionDrain.h"

namespace magnoliaspan {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(20);

} // namespace

void stopWhenDrained(EventLoop &loop, const Clock &clock, HttpServer &server, TimePoint deadline)
{
    server.closeIdle();
    if (server.connections() == 0 || clock.now() >= deadline) {
        loop.stop();
        return;
    }
    loop.callAt(clock.now() + pollInterval, [&loop, &clock, &server, deadline] { stopWhenDrained(loop, clock, server, deadline); });
}

} // namespace magnoliaspan
