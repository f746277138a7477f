/*
 * Keyed hash (HMAC) with which the hosts of one deployment authenticate their messages.
 */
#pragma once

#include <string>
#include <string_view>

namespace magnoliaspan {

/// \returns HMAC-SHA-256 (RFC 2104) of \p message under \p key, as 64 lower-case hexadecimal digits.
std::string hmacSha256(std::string_view key, std::string_view message);

/// \brief Compares in constant time for digests of one length, so that the duration does not reveal the position of a difference.
/// \returns whether both digests are equal.
bool sameDigest(std::string_view a, std::string_view b);

} // namespace magnoliaspan
