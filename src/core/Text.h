/*
 * Text utilities.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan {

/// \returns the comma-separated parts of \p text, not trimmed; an empty list for an empty text.
inline std::vector<std::string_view> splitAtCommas(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const auto comma = text.find(',');
        parts.push_back(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return parts;
}

/// \returns \p data as it stands for itself in the value of a query (RFC 3986, 2 and 3.4): all bytes but unreserved characters
/// and slashes are percent-encoded.
std::string encodeQueryValue(std::string_view data);

/// \returns whether \p text can be the target in the first line of a request: it is not empty and holds neither blanks nor control
/// characters.
bool isRequestTarget(std::string_view text);

/// \returns whether \p text can be the name of a header field, or a method: a token (RFC 9110, 5.6.2).
bool isToken(std::string_view text);

/// \returns whether \p text arrives as it is when it is sent as the value of a header field (RFC 9110, 5.5): it holds no control
/// characters but tabs, and neither begins nor ends with white space.
bool isFieldValue(std::string_view text);

/// \returns \p text as a part of one log line: all bytes but printable ASCII characters are replaced by \xNN.
std::string escapeForLog(std::string text);

/// \returns \p value in quotes, with quotes, backslashes and all bytes but printable ASCII characters escaped.
std::string quoteForLog(std::string_view value);

/// \returns \p value, which anybody may have written, as the value of a log field: as by quoteForLog() if it holds a blank or one of
/// the characters that are escaped there, as it is otherwise.
std::string toLogValue(std::string_view value);

} // namespace magnoliaspan
