/*
 * Runs a single admin request on an event loop of its own.
 */
#include "app/AdminClient.h"

#include "net/EventLoop.h"
#include "net/HttpTransport.h"
#include "net/SystemClock.h"

namespace magnoliaspan {

namespace {

constexpr Duration responseTimeout = std::chrono::seconds(5);

} // namespace

AdminReply sendAdminRequest(const Endpoint &endpoint, const std::string &path)
{
    const SystemClock clock;
    EventLoop loop(clock);
    HttpTransport transport(loop);
    AdminReply result;
    loop.callAt(clock.now() + responseTimeout, [&loop] { loop.stop(); });
    std::unique_ptr<Connection> connection;
    connection = transport.connect(
        endpoint,
        [&](std::error_code error) {
            if (error) {
                loop.stop();
                return;
            }
            connection->exchange({path, "", ""}, [&](const WireReply &reply) {
                result = {!reply.error, reply.status, reply.body};
                loop.stop();
            });
        },
        [] {});
    loop.run();
    return result;
}

} // namespace magnoliaspan
