/*
 * Smooth weighted round robin: each call adds every service's weight to its credit, then chooses the service with the
 * highest credit, which pays the sum of all weights.
 */
#include "routing/WeightedRoundRobin.h"

#include "routing/RoutingTable.h"

#include <algorithm>
#include <cassert>

namespace magnoliaspan {

namespace {

// Covers the cycles of shares of one in 250 and more.
constexpr double maxStartSteps = 250;

/// Chooses the next service and charges it. \returns its index.
std::size_t advanceCycle(std::span<const WeightedService> services, std::span<double> credits)
{
    const bool areAllZero
        = std::none_of(services.begin(), services.end(), [](const WeightedService &service) { return service.weight > 0; });
    double total = 0;
    std::size_t best = services.size();
    for (std::size_t index = 0; index < services.size(); ++index) {
        const double weight = areAllZero ? 1 : services[index].weight;
        if (weight <= 0) {
            continue;
        }
        credits[index] += weight;
        total += weight;
        if (best == services.size() || credits[index] > credits[best]) {
            best = index;
        }
    }
    credits[best] -= total;
    return best;
}

} // namespace

const std::string &WeightedRoundRobin::next(std::string_view route, std::span<const WeightedService> services, double offset)
{
    assert(!services.empty() && "a traffic split must have at least one service");
    auto found = cycles_.find(route);
    if (found == cycles_.end()) {
        found = cycles_.emplace(std::string(route), Cycle{}).first;
    }
    Cycle &cycle = found->second;
    if (!std::equal(services.begin(), services.end(), cycle.services.begin(), cycle.services.end())) {
        cycle.services.assign(services.begin(), services.end());
        cycle.credits.assign(services.size(), 0);
        for (auto step = static_cast<int>(offset * maxStartSteps); step > 0; --step) {
            advanceCycle(services, cycle.credits);
        }
    }
    return services[advanceCycle(services, cycle.credits)].service;
}

void WeightedRoundRobin::retainRoutes(const RoutingTable &table)
{
    std::erase_if(cycles_, [&table](const auto &entry) { return !table.hasRoute(entry.first); });
}

std::size_t WeightedRoundRobin::size() const
{
    return cycles_.size();
}

} // namespace magnoliaspan
