/*
 * Smooth weighted round robin over the services of a traffic split.
 */
#pragma once

#include "routing/Route.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan {

class RoutingTable;

/// \brief Smooth weighted round robin with separate state for each route.
/// As long as a split stays the same, the number of requests sent to a service differs from its exact share by at most one in any
/// run of requests, so that the shares of all hosts add up. A service of weight zero gets none unless all weights are zero.
class WeightedRoundRobin
{
public:
    /// \returns the service for the next request of \p route.
    /// \param services of the split; must not be empty. If services or weights differ from those of the last call, the cycle starts
    /// anew: what was earned under other weights counts nothing.
    /// \param offset position in the cycle at which it starts, 0 to 1; hosts use different offsets so that they don't run in lockstep.
    const std::string &next(std::string_view route, std::span<const WeightedService> services, double offset);

    /// \brief Drops the state of routes that \p table does not have.
    void retainRoutes(const RoutingTable &table);

    /// \returns the number of routes with state.
    std::size_t size() const;

private:
    struct Cycle {
        std::vector<WeightedService> services; // As in the last call.
        std::vector<double> credits;           // Invariant: one for each of services, less than the sum of the weights apart.
    };

    std::map<std::string, Cycle, std::less<>> cycles_; // By route.
};

} // namespace magnoliaspan
