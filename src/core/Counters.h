/*
 * Metrics of one process: counters, quantiles and histograms, exported in the Prometheus text exposition format.
 */
#pragma once

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \returns \p text, which anybody may have written, as the value of a label between its quotes.
std::string toLabelValue(std::string_view text);

/// \brief Registry of named counters and latency distributions.
class Counters
{
public:
    Counters();
    ~Counters();

    /// \brief Adds \p amount to the counter \p name; labels are part of the name, as in a{b="c"}, their values our own words or from
    /// toLabelValue().
    void add(std::string_view name, std::uint64_t amount = 1);

    /// \returns the value of the counter \p name, zero if nothing was added to it.
    std::uint64_t value(std::string_view name) const;

    /// \brief Adds one observation to the distribution \p name; exported in seconds. Labels as in add().
    void observe(std::string_view name, Duration value);

    /// \returns all metrics in the text exposition format.
    std::string exposition() const;

private:
    class Summary;
    std::map<std::string, std::uint64_t, std::less<>> counts_;
    std::map<std::string, std::unique_ptr<Summary>, std::less<>> summaries_;
};

} // namespace magnoliaspan
