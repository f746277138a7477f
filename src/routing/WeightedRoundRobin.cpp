/*
 * Smooth weighted round robin: each call adds every service's weight to its credit, then chooses the service with the
 * highest credit, which pays the sum of all weights.
 */
#include "routing/WeightedRoundRobin.h"

#include <cassert>

namespace magnoliaspan {

const std::string &WeightedRoundRobin::next(std::string_view route, std::span<const WeightedService> services, double offset)
{
    assert(!services.empty() && "a traffic split must have at least one service");
    auto found = credits_.find(route);
    if (found == credits_.end()) {
        found = credits_.emplace(std::string(route), Credits{}).first;
        for (const WeightedService &candidate : services) {
            found->second[candidate.service] = candidate.weight * offset;
        }
    }
    Credits &credits = found->second;
    double total = 0;
    const WeightedService *best = &services.front();
    for (const WeightedService &candidate : services) {
        credits[candidate.service] += candidate.weight;
        total += candidate.weight;
        if (credits[candidate.service] > credits[best->service]) {
            best = &candidate;
        }
    }
    credits[best->service] -= total;
    return best->service;
}

} // namespace magnoliaspan
