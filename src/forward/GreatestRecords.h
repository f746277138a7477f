/*
 * Part forward: merges the answers of several shards into their greatest records.
 */
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// Length of a record in bytes; a shorter rest of an answer is none.
inline constexpr std::size_t recordBytes = 16;

/// \returns the greatest \p count records of all \p bodies, compared byte by byte as unsigned, the greatest first;
/// equal records all count.
std::string greatestRecords(std::span<const std::string_view> bodies, std::size_t count);

} // namespace magnoliaspan
