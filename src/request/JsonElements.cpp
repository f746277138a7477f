/*
 * Splits JSON text at the commas of its outermost array or object, without regard to what stands between them.
 */
#include "request/JsonElements.h"

#include <charconv>
#include <fmt/format.h>

namespace magnoliaspan::internal {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

std::string_view trim(std::string_view text)
{
    const auto start = std::min(text.size(), text.find_first_not_of(whitespace));
    return text.substr(start, text.find_last_not_of(whitespace) + 1 - start);
}

/// \returns the index behind the string that begins at \p start of \p text, or no value if it does not end.
std::optional<std::size_t> endOfString(std::string_view text, std::size_t start)
{
    for (std::size_t index = start + 1; index < text.size(); ++index) {
        if (text[index] == '\\') {
            ++index;
        } else if (text[index] == '"') {
            return index + 1;
        }
    }
    return std::nullopt;
}

/// \returns the parts of the array or object \p text between its commas, or no value if it does not end where \p text does.
std::optional<std::vector<std::string_view>> splitContainer(std::string_view text)
{
    std::vector<std::string_view> parts;
    std::size_t depth = 0;
    std::size_t start = 1;
    std::size_t index = 0;
    while (index < text.size()) {
        const char character = text[index];
        if (character == '"') {
            const auto end = endOfString(text, index);
            if (!end) {
                return std::nullopt;
            }
            index = *end;
            continue;
        }
        depth += character == '{' || character == '[' ? 1 : 0;
        const bool isClosing = character == '}' || character == ']';
        if (depth == 0 || (isClosing && depth == 1)) {
            break;
        }
        depth -= isClosing ? 1 : 0;
        if (character == ',' && depth == 1) {
            parts.push_back(trim(text.substr(start, index - start)));
            start = index + 1;
        }
        ++index;
    }
    if (depth != 1 || index + 1 != text.size()) {
        return std::nullopt;
    }
    const std::string_view last = trim(text.substr(start, index - start));
    if (!last.empty() || !parts.empty()) {
        parts.push_back(last);
    }
    return parts;
}

void appendUtf8(std::string &bytes, unsigned codePoint)
{
    constexpr unsigned bitsPerByte = 6;
    constexpr unsigned lowBits = 0x3F;
    const auto append = [&bytes](unsigned byte) { bytes += static_cast<char>(byte); };
    const auto appendRest = [&](unsigned count) {
        while (count-- > 0) {
            append(0x80U | ((codePoint >> (count * bitsPerByte)) & lowBits));
        }
    };
    if (codePoint < 0x80U) {
        append(codePoint);
    } else if (codePoint < 0x800U) {
        append(0xC0U | (codePoint >> bitsPerByte));
        appendRest(1);
    } else if (codePoint < 0x10000U) {
        append(0xE0U | (codePoint >> (2 * bitsPerByte)));
        appendRest(2);
    } else {
        append(0xF0U | (codePoint >> (3 * bitsPerByte)));
        appendRest(3);
    }
}

/// \returns the number of the escape \uXXXX at the start of \p text, or no value if there is none.
std::optional<unsigned> parseUnicodeEscape(std::string_view text)
{
    constexpr std::size_t length = 6;
    constexpr int hexadecimal = 16;
    if (text.size() < length || !text.starts_with("\\u")) {
        return std::nullopt;
    }
    unsigned number = 0;
    const char *end = text.data() + length;
    const auto parsed = std::from_chars(text.data() + 2, end, number, hexadecimal);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

/// Appends what the escape at the start of \p text stands for to \p bytes. \returns its length, or zero if it is malformed.
std::size_t appendEscape(std::string_view text, std::string &bytes)
{
    constexpr std::string_view names = "\"\\/bfnrt";
    constexpr std::string_view meanings = "\"\\/\b\f\n\r\t";
    constexpr std::size_t shortLength = 2;
    constexpr std::size_t unicodeLength = 6;
    const auto first = parseUnicodeEscape(text);
    if (!first) {
        const auto found = text.size() < shortLength ? std::string_view::npos : names.find(text[1]);
        if (found == std::string_view::npos) {
            return 0;
        }
        bytes += meanings[found];
        return shortLength;
    }
    const auto second = parseUnicodeEscape(text.substr(unicodeLength));
    const bool isPair = *first >= 0xD800U && *first < 0xDC00U && second && *second >= 0xDC00U && *second < 0xE000U;
    if (isPair) {
        appendUtf8(bytes, 0x10000U + ((*first - 0xD800U) << 10U) + (*second - 0xDC00U));
        return 2 * unicodeLength;
    }
    appendUtf8(bytes, *first);
    return unicodeLength;
}

/// \returns the bytes of the JSON string \p text with its quotes, or no value if it is none.
std::optional<std::string> decodeString(std::string_view text)
{
    if (!text.starts_with('"') || endOfString(text, 0) != text.size()) {
        return std::nullopt;
    }
    text = text.substr(1, text.size() - 2);
    std::string bytes;
    while (!text.empty()) {
        std::size_t length = 1;
        if (text.front() == '\\') {
            length = appendEscape(text, bytes);
        } else {
            bytes += text.front();
        }
        if (length == 0) {
            return std::nullopt;
        }
        text.remove_prefix(length);
    }
    return bytes;
}

/// \returns the text of the value if \p member of an object is called \p name, empty otherwise.
std::string_view valueOf(std::string_view member, std::string_view name)
{
    const auto end = member.starts_with('"') ? endOfString(member, 0) : std::nullopt;
    if (!end || decodeString(member.substr(0, *end)) != name) {
        return {};
    }
    const std::string_view rest = trim(member.substr(*end));
    return rest.starts_with(':') ? trim(rest.substr(1)) : std::string_view();
}

JsonElement parseElement(std::string_view text)
{
    // The library parses an element like an object, if it stands in one.
    auto parsed = parseObject(fmt::format(R"({{"element":{}}})", text));
    if (!parsed || parsed->size() != 1) {
        return {Json(Json::value_t::discarded), std::string(text)};
    }
    return {std::move((*parsed)["element"]), ""};
}

} // namespace

std::optional<JsonElementList> parseElements(std::string_view body, const std::string &name)
{
    JsonElementList list;
    if (auto object = parseObject(body)) {
        const auto array = object->find(name);
        if (array == object->end() || !array->is_array()) {
            return std::nullopt;
        }
        for (Json &element : *array) {
            list.elements.push_back({std::move(element), ""});
        }
        *array = Json::array();
        list.object = std::move(*object);
        return list;
    }
    const auto members = splitContainer(trim(body));
    if (!members || !trim(body).starts_with('{')) {
        return std::nullopt;
    }
    std::string_view array;
    std::string others;
    for (const std::string_view member : *members) {
        const std::string_view value = valueOf(member, name);
        if (value.starts_with('[')) {
            array = value;
            continue;
        }
        others += fmt::format("{},", member);
    }
    const auto elements = splitContainer(array);
    auto object = parseObject(fmt::format(R"({{{}"{}":[]}})", others, name));
    if (!elements || !object) {
        return std::nullopt;
    }
    list.object = std::move(*object);
    for (const std::string_view element : *elements) {
        list.elements.push_back(parseElement(element));
    }
    return list;
}

std::optional<std::string> findRawString(std::string_view text, std::string_view name)
{
    text = trim(text);
    const auto members = text.starts_with('{') ? splitContainer(text) : std::nullopt;
    std::optional<std::string> found;
    for (const std::string_view member : members.value_or(std::vector<std::string_view>())) {
        if (const std::string_view value = valueOf(member, name); !value.empty()) {
            found = decodeString(value);
        }
    }
    return found;
}

} // namespace magnoliaspan::internal
