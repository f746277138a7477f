/*
 * Scores replicas by how soon they are likely to respond, and tells when a hedge is worth sending.
 * Pure functions of their arguments, so that each load pattern can be tested.
 */
#pragma once

#include "core/Time.h"

namespace magnoliaspan {

/// \brief State of one replica when a request is about to be sent.
struct ReplicaStats {
    Duration expectedLatency{}; ///< Of one exchange on an idle replica.
    unsigned inFlight = 0;      ///< Attempts of this host that run or are queued there.
    unsigned slots = 1;         ///< Requests that it works on concurrently.
    Duration oldestWait{};      ///< Age of the oldest attempt in flight.
    double failureRate = 0;     ///< Recent share of exchanges without a successful response, 0 to 1.
    bool otherRegion = false;   ///< Traffic to it crosses regions, which is expensive.
    bool stale = false;         ///< It was slow and has not responded for some time, so that the estimate may be outdated.
    bool inBackoff = false;     ///< It failed just now.
};

/// \returns the cost of a choice as a time; the replica with the lowest is the best choice.
Duration replicaScore(const ReplicaStats &stats);

/// \returns how long an exchange may take before a hedge is worth sending.
/// \param expected latency of the exchange.
/// \param single whether the request has no other shards to wait for.
Duration hedgeDelay(Duration expected, bool single);

} // namespace magnoliaspan
