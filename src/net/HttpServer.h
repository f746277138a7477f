/*
 * HTTP/1.1 server on one listening port.
 */
#pragma once

#include "core/Endpoint.h"
#include "net/EventLoop.h"
#include "request/Service.h"

#include <cstddef>
#include <memory>
#include <system_error>

namespace magnoliaspan {

/// \brief Limits of an HttpServer.
struct HttpServerLimits {
    std::size_t maxHeaderBytes = 8'192;
    std::size_t maxBodyBytes = 65'536;
    std::size_t maxConnections = 4'096;
    Duration requestTimeout = std::chrono::seconds(5); ///< From the first byte of a request to its last; also for writing the response.
    Duration idleTimeout = std::chrono::seconds(60);   ///< Between requests on one connection.
};

/// \brief Serves HTTP/1.1 with keep-alive on one port.
/// A request that is malformed or exceeds a size limit is answered with a problem document of verdict not_run.
/// Connections beyond the limit are closed at once.
class HttpServer
{
public:
    HttpServer(EventLoop &loop, Service &service, const HttpServerLimits &limits);
    ~HttpServer();

    /// \brief Binds to \p endpoint and starts to accept connections.
    /// \returns the error if the socket could not be opened, bound or listened on.
    std::error_code listen(const Endpoint &endpoint);

    /// \brief Closes each connection after its next response; responses carry Connection: close.
    void announceClose();

    /// \brief Stops accepting connections; open connections remain open.
    void stopAccepting();

    /// \brief Replaces the limits; open connections beyond a lower limit stay, and requests that are being read keep the old limits.
    void setLimits(const HttpServerLimits &limits);

    /// \brief Closes each connection on which no byte of a request has arrived since the last response.
    void closeIdle();

    /// \brief Closes all connections at once; cancels their requests.
    void closeAll();

    /// \returns the number of open connections.
    std::size_t connections() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace magnoliaspan
