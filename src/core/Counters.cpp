/*
 * Implements the metrics with Boost.Accumulators and writes the text exposition format.
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

// Upper bounds of the histogram buckets, in seconds; denser between 0.1 and 1 s, the range of the latency goals.
constexpr std::array<double, 14> bucketBounds = {0.001, 0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10};

/// A metric name split into base name and labels.
struct MetricName {
    std::string_view base;
    std::string_view labels; // With a trailing comma, or empty.
};

MetricName split(std::string_view name, std::string &storage)
{
    const auto brace = name.find('{');
    if (brace == std::string_view::npos) {
        return {name, ""};
    }
    storage = fmt::format("{},", name.substr(brace + 1, name.size() - brace - 2));
    return {name.substr(0, brace), storage};
}

} // namespace

std::string toLabelValue(std::string_view text)
{
    std::string value;
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            value += '\\';
        }
        value += character == '\n' ? std::string_view("\\n") : std::string_view(&character, 1);
    }
    return value;
}

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
        for (std::size_t bucket = 0; bucket < bucketBounds.size(); ++bucket) {
            buckets_[bucket] += seconds <= bucketBounds[bucket] ? 1 : 0;
        }
    }

    void write(std::string &out, std::string_view name) const
    {
        std::string storage;
        const auto [base, labels] = split(name, storage);
        for (const double probability : quantiles) {
            const double value = acc::quantile(set_, acc::quantile_probability = probability);
            out += fmt::format("{}{{{}quantile=\"{}\"}} {:.6f}\n", base, labels, probability, value);
        }
        for (std::size_t bucket = 0; bucket < bucketBounds.size(); ++bucket) {
            out += fmt::format("{}_bucket{{{}le=\"{}\"}} {}\n", base, labels, bucketBounds[bucket], buckets_[bucket]);
        }
        out += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", base, labels, acc::count(set_));
        const std::string_view bare = labels.empty() ? labels : labels.substr(0, labels.size() - 1);
        out += fmt::format("{0}_sum{{{1}}} {2:.6f}\n{0}_count{{{1}}} {3}\n", base, bare, acc::sum(set_), acc::count(set_));
    }

private:
    std::array<std::uint64_t, bucketBounds.size()> buckets_{}; // Cumulative, as required by the text format.
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
