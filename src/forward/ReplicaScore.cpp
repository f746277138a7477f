/*
 * Part forward: the cost of a choice.
 */
#include "forward/ReplicaScore.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

// Work of this host's own that each slot already holds lengthens the wait; other hosts hold as much.
constexpr double queueWeight = 1.05;
// Bytes between regions are dear: another region must win by this much beyond its distance.
constexpr Duration regionCost = std::chrono::milliseconds(12);
// A replica that fails half of its requests costs as much as one that is 100 ms slower.
constexpr double failureCost = 400'000; // Microseconds at a failure rate of one.
// An exchange that runs this much longer than expected shows that the replica pauses or is slow.
constexpr double overdueFactor = 2;
constexpr Duration overdueSlack = std::chrono::milliseconds(5);
// Beyond any other cost, so that a replica that was set aside is chosen only when all are.
constexpr Duration backoffCost = std::chrono::seconds(10);
// A replica that was not heard from is tried by one request at a time.
constexpr Duration probeCost = std::chrono::seconds(1);

constexpr double hedgeFactor = 2.2;
constexpr Duration hedgeSlack = std::chrono::milliseconds(6);
constexpr Duration minHedgeDelay = std::chrono::milliseconds(18);
// Work of single requests varies more, and they have no other shards to wait for.
constexpr double singleHedgeFactor = 2.5;
constexpr Duration singleHedgeSlack = std::chrono::milliseconds(20);
constexpr Duration minSingleHedgeDelay = std::chrono::milliseconds(60);

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

Duration replicaScore(const ReplicaStats &stats)
{
    const double load = static_cast<double>(stats.inFlight) / std::max(1U, stats.slots);
    Duration score = scaled(stats.expectedLatency, 1 + queueWeight * load);
    score += Duration(static_cast<Duration::rep>(failureCost * stats.failureRate * stats.failureRate));
    if (stats.otherRegion) {
        score += regionCost;
    }
    if (stats.oldestWait > scaled(stats.expectedLatency, overdueFactor) + overdueSlack) {
        score += stats.oldestWait;
    }
    if (stats.stale && stats.inFlight > 0) {
        score += probeCost;
    }
    if (stats.inBackoff) {
        score += backoffCost;
    }
    return score;
}

Duration hedgeDelay(Duration expected, bool single)
{
    return single ? std::max(minSingleHedgeDelay, scaled(expected, singleHedgeFactor) + singleHedgeSlack)
                  : std::max(minHedgeDelay, scaled(expected, hedgeFactor) + hedgeSlack);
}

} // namespace magnoliaspan
