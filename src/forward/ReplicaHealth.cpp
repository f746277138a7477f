/*
 * Derives coldness, backoffs and the failure rate from connects and exchanges.
 */
#include "forward/ReplicaHealth.h"

#include <algorithm>
#include <cmath>

namespace magnoliaspan {

namespace {

constexpr Duration minConnectBackoff = std::chrono::milliseconds(200);
// Limits how late a target that is reachable again is noticed.
constexpr Duration maxConnectBackoff = std::chrono::seconds(2);
constexpr unsigned maxDoublings = 5;
// A target that sheds has a free slot again within the time of a few requests.
constexpr Duration failureBackoff = std::chrono::milliseconds(60);
constexpr Duration maxFailureBackoff = std::chrono::milliseconds(1'500);
// The last ten exchanges make up two thirds of the failure rate, which decays to half in two seconds.
constexpr double failureWeight = 0.1;
constexpr double failureHalfLife = 2'000'000; // Microseconds.

} // namespace

ReplicaHealth::ReplicaHealth(const Clock &clock, const ColdLimits &limits, Duration coldLeft, double phase)
    : clock_(clock)
    , limits_(limits)
    , phase_(phase)
    , coldUntil_(clock.now() + coldLeft)
{
    resetColdTokens();
}

void ReplicaHealth::setLimits(const ColdLimits &limits)
{
    limits_ = limits;
}

void ReplicaHealth::onEntryChanged(Duration coldLeft)
{
    if (!isCold()) {
        resetColdTokens();
    }
    restartSuspected_ = false;
    coldUntil_ = clock_.now() + coldLeft;
}

void ReplicaHealth::suspectCold()
{
    if (!isCold()) {
        resetColdTokens();
    }
    coldUntil_ = std::max(coldUntil_, clock_.now() + limits_.warmUp);
}

bool ReplicaHealth::isCold() const
{
    return restartSuspected_ || clock_.now() < coldUntil_;
}

void ReplicaHealth::resetColdTokens()
{
    coldTokens_ = phase_;
    coldTokensAt_ = clock_.now();
}

bool ReplicaHealth::tryAcquireColdSend()
{
    const TimePoint now = clock_.now();
    const double elapsed = std::chrono::duration<double>(now - coldTokensAt_).count();
    // The bucket holds at most one token, so that no second sees more than the share plus one.
    coldTokens_ = std::min(1.0, coldTokens_ + elapsed * limits_.requestsPerSecond);
    coldTokensAt_ = now;
    if (coldTokens_ < 1) {
        return false;
    }
    coldTokens_ -= 1;
    return true;
}

void ReplicaHealth::recordConnectFailure(bool silent)
{
    const unsigned doublings = std::min(consecutiveConnectFailures_, maxDoublings);
    ++consecutiveConnectFailures_;
    unreachableUntil_ = clock_.now() + std::min(maxConnectBackoff, minConnectBackoff * (1U << doublings));
    // A refused connect shows that the process ended; a silent one may be due to a lost packet.
    if (!isCold() && (!silent || consecutiveConnectFailures_ > 1)) {
        resetColdTokens();
        restartSuspected_ = true;
    }
}

void ReplicaHealth::recordConnect()
{
    consecutiveConnectFailures_ = 0;
}

unsigned ReplicaHealth::consecutiveConnectFailures() const
{
    return consecutiveConnectFailures_;
}

TimePoint ReplicaHealth::unreachableUntil() const
{
    return unreachableUntil_;
}

void ReplicaHealth::recordSuccess()
{
    if (restartSuspected_) {
        // It may have started just now, before its entry says so.
        restartSuspected_ = false;
        coldUntil_ = std::max(coldUntil_, clock_.now() + limits_.warmUp);
    }
    consecutiveFailures_ = 0;
    backoffUntil_ = {};
    failureRate_ = failureRate() * (1 - failureWeight);
    failureRateAt_ = clock_.now();
}

void ReplicaHealth::recordFailure()
{
    const TimePoint now = clock_.now();
    ++consecutiveFailures_;
    backoffUntil_ = now + std::min(maxFailureBackoff, failureBackoff * consecutiveFailures_);
    const double before = failureRate();
    failureRate_ = before + failureWeight * (1 - before);
    failureRateAt_ = now;
}

void ReplicaHealth::recordResponse()
{
    lastResponseAt_ = clock_.now();
}

void ReplicaHealth::onContactRegained()
{
    restartSuspected_ = false;
    consecutiveConnectFailures_ = 0;
    unreachableUntil_ = {};
    consecutiveFailures_ = 0;
    backoffUntil_ = {};
    failureRate_ = 0;
}

double ReplicaHealth::failureRate() const
{
    return failureRate_ * std::exp2(-static_cast<double>((clock_.now() - failureRateAt_).count()) / failureHalfLife);
}

bool ReplicaHealth::isInBackoff() const
{
    return clock_.now() < backoffUntil_;
}

Duration ReplicaHealth::sinceLastResponse() const
{
    return clock_.now() - lastResponseAt_;
}

} // namespace magnoliaspan
