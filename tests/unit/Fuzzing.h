/*
 * Unit tests: damaged input for the parsers.
 */
#pragma once

#include <functional>
#include <random>
#include <string>

namespace magnoliaspan::testing {

/// Inputs that fuzz() makes.
inline constexpr int fuzzRounds = 4'000;

/// \returns \p text with one to four changes: bytes, pieces of documents, repeats, a cut.
std::string mutate(std::string text, std::mt19937_64 &random);

/// Hands fuzzRounds damaged forms of \p good to \p parse, the same ones for the same seed.
void fuzz(const std::string &good, unsigned seed, const std::function<void(const std::string &)> &parse);

} // namespace magnoliaspan::testing
