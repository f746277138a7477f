/*
 * Reads JSON objects with an array whose elements have many authors: a malformed element spoils none of the others.
 * Included by codecs only, because the JSON library is slow to compile.
 */
#pragma once

#include "request/JsonFields.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan::internal {

/// \brief One element of an array.
struct JsonElement {
    Json value;       ///< Discarded if the element is malformed, not UTF-8 or nested deeper than maxJsonDepth.
    std::string text; ///< As sent, if the element is malformed; empty otherwise.
};

/// \brief A JSON object without the elements of one of its arrays.
struct JsonElementList {
    Json object; ///< The array is empty.
    std::vector<JsonElement> elements;
};

/// \returns the object in \p body and the elements of its array \p name, or no value if the object is malformed apart from these
/// elements, or has no such array.
std::optional<JsonElementList> parseElements(std::string_view body, const std::string &name);

/// \returns the string \p name of the object in \p text, which need not be valid otherwise, or no value if there is none. The
/// string has the bytes that were sent; half of a surrogate pair is three bytes, as if it were a code point.
std::optional<std::string> findRawString(std::string_view text, std::string_view name);

} // namespace magnoliaspan::internal
