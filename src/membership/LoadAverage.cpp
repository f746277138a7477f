/*
 * Exchanges, epochs and the weight of this host.
 */
#include "membership/LoadAverage.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

// With four exchanges a second, two started by each host, estimates differ by a few percent after this time.
constexpr Duration epochLength = std::chrono::seconds(3);
constexpr unsigned minExchanges = 3;
// After three epochs without a result, others have divided the limits without this host.
constexpr Duration weightLifetime = 3 * epochLength;

} // namespace

LoadAverage::LoadAverage(const Clock &clock)
    : clock_(clock)
    , epochStartedAt_(clock.now())
    , weightBootTime_(clock.bootNow())
{
}

void LoadAverage::setLoad(double load)
{
    load_ = std::clamp(load, minLoad, maxLoad);
}

void LoadAverage::enterEpoch(std::uint64_t epoch)
{
    if (exchanges_ >= minExchanges) {
        weight_ = std::min(maxWeight, contributedLoad_ / std::max(minLoad, estimate_));
        weightBootTime_ = clock_.bootNow();
    }
    epoch_ = epoch;
    epochStartedAt_ = clock_.now();
    contributedLoad_ = load_;
    estimate_ = load_;
    exchanges_ = 0;
    pending_ = false;
}

void LoadAverage::merge(double estimate)
{
    estimate_ = (estimate_ + estimate) / 2;
    ++exchanges_;
}

LoadSample LoadAverage::startExchange()
{
    if (clock_.now() - epochStartedAt_ >= epochLength) {
        enterEpoch(epoch_ + 1);
    }
    pending_ = true;
    return {epoch_, estimate_};
}

std::optional<LoadSample> LoadAverage::answerExchange(const LoadSample &theirs)
{
    if (theirs.epoch > epoch_) {
        enterEpoch(theirs.epoch);
    }
    if (pending_) {
        return std::nullopt;
    }
    const LoadSample own{epoch_, estimate_};
    if (theirs.epoch == epoch_) {
        merge(theirs.estimate);
    }
    return own;
}

void LoadAverage::completeExchange(const LoadSample &theirs)
{
    if (theirs.epoch > epoch_) {
        enterEpoch(theirs.epoch);
    } else if (pending_ && theirs.epoch == epoch_) {
        merge(theirs.estimate);
    }
    pending_ = false;
}

void LoadAverage::dropExchange()
{
    pending_ = false;
}

double LoadAverage::weight() const
{
    return clock_.bootNow() - weightBootTime_ > weightLifetime ? std::min(1.0, weight_) : weight_;
}

} // namespace magnoliaspan
