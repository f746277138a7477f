/*
 * Part routing: which part of a weighted split takes the next request.
 */
#pragma once

#include "routing/Route.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Smooth weighted round robin, one state for each route.
/// Each part's share is exact over any run of requests up to one request, so that the shares of all hosts add up.
class WeightedRoundRobin
{
public:
    /// \returns the service that takes the next request of \p route; \p services may change between calls.
    /// The first call of a route starts at \p offset of the cycle, 0 to 1, so that hosts don't move in step.
    const std::string &next(std::string_view route, std::span<const WeightedService> services, double offset);

private:
    using Credits = std::map<std::string, double, std::less<>>;
    std::map<std::string, Credits, std::less<>> credits_; // By route, then service.
};

} // namespace magnoliaspan
