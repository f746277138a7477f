/*
 * Part relay: what a host asks of another and gets, over HTTP with a keyed hash.
 */
#pragma once

#include "discovery/DiscoverySource.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Asks for what changed, or for everything.
struct RelayRequest {
    std::optional<std::int64_t> after; ///< Nothing asks for everything.
    Duration wait{};                   ///< How long to wait for a change.
};

/// \brief Writes and reads both messages.
class RelayCodec
{
public:
    explicit RelayCodec(std::string key);

    /// \returns the path and query of a request.
    static std::string encode(const RelayRequest &request);

    /// \returns the request of \p target, nothing when it is malformed.
    static std::optional<RelayRequest> decodeRequest(std::string_view target);

    /// \returns what proves that \p text was written by a host with the same key.
    std::string sign(std::string_view text) const;

    /// \returns the body of an answer: all of \p reading but its changes.
    std::string encode(const DiscoveryReadResult &result) const;

    /// \returns the reading with its changes decoded by \p decoder, nothing when \p body is malformed or has another key.
    std::optional<DiscoveryReadResult> decode(std::string_view body, const ItemDecoder &decoder) const;

private:
    std::string key_;
};

} // namespace magnoliaspan
