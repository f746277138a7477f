/*
 * Implementation of the token bucket.
 */
#include "control/TokenBucket.h"

#include <algorithm>
#include <cassert>

namespace magnoliaspan {

TokenBucket::TokenBucket(double ratio, double burst)
    : ratio_(ratio)
    , burst_(burst)
    , tokens_(ratio > 0 ? burst : 0)
{
    assert(ratio >= 0 && ratio <= 1 && "the ratio must be from 0 to 1");
}

void TokenBucket::setRatio(double ratio)
{
    assert(ratio >= 0 && ratio <= 1 && "the ratio must be from 0 to 1");
    ratio_ = ratio;
}

void TokenBucket::setLimits(double ratio, double burst)
{
    setRatio(ratio);
    burst_ = burst;
    tokens_ = std::min(tokens_, burst);
}

void TokenBucket::recordRequest()
{
    add(ratio_);
}

void TokenBucket::add(double tokens)
{
    tokens_ = std::min(burst_, tokens_ + tokens);
}

bool TokenBucket::tryAcquire()
{
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace magnoliaspan
