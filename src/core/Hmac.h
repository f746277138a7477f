/*
 * Part core: the keyed hash by which hosts of one deployment know each other.
 */
#pragma once

#include <string>
#include <string_view>

namespace magnoliaspan {

/// \returns HMAC-SHA-256 (RFC 2104) of \p message under \p key, as 64 lower-case hexadecimal digits.
std::string hmacSha256(std::string_view key, std::string_view message);

/// \returns whether both are the same, in a time that does not tell where they differ.
bool sameDigest(std::string_view a, std::string_view b);

} // namespace magnoliaspan
