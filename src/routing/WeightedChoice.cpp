/*
 * Part routing: smooth weighted round robin.
 */
#include "routing/WeightedChoice.h"

#include <cassert>

namespace magnoliaspan {

const std::string &WeightedChoice::next(std::string_view route, std::span<const WeightedService> parts, double offset)
{
    assert(!parts.empty() && "a split has at least one part");
    auto found = credits_.find(route);
    if (found == credits_.end()) {
        found = credits_.emplace(std::string(route), Credits{}).first;
        for (const WeightedService &part : parts) {
            found->second[part.service] = part.weight * offset;
        }
    }
    Credits &credits = found->second;
    double total = 0;
    const WeightedService *best = &parts.front();
    for (const WeightedService &part : parts) {
        credits[part.service] += part.weight;
        total += part.weight;
        if (credits[part.service] > credits[best->service]) {
            best = &part;
        }
    }
    credits[best->service] -= total;
    return best->service;
}

} // namespace magnoliaspan
