/*
 * IPv4 address and port of a socket.
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

    // clang-tidy 14 mistakes the zero in the generated comparison for a null pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Endpoint &) const = default;

    /// \returns the endpoint given as ADDRESS:PORT with a port from 1 to 65535, or nothing if \p text has another form.
    static std::optional<Endpoint> parse(std::string_view text);

    /// \returns ADDRESS:PORT.
    std::string toString() const;
};

} // namespace magnoliaspan
