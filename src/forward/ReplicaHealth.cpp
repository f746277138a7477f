/*
 * Part forward: the rules of belief.
 */
#include "forward/ReplicaHealth.h"

#include <algorithm>
#include <cmath>

namespace magnoliaspan {

namespace {

constexpr Duration firstUnreachable = std::chrono::milliseconds(200);
// Bounds how late a target that is back is noticed.
constexpr Duration maxUnreachable = std::chrono::seconds(2);
constexpr unsigned maxDoublings = 5;
// A target that sheds has a slot free again within some requests' time.
constexpr Duration firstAside = std::chrono::milliseconds(60);
constexpr Duration maxAside = std::chrono::milliseconds(1'500);
// Ten exchanges make up two thirds of the failure rate; half of it is forgotten in two seconds.
constexpr double failureWeight = 0.1;
constexpr double failureHalfLife = 2'000'000; // Microseconds.

} // namespace

ReplicaHealth::ReplicaHealth(const Clock &clock, const ColdLimits &limits, Duration coldLeft, double phase)
    : clock_(clock)
    , limits_(limits)
    , phase_(phase)
    , coldUntil_(clock.now() + coldLeft)
{
    startColdShare();
}

void ReplicaHealth::setLimits(const ColdLimits &limits)
{
    limits_ = limits;
}

void ReplicaHealth::entryChanged(Duration coldLeft)
{
    if (!cold()) {
        startColdShare();
    }
    coldUnknown_ = false;
    coldUntil_ = clock_.now() + coldLeft;
}

void ReplicaHealth::suspectCold()
{
    if (!cold()) {
        startColdShare();
    }
    coldUntil_ = std::max(coldUntil_, clock_.now() + limits_.warmUp);
}

bool ReplicaHealth::cold() const
{
    return coldUnknown_ || clock_.now() < coldUntil_;
}

void ReplicaHealth::startColdShare()
{
    coldTokens_ = phase_;
    coldTokensAt_ = clock_.now();
}

bool ReplicaHealth::takeColdSend()
{
    const TimePoint now = clock_.now();
    const double passed = std::chrono::duration<double>(now - coldTokensAt_).count();
    // At most one token is held, so that no second sees more than the share and one.
    coldTokens_ = std::min(1.0, coldTokens_ + passed * limits_.perSecond);
    coldTokensAt_ = now;
    if (coldTokens_ < 1) {
        return false;
    }
    coldTokens_ -= 1;
    return true;
}

void ReplicaHealth::connectFailed(bool silent)
{
    const unsigned doublings = std::min(connectFailures_, maxDoublings);
    ++connectFailures_;
    unreachableUntil_ = clock_.now() + std::min(maxUnreachable, firstUnreachable * (1U << doublings));
    // A refused connect shows that the process ended; a silent one may be a lost packet.
    if (!cold() && (!silent || connectFailures_ > 1)) {
        startColdShare();
        coldUnknown_ = true;
    }
}

void ReplicaHealth::connected()
{
    connectFailures_ = 0;
}

unsigned ReplicaHealth::connectFailures() const
{
    return connectFailures_;
}

TimePoint ReplicaHealth::unreachableUntil() const
{
    return unreachableUntil_;
}

void ReplicaHealth::succeeded()
{
    if (coldUnknown_) {
        // It may have started just now, and its entry has not said so yet.
        coldUnknown_ = false;
        coldUntil_ = std::max(coldUntil_, clock_.now() + limits_.warmUp);
    }
    failures_ = 0;
    asideUntil_ = {};
    failureRate_ = failureRate() * (1 - failureWeight);
    failureRateAt_ = clock_.now();
}

void ReplicaHealth::failed()
{
    const TimePoint now = clock_.now();
    ++failures_;
    asideUntil_ = now + std::min(maxAside, firstAside * failures_);
    const double before = failureRate();
    failureRate_ = before + failureWeight * (1 - before);
    failureRateAt_ = now;
}

void ReplicaHealth::heard()
{
    lastHeard_ = clock_.now();
}

double ReplicaHealth::failureRate() const
{
    return failureRate_ * std::exp2(-static_cast<double>((clock_.now() - failureRateAt_).count()) / failureHalfLife);
}

bool ReplicaHealth::setAside() const
{
    return clock_.now() < asideUntil_;
}

Duration ReplicaHealth::sinceHeard() const
{
    return clock_.now() - lastHeard_;
}

} // namespace magnoliaspan
