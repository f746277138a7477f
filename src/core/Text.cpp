/*
 * Encodes text for the places where it is put.
 */
#include "core/Text.h"

#include <fmt/format.h>

namespace magnoliaspan {

namespace {

bool isAlphanumeric(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
}

} // namespace

std::string encodeQueryValue(std::string_view data)
{
    constexpr std::string_view otherLiterals = "-._~/";
    std::string text;
    for (const char byte : data) {
        if (isAlphanumeric(byte) || otherLiterals.find(byte) != std::string_view::npos) {
            text += byte;
            continue;
        }
        text += fmt::format("%{:02X}", static_cast<unsigned char>(byte));
    }
    return text;
}

} // namespace magnoliaspan
