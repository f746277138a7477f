/*
 * Parses and formats endpoints.
 */
#include "core/Endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace magnoliaspan {

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    Endpoint endpoint;
    endpoint.address = std::string(text.substr(0, colon));
    in_addr parsed{};
    // The library reads up to the first NUL.
    const bool hasNul = endpoint.address.find('\0') != std::string::npos;
    if (hasNul || inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    if (error != std::errc{} || end != digits.data() + digits.size() || endpoint.port == 0) {
        return std::nullopt;
    }
    return endpoint;
}

std::string Endpoint::toString() const
{
    return address + ':' + std::to_string(port);
}

} // namespace magnoliaspan
