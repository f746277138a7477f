/*
 * Mutations of input for fuzz tests.
 */
#include "Fuzzing.h"

namespace magnoliaspan::testing {

std::string mutate(std::string text, std::mt19937_64 &random)
{
    const auto pieces
        = {"{", "}", "[", "]", ":", "\"", "\\u0000", "\xff", "-", "9999999999999999999", "null", "\n", "  ", "&a *a", "!!binary", "1e999"};
    const int changes = 1 + static_cast<int>(random() % 4);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t place = random() % text.size();
        switch (random() % 5) {
        case 0:
            text[place] = static_cast<char>(random());
            break;
        case 1:
            text.erase(place, 1 + random() % 8);
            break;
        case 2:
            text.insert(place, *(pieces.begin() + static_cast<std::ptrdiff_t>(random() % pieces.size())));
            break;
        case 3:
            text.insert(place, text.substr(random() % text.size(), random() % 40));
            break;
        default:
            text.resize(place);
            break;
        }
    }
    return text;
}

void fuzz(const std::string &good, unsigned seed, const std::function<void(const std::string &)> &parse)
{
    std::mt19937_64 random(seed);
    for (int i = 0; i < fuzzRounds; ++i) {
        parse(mutate(good, random));
    }
}

} // namespace magnoliaspan::testing
