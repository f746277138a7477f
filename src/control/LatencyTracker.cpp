/*
 * Window of latency samples in a Boost.Accumulators set.
 */
#include "control/LatencyTracker.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace magnoliaspan {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> probabilities = {0.25, 0.5, 0.75, 0.95};
constexpr std::size_t samplesPerWindow = 512;
constexpr std::size_t samplesBeforeFirstUse = 16;

} // namespace

class LatencyTracker::Window
{
public:
    Window()
        : accumulators_(acc::extended_p_square_probabilities = probabilities)
    {
    }

    void add(double value)
    {
        accumulators_(value);
    }

    std::size_t count() const
    {
        return acc::count(accumulators_);
    }

    Duration quantile(double probability) const
    {
        return Duration(static_cast<Duration::rep>(acc::quantile(accumulators_, acc::quantile_probability = probability)));
    }

private:
    acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square_quantile, acc::tag::count>> accumulators_;
};

LatencyTracker::LatencyTracker()
    : window_(std::make_unique<Window>())
{
}

LatencyTracker::~LatencyTracker() = default;
LatencyTracker::LatencyTracker(LatencyTracker &&) noexcept = default;
LatencyTracker &LatencyTracker::operator=(LatencyTracker &&) noexcept = default;

void LatencyTracker::add(Duration latency)
{
    window_->add(static_cast<double>(latency.count()));
    const std::size_t count = window_->count();
    if (count == samplesPerWindow) {
        updateQuantiles(*window_);
        hasFullWindow_ = true;
        window_ = std::make_unique<Window>();
    } else if (!hasFullWindow_ && count % samplesBeforeFirstUse == 0) {
        updateQuantiles(*window_);
    }
}

void LatencyTracker::updateQuantiles(const Window &window)
{
    median_ = window.quantile(0.5);
    p95_ = window.quantile(0.95);
}

Duration LatencyTracker::median() const
{
    return median_;
}

Duration LatencyTracker::p95() const
{
    return p95_;
}

} // namespace magnoliaspan
