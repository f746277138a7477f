/*
 * Part core: an IP address and port.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief IPv4 address in dotted form with a port; never a host name.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    // clang-tidy 14 takes the zero that is compared with here for a pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Endpoint &) const = default;

    /// \returns the endpoint written as ADDRESS:PORT, or nothing when \p text is not one.
    static std::optional<Endpoint> parse(std::string_view text);

    /// \returns ADDRESS:PORT.
    std::string toString() const;
};

} // namespace magnoliaspan
