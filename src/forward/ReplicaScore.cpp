/*
 * Costs that make up the score of a replica, and the delays of hedges.
 */
#include "forward/ReplicaScore.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

// Requests of this host that occupy the slots lengthen the wait; other hosts are assumed to have as many there.
constexpr double queueWeight = 1.05;
// Traffic between regions is expensive: another region must be faster by this much, its distance included.
constexpr Duration regionCost = std::chrono::milliseconds(12);
// A replica that fails half of its requests costs as much as one that is 100 ms slower.
constexpr double failureCost = 400'000; // Microseconds at a failure rate of one.
// An exchange that takes this much longer than expected shows that the replica is paused or slow.
constexpr double overdueFactor = 2;
constexpr Duration overdueSlack = std::chrono::milliseconds(5);
// Exceeds any other cost, so that a replica in backoff is chosen only when all are.
constexpr Duration backoffCost = std::chrono::seconds(10);
// A stale replica is probed by one request at a time.
constexpr Duration probeCost = std::chrono::seconds(1);

constexpr double hedgeFactor = 2.2;
constexpr Duration hedgeSlack = std::chrono::milliseconds(6);
constexpr Duration minHedgeDelay = std::chrono::milliseconds(18);
// Latencies of single requests vary more, and they have no other shards to wait for.
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
