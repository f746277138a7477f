/*
 * Part net: waiting for the last connections.
 */
#include "net/ConnectionDrain.h"

namespace magnoliaspan {

namespace {

constexpr Duration interval = std::chrono::milliseconds(20);

} // namespace

void stopWhenClosed(EventLoop &loop, const Clock &clock, HttpServer &server, TimePoint limit)
{
    server.closeIdle();
    if (server.connections() == 0 || clock.now() >= limit) {
        loop.stop();
        return;
    }
    loop.callAt(clock.now() + interval, [&loop, &clock, &server, limit] { stopWhenClosed(loop, clock, server, limit); });
}

} // namespace magnoliaspan
