/*
 * Seed of the random number generators of a process.
 */
#pragma once

#include <cstdint>
#include <random>

namespace magnoliaspan {

/// \returns 64 random bits from the operating system.
inline std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace magnoliaspan
