/*
 * This host's part: a share of its own requests, and of the slack by its share of the traffic.
 */
#include "forward/ExtraSendBudget.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

// The rest of the ratio covers requests that targets count in another window than this host.
constexpr double ratioShare = 0.9;
// Traffic that moves from one host to another within a window lets both use their parts; the rest of the slack covers that,
// and the hosts whose part is less than one.
constexpr double slackShare = 0.7;
// With a part of less than one, no extra attempt could ever be made.
constexpr double minSlackPart = 1;

} // namespace

void ExtraSendBudget::recordRequest(TimePoint now)
{
    requests_.add(now);
}

double ExtraSendBudget::remaining(const ExtraSendLimits &limits, TimePoint now) const
{
    const double slackPart = slackShare * limits.slack * limits.weight / std::max(1.0, limits.hosts);
    return ratioShare * limits.ratio * requests_.count(now) + std::max(minSlackPart, slackPart) - extraSends_.count(now);
}

bool ExtraSendBudget::tryAcquire(const ExtraSendLimits &limits, TimePoint now)
{
    if (remaining(limits, now) < 1) {
        return false;
    }
    extraSends_.add(now);
    return true;
}

} // namespace magnoliaspan
