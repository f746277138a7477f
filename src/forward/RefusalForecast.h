/*
 * Predicts whether a request over shards reaches its coverage while targets refuse a share of the attempts.
 *
 * Each refused attempt needs a retry, and retries are limited by a budget for each service. A request that runs out of them
 * on too many shards fails, and the retries that it used are missing in others. So it is better not to start it.
 */
#pragma once

#include "core/Time.h"

#include <span>

namespace magnoliaspan {

/// \brief Recent share of attempts that targets refused, over all shards of a route.
/// One request over many shards shows it, while each single replica is asked too seldom.
class RefusalShare
{
public:
    /// \brief Records the attempts of one request.
    /// \param attempts at least one.
    void add(unsigned refused, unsigned attempts, TimePoint now);

    /// \returns the share, 0 to 1; it decays without further requests, so that targets are tried again.
    double current(TimePoint now) const;

private:
    double share_ = 0; // At updatedAt_.
    TimePoint updatedAt_{};
};

/// \returns the expected number of shards on which an attempt and all its retries are refused.
/// \param refusalShare probability that one attempt is refused, 0 to 1.
/// \param retries that each shard may make.
double expectedMissingShards(double refusalShare, std::span<const unsigned> retries);

/// \returns whether so many shards are expected to be missing that the request is very likely to fail.
/// \param allowedMissing shards that may be missing at the minimum coverage.
bool isCoverageUnlikely(double expectedMissing, double allowedMissing);

} // namespace magnoliaspan
