/*
 * One published version of all routes and services.
 * A table is immutable and shared; a request uses the table that was current on its arrival until it completes.
 */
#pragma once

#include "routing/Route.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>

namespace magnoliaspan {

/// \brief The routes and services of one version.
class RoutingTable
{
public:
    RoutingTable(std::int64_t version, std::vector<Route> routes, std::vector<ServiceSpec> services, const ListenerLimits &limits);

    std::int64_t version() const;
    const ListenerLimits &limits() const;
    const std::vector<Route> &routes() const;

    /// \returns the route of \p host with the longest prefix of \p path, or null.
    /// \param host as in the request's Host header: any case, with or without a port.
    const Route *find(std::string_view host, std::string_view path) const;

    /// \returns whether a route is named \p name.
    bool hasRoute(std::string_view name) const;

    /// \returns the service named \p name, or null.
    const ServiceSpec *findService(std::string_view name) const;

private:
    std::int64_t version_;
    std::vector<Route> routes_;
    std::set<std::string, std::less<>> names_; // Of all routes.
    std::map<std::string, ServiceSpec, std::less<>> services_;
    ListenerLimits limits_;
    std::unordered_map<std::string, std::vector<std::size_t>> byHost_; // Invariant: indexes ordered by falling prefix length.
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

} // namespace magnoliaspan
