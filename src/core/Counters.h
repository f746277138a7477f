/*
 * Part core: counters, quantiles and histograms of one process, in the text exposition format.
 */
#pragma once

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Named counters and latency summaries.
class Counters
{
public:
    Counters();
    ~Counters();

    /// \brief Adds \p amount to the counter \p name; labels are part of the name, as in a{b="c"}.
    void add(std::string_view name, std::uint64_t amount = 1);

    /// \returns the counter's value, zero when it was never added to.
    std::uint64_t value(std::string_view name) const;

    /// \brief Adds one observation to the distribution \p name, in seconds on output; labels as in add().
    void observe(std::string_view name, Duration value);

    /// \returns all metrics in the text exposition format.
    std::string exposition() const;

private:
    class Summary;
    std::map<std::string, std::uint64_t, std::less<>> counts_;
    std::map<std::string, std::unique_ptr<Summary>, std::less<>> summaries_;
};

} // namespace magnoliaspan
