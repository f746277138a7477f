/*
 * Selects the greatest records with a partial sort.
 */
#include "forward/GreatestRecords.h"

#include <algorithm>
#include <vector>

namespace magnoliaspan {

std::string greatestRecords(std::span<const std::string_view> bodies, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const std::string_view body : bodies) {
        for (std::size_t at = 0; at + recordBytes <= body.size(); at += recordBytes) {
            records.push_back(body.substr(at, recordBytes));
        }
    }
    const auto kept = static_cast<std::ptrdiff_t>(std::min(count, records.size()));
    // std::string_view compares as unsigned bytes.
    std::partial_sort(records.begin(), records.begin() + kept, records.end(), std::greater<>());
    std::string merged;
    merged.reserve(static_cast<std::size_t>(kept) * recordBytes);
    for (std::ptrdiff_t index = 0; index < kept; ++index) {
        merged += records[static_cast<std::size_t>(index)];
    }
    return merged;
}

} // namespace magnoliaspan
