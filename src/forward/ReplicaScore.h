/*
 * Part forward: which replica is likely to answer first.
 * A pure function of what is known, so that each load pattern has a test.
 */
#pragma once

#include "core/Time.h"

namespace magnoliaspan {

/// \brief What is known of one replica when a request is about to be sent.
struct ReplicaStats {
    Duration expectedLatency{}; ///< Latency of one exchange on an idle replica.
    unsigned inFlight = 0;      ///< Exchanges of this host that run or wait there.
    unsigned slots = 1;         ///< Requests that it works on at once.
    Duration oldestWait{};      ///< Age of the oldest running exchange.
    double failureRate = 0;     ///< Recent share of exchanges without a good answer, 0 to 1.
    bool otherRegion = false;   ///< Bytes to it are dear.
    bool stale = false;         ///< Nothing was heard from it for some time.
    bool inBackoff = false;     ///< It failed just now.
};

/// \returns a cost in time; the least is the best choice.
Duration replicaScore(const ReplicaStats &stats);

/// \returns how long an exchange may take before a second one is worth sending.
/// \param expected latency of the exchange.
/// \param single whether the request has no other shards to wait for.
Duration hedgeDelay(Duration expected, bool single);

} // namespace magnoliaspan
