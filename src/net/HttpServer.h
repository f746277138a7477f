/*
 * Part net: one listening port.
 */
#pragma once

#include "core/Endpoint.h"
#include "net/EventLoop.h"
#include "request/Service.h"

#include <cstddef>
#include <memory>
#include <system_error>

namespace magnoliaspan {

/// \brief Bounds of a port.
struct HttpServerLimits {
    std::size_t maxHeaderBytes = 8'192;
    std::size_t maxBodyBytes = 65'536;
    std::size_t maxConnections = 4'096;
    Duration requestTimeout = std::chrono::seconds(5); ///< From the first byte of a request to its last.
    Duration idleTimeout = std::chrono::seconds(60);   ///< Between requests on one connection.
};

/// \brief Serves HTTP/1.1 with keep-alive on one port.
/// A request that is malformed or out of bounds is answered with a problem of verdict "not run".
class HttpServer
{
public:
    HttpServer(EventLoop &loop, Service &service, const HttpServerLimits &limits);
    ~HttpServer();

    /// \brief Binds and begins to accept. \returns the error of the bind, if any.
    std::error_code listen(const Endpoint &endpoint);

    /// \brief From now on each reply tells its requester to close the connection.
    void announceClose();

    /// \brief Accepts no connection any more; those that stand end with their request.
    void stopAccepting();

    /// \brief Replaces the bounds; the number of connections and requests already begun keep the old ones.
    void setLimits(const HttpServerLimits &limits);

    /// \brief Closes every connection on which no request has begun.
    void closeIdle();

    /// \brief Closes every connection at once.
    void closeAll();

    /// \returns connections that stand.
    std::size_t connections() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace magnoliaspan
