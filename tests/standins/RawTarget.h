/*
 * Target that answers each request with prepared bytes, which need not be a valid HTTP response.
 */
#pragma once

#include "core/Endpoint.h"
#include "core/Time.h"
#include "net/EventLoop.h"

#include <memory>
#include <string>
#include <string_view>

namespace magnoliaspan::testing {

/// Listens on a free port of the loopback interface; reads requests without a body and keeps its connections open.
class RawTarget
{
public:
    /// Stands in the response for the value of the request's field X-Magnoliaspan-Request-Id.
    static constexpr std::string_view idMark = "$ID";

    RawTarget(EventLoop &loop, std::string response);
    ~RawTarget();
    RawTarget(const RawTarget &) = delete;
    RawTarget &operator=(const RawTarget &) = delete;

    /// Sets the response to later requests.
    void setResponse(std::string response);

    /// Sets the time from a request to its response.
    void setDelay(Duration delay);

    /// Closes each connection after its response from now on.
    void closeAfterResponses();

    Endpoint endpoint() const;

    /// \returns the number of requests received.
    unsigned requests() const;

    /// \returns the number of requests on connections whose last response was an earlier one than the response set last.
    unsigned requestsOnOldConnections() const;

    /// \returns the number of connections that the other end has not closed.
    std::size_t connections() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace magnoliaspan::testing
