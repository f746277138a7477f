/*
 * Lookup of routes by host and longest path prefix.
 */
#include "routing/RoutingTable.h"

#include <algorithm>
#include <cctype>

namespace magnoliaspan {

namespace {

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

RoutingTable::RoutingTable(std::int64_t version, std::vector<Route> routes, std::vector<ServiceSpec> services, const ListenerLimits &limits)
    : version_(version)
    , routes_(std::move(routes))
    , limits_(limits)
{
    for (ServiceSpec &service : services) {
        std::string name = service.name;
        services_.insert_or_assign(std::move(name), std::move(service));
    }
    for (std::size_t index = 0; index < routes_.size(); ++index) {
        byHost_[normalizedHost(routes_[index].host)].push_back(index);
        names_.insert(routes_[index].name);
    }
    for (auto &[host, indexes] : byHost_) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
            return routes_[a].prefix.size() > routes_[b].prefix.size();
        });
    }
}

std::int64_t RoutingTable::version() const
{
    return version_;
}

const ListenerLimits &RoutingTable::limits() const
{
    return limits_;
}

const std::vector<Route> &RoutingTable::routes() const
{
    return routes_;
}

const Route *RoutingTable::find(std::string_view host, std::string_view path) const
{
    const auto found = byHost_.find(normalizedHost(host));
    if (found == byHost_.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        const Route &route = routes_[index];
        if (!path.starts_with(route.prefix)) {
            continue;
        }
        return &route;
    }
    return nullptr;
}

bool RoutingTable::hasRoute(std::string_view name) const
{
    return names_.contains(name);
}

const ServiceSpec *RoutingTable::findService(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

} // namespace magnoliaspan
