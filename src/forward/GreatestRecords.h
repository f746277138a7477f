/*
 * Merges the responses of several shards into their greatest records.
 */
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// Size of a record in bytes; a shorter rest of a body is ignored.
inline constexpr std::size_t recordBytes = 16;

/// \returns the greatest \p count records of all \p bodies in descending order, compared bytewise as unsigned; duplicates
/// are kept.
std::string greatestRecords(std::span<const std::string_view> bodies, std::size_t count);

} // namespace magnoliaspan
