/*
 * Routes, services and limits as configured by the operators.
 */
#pragma once

#include "core/Time.h"

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace magnoliaspan {

/// Whether a request may run more than once.
enum class Repeatability { Idempotent, NonIdempotent };

/// \brief Sends each request to one target of one service.
struct ServiceDestination {
    std::string service;
};

/// \brief A service with its weight in a traffic split.
struct WeightedService {
    std::string service;
    double weight = 0; ///< Relative to the other services of the split; zero or more.

    bool operator==(const WeightedService &) const = default;
};

/// \brief Sends each request to one target of one of several services, chosen by weight.
struct SplitDestination {
    std::vector<WeightedService> services;
};

/// \brief Sends each request to one target of each service and merges the highest records of the responses.
struct ShardedDestination {
    std::vector<std::string> services; ///< One for each shard.
    std::size_t topRecords = 0;        ///< Largest number of records in the merged response.
    double minimumCoverage = 0;        ///< Smallest fraction of shards in a response, 0 to 1.
};

using Destination = std::variant<ServiceDestination, SplitDestination, ShardedDestination>;

/// \brief Destination and limits of the requests with one host name and path prefix.
struct Route {
    std::string name;
    std::string host;   ///< In lower case, without a port.
    std::string prefix; ///< Starts and ends with a slash.
    Repeatability repeatability = Repeatability::NonIdempotent;
    Duration timeout{};                      ///< Longest time until the caller gets a response.
    Duration latencyGoal{};                  ///< Latency up to which a response is of full use to the caller.
    int priority = 0;                        ///< 0 is the most urgent.
    unsigned maxTargets = 1;                 ///< Largest number of targets that may run one request, for each shard.
    std::vector<std::string> allowedRegions; ///< Empty allows all.
    Destination destination;
};

/// \brief Properties common to all targets of a service.
struct ServiceSpec {
    std::string name;
    unsigned maxConnections = 1;      ///< Connections that one target accepts from all hosts together.
    Duration warmUp{};                ///< How long a target stays cold after its start.
    double coldRequestsPerSecond = 0; ///< Request rate that a cold target can take from all hosts together.
};

/// \brief Limits on requests and connections of callers.
struct ListenerLimits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 262'144;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

} // namespace magnoliaspan
