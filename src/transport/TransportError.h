/*
 * Error codes of connections and exchanges, independent of the I/O library.
 */
#pragma once

#include <system_error>

namespace magnoliaspan {

/// Why a connection or an exchange failed.
enum class TransportError {
    ConnectFailed = 1, ///< The connection attempt was refused or not answered.
    ConnectionLost,    ///< The connection ended before a complete response arrived.
    MalformedReply,    ///< The response was not valid HTTP or exceeded its size limits.
    Silent,            ///< No byte arrived within the progress deadline.
    UnsendableRequest, ///< The target or a field of the request would be read as something else; nothing was sent.
};

/// \returns the error category of TransportError.
const std::error_category &transportCategory();

/// \returns \p error as an error code.
std::error_code make_error_code(TransportError error); // NOLINT(readability-identifier-naming): name fixed by the standard library

} // namespace magnoliaspan

template <>
struct std::is_error_code_enum<magnoliaspan::TransportError> : std::true_type {
};
