/*
 * Decides which responses state, keep or end a limit.
 */
#include "forward/TargetRequestLimit.h"

#include <algorithm>
#include <cassert>

namespace magnoliaspan {

namespace {

// Only a response can say that a limit no longer holds, so that a few requests are sent even to a target that takes none.
constexpr double minFleetRate = 0.5;

} // namespace

TargetRequestLimit::TargetRequestLimit(double phase)
    : allowance_(phase)
{
}

void TargetRequestLimit::setTrafficShare(double share, TimePoint now)
{
    trafficShare_ = share;
    if (perSecond_) {
        allowance_.setRate(allowedRate(), now);
    }
}

bool TargetRequestLimit::applyResponse(const RequestLimit &stated, TimePoint sentAt, bool refused, TimePoint now)
{
    const std::optional<double> before = perSecond_;
    switch (stated.kind) {
    case RequestLimit::Kind::Malformed:
        return false;
    case RequestLimit::Kind::Stated:
        perSecond_ = stated.perSecond;
        statedAt_ = now;
        break;
    case RequestLimit::Kind::None:
        // A response to an earlier request may have been sent before the limit was stated; a refusal says nothing of it.
        if (refused || sentAt <= statedAt_) {
            return false;
        }
        perSecond_.reset();
        break;
    }
    if (perSecond_ && !before) {
        allowance_.start(allowedRate(), now);
    } else if (perSecond_ && perSecond_ != before) {
        allowance_.setRate(allowedRate(), now);
    }
    return perSecond_ != before;
}

std::optional<double> TargetRequestLimit::perSecond() const
{
    return perSecond_;
}

bool TargetRequestLimit::permitsRequest(TimePoint now) const
{
    return !perSecond_ || allowance_.isAvailable(now);
}

void TargetRequestLimit::recordRequest(TimePoint now)
{
    if (perSecond_) {
        // A request may also be sent without a permission, if the limit was stated after its target was chosen.
        allowance_.tryAcquire(now);
    }
}

double TargetRequestLimit::allowedRate() const
{
    assert(perSecond_ && "only a target with a limit has an allowed rate");
    return std::max(minFleetRate, *perSecond_) * trafficShare_;
}

} // namespace magnoliaspan
