/*
 * Encodes text for the places where it is put.
 */
#include "core/Text.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace magnoliaspan {

namespace {

bool isAlphanumeric(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
}

bool isControl(char character)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char del = 0x7F;
    const auto byte = static_cast<unsigned char>(character);
    return byte < firstPrintable || byte == del;
}

bool isPrintable(char character)
{
    return !isControl(character) && static_cast<unsigned char>(character) < 0x80U;
}

bool isBlank(char character)
{
    return character == ' ' || character == '\t';
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

bool isRequestTarget(std::string_view text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(), [](char character) { return isControl(character) || character == ' '; });
}

bool isToken(std::string_view text)
{
    constexpr std::string_view otherCharacters = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [otherCharacters](char character) {
        return isAlphanumeric(character) || otherCharacters.find(character) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view text)
{
    if (!text.empty() && (isBlank(text.front()) || isBlank(text.back()))) {
        return false;
    }
    return std::none_of(text.begin(), text.end(), [](char character) { return isControl(character) && character != '\t'; });
}

std::string escapeForLog(std::string text)
{
    if (std::all_of(text.begin(), text.end(), isPrintable)) {
        return text;
    }
    std::string escaped;
    for (const char byte : text) {
        if (isPrintable(byte)) {
            escaped += byte;
            continue;
        }
        escaped += fmt::format("\\x{:02x}", static_cast<unsigned char>(byte));
    }
    return escaped;
}

std::string quoteForLog(std::string_view value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character;
    }
    return fmt::format("\"{}\"", escapeForLog(std::move(escaped)));
}

std::string toLogValue(std::string_view value)
{
    constexpr std::string_view special = " \"\\";
    const bool isPlain = std::all_of(value.begin(), value.end(), [special](char character) {
        return isPrintable(character) && special.find(character) == std::string_view::npos;
    });
    return isPlain ? std::string(value) : quoteForLog(value);
}

} // namespace magnoliaspan
