/*
 * Implements the keyed hash with OpenSSL.
 */
#include "core/Hmac.h"

#include <array>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace magnoliaspan {

std::string hmacSha256(std::string_view key, std::string_view message)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(message.data()),
         message.size(),
         digest.data(),
         &length);
    std::string hex;
    for (unsigned i = 0; i < length; ++i) {
        fmt::format_to(std::back_inserter(hex), "{:02x}", digest.at(i));
    }
    return hex;
}

bool sameDigest(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace magnoliaspan
