/*
 * Mutated input for fuzz tests of the parsers.
 */
#pragma once

#include <functional>
#include <random>
#include <string>

namespace magnoliaspan::testing {

/// Number of inputs that fuzz() generates.
inline constexpr int fuzzRounds = 4'000;

/// \returns \p text with one to four mutations: a changed byte, an erased or inserted piece, a repetition or a truncation.
std::string mutate(std::string text, std::mt19937_64 &random);

/// Calls \p parse with fuzzRounds mutations of \p good; the same \p seed generates the same ones.
void fuzz(const std::string &good, unsigned seed, const std::function<void(const std::string &)> &parse);

} // namespace magnoliaspan::testing
