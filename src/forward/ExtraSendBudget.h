/*
 * Budget of one service for attempts beyond the first of each request.
 */
#pragma once

#include "core/SlidingCount.h"

namespace magnoliaspan {

/// \brief Limit on the extra attempts of all hosts, and this host's part of it.
struct ExtraSendLimits {
    double ratio = 0;  ///< Extra attempts allowed for each request to the service.
    double slack = 0;  ///< Extra attempts of all hosts allowed beyond that, in any SlidingCount::window.
    double hosts = 1;  ///< Hosts among which the slack is divided.
    double weight = 1; ///< Traffic of this host relative to the mean of all hosts; the weights of all hosts add up to hosts.
};

/// \brief Admits extra attempts within this host's part of the limit.
///
/// The published limit holds for any window of ten seconds, and the attempts are counted over at least that long. So the parts
/// of all hosts together stay within the limit, whether attempts come one by one or all at once.
class ExtraSendBudget
{
public:
    void recordRequest(TimePoint now);

    /// \brief Acquires permission for one extra attempt.
    /// \returns false if the budget is used up.
    bool tryAcquire(const ExtraSendLimits &limits, TimePoint now);

    /// \returns extra attempts that this host may still make now; below one if none.
    double remaining(const ExtraSendLimits &limits, TimePoint now) const;

private:
    SlidingCount requests_;
    SlidingCount extraSends_;
};

} // namespace magnoliaspan
