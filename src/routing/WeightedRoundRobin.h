/*
 * Smooth weighted round robin over the services of a traffic split.
 */
#pragma once

#include "routing/Route.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Smooth weighted round robin with separate state for each route.
/// In any run of requests the number sent to a service differs from its exact share by at most one request, so that the
/// shares of all hosts add up.
class WeightedRoundRobin
{
public:
    /// \returns the service for the next request of \p route.
    /// \param services of the split; may change between calls. Must not be empty.
    /// \param offset position in the cycle at which the first call of a route starts, 0 to 1; hosts use different
    /// offsets so that they don't run in lockstep.
    const std::string &next(std::string_view route, std::span<const WeightedService> services, double offset);

private:
    using Credits = std::map<std::string, double, std::less<>>;
    std::map<std::string, Credits, std::less<>> credits_; // By route, then service.
};

} // namespace magnoliaspan
