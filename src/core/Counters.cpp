/*
 * Part core: metrics over Boost.Accumulators.
 */
#include "core/Counters.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles = {0.5, 0.99, 0.999};

} // namespace

class Counters::Summary
{
public:
    Summary()
        : set_(acc::extended_p_square_probabilities = quantiles)
    {
    }

    void add(double seconds)
    {
        set_(seconds);
    }

    void write(std::string &out, std::string_view name) const
    {
        for (const double probability : quantiles) {
            const double value = acc::quantile(set_, acc::quantile_probability = probability);
            out += fmt::format("{}{{quantile=\"{}\"}} {:.6f}\n", name, probability, value);
        }
        out += fmt::format("{}_sum {:.6f}\n{}_count {}\n", name, acc::sum(set_), name, acc::count(set_));
    }

private:
    acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square_quantile, acc::tag::sum, acc::tag::count>> set_;
};

Counters::Counters() = default;
Counters::~Counters() = default;

void Counters::add(std::string_view name, std::uint64_t amount)
{
    const auto found = counts_.find(name);
    if (found != counts_.end()) {
        found->second += amount;
        return;
    }
    counts_.emplace(name, amount);
}

std::uint64_t Counters::value(std::string_view name) const
{
    const auto found = counts_.find(name);
    return found == counts_.end() ? 0 : found->second;
}

void Counters::observe(std::string_view name, Duration value)
{
    auto found = summaries_.find(name);
    if (found == summaries_.end()) {
        found = summaries_.emplace(std::string(name), std::make_unique<Summary>()).first;
    }
    found->second->add(std::chrono::duration<double>(value).count());
}

std::string Counters::exposition() const
{
    std::string out;
    for (const auto &[name, value] : counts_) {
        out += fmt::format("{} {}\n", name, value);
    }
    for (const auto &[name, summary] : summaries_) {
        summary->write(out, name);
    }
    return out;
}

} // namespace magnoliaspan
