/*
 * Base64 encoding of the values that the tests' stores hold.
 */
#pragma once

#include <openssl/evp.h>
#include <string>
#include <string_view>

namespace magnoliaspan::testing {

inline std::string toBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),        // NOLINT: the library's byte type
                                       reinterpret_cast<const unsigned char *>(bytes.data()), // NOLINT: the library's byte type
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

} // namespace magnoliaspan::testing
