/*
 * Part routing: what the operators say of one kind of request and of the services behind it.
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

/// \brief Each request goes to one target of one service.
struct ServiceDestination {
    std::string service;
};

/// \brief One part of a weighted split.
struct WeightedService {
    std::string service;
    double weight = 0; ///< Relative to the other parts; zero or more.
};

/// \brief Each request goes to one target of one of several services.
struct SplitDestination {
    std::vector<WeightedService> services;
};

/// \brief Each request goes to one target of each service; the greatest records of their answers are merged.
struct ShardedDestination {
    std::vector<std::string> services; ///< One for each shard.
    std::size_t topRecords = 0;        ///< Records in the merged answer at most.
    double minimumCoverage = 0;        ///< Share of shards, 0 to 1.
};

using Destination = std::variant<ServiceDestination, SplitDestination, ShardedDestination>;

/// \brief Where requests of one host name and path prefix go, and within which bounds.
struct Route {
    std::string name;
    std::string host;   ///< In lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    Repeatability repeatability = Repeatability::NonIdempotent;
    Duration timeout{};                      ///< Longest time that a caller is kept waiting.
    Duration latencyGoal{};                  ///< Time in which an answer is of full use to the caller.
    int priority = 0;                        ///< 0 is the most urgent.
    unsigned maxTargets = 1;                 ///< Targets that may run one request, for each shard.
    std::vector<std::string> allowedRegions; ///< Empty allows all.
    Destination destination;
};

/// \brief What all targets of a service have in common.
struct ServiceSpec {
    std::string name;
    unsigned maxConnections = 1;      ///< That one target accepts from all hosts together.
    Duration warmUp{};                ///< How long a target stays cold after its start.
    double coldRequestsPerSecond = 0; ///< That a cold target bears from all hosts together.
};

/// \brief Bounds of what a caller may send.
struct ListenerLimits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 262'144;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

} // namespace magnoliaspan
