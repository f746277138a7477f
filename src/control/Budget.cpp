/*
 * Part control: the token bucket.
 */
#include "control/Budget.h"

#include <algorithm>
#include <cassert>

namespace magnoliaspan {

Budget::Budget(double ratio, double burst)
    : ratio_(ratio)
    , burst_(burst)
    , tokens_(ratio > 0 ? burst : 0)
{
    assert(ratio >= 0 && ratio <= 1 && "the ratio is a share");
}

void Budget::setRatio(double ratio)
{
    assert(ratio >= 0 && ratio <= 1 && "the ratio is a share");
    ratio_ = ratio;
}

void Budget::setBounds(double ratio, double burst)
{
    setRatio(ratio);
    burst_ = burst;
    tokens_ = std::min(tokens_, burst);
}

void Budget::earn()
{
    add(ratio_);
}

void Budget::add(double tokens)
{
    tokens_ = std::min(burst_, tokens_ + tokens);
}

bool Budget::spend()
{
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace magnoliaspan
