/*
 * Unit test fixture: an entry host, a target behind a relay and a platform, on
 * real sockets in one event loop.
 */
#pragma once

#include "magnoliaspan/entryhost.h"
#include "magnoliaspan/net.h"
#include "standins/PlatformModel.h"
#include "standins/Relay.h"
#include "standins/TargetModel.h"

#include <functional>
#include <memory>
#include <string>

namespace magnoliaspan::testing {

/// Minimal complete system on sockets.
class SocketFixture
{
public:
    /// \param firstPort first of six consecutive ports.
    /// \param callerLimits limits of the callers' port.
    explicit SocketFixture(std::uint16_t firstPort, HttpServerLimits callerLimits = {});

    /// Runs the loop until \p done returns true, for \p limit at most. \returns the result of done().
    bool runUntil(const std::function<bool()> &done, Duration limit = std::chrono::seconds(10));

    void runFor(Duration duration);

    /// Sends raw bytes to the callers' port. \returns the bytes received until the host closed the connection, for \p wait at most.
    std::string sendRaw(const std::string &bytes, Duration wait = std::chrono::milliseconds(300));

    /// \returns the reply to a submit with \p key.
    ServiceReply submit(const std::string &key);

    SystemClock clock;
    EventLoop loop{clock};
    std::unique_ptr<TargetModel> target;
    std::unique_ptr<Relay> relay;
    std::unique_ptr<EntryHost> host;
    Endpoint callerEndpoint;
    bool closedByHost = false; ///< Whether the host closed the connection of the last sendRaw().

private:
    Endpoint endpoint(std::uint16_t offset) const;
    std::string document() const;

    std::uint16_t firstPort_;
    HttpTransport transport_{loop};
    PlatformModel platform_{clock, loop};
    std::unique_ptr<HttpPlatformSource> source_;
    std::unique_ptr<HttpServer> targetServer_;
    std::unique_ptr<HttpServer> platformServer_;
    std::unique_ptr<HttpServer> callerServer_;
};

} // namespace magnoliaspan::testing
