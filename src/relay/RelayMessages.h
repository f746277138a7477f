/*
 * Messages by which a host reads the published state from another host: HTTP with a keyed hash.
 */
#pragma once

#include "discovery/DiscoverySource.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Request for the changes after a revision, or for the whole state.
struct RelayRequest {
    std::optional<StatePosition> after; ///< No value requests the whole state.
    Duration wait{};                    ///< Time to wait for a change if there is none yet; sent in whole milliseconds.
};

/// \brief Encodes and decodes requests and responses.
class RelayCodec
{
public:
    /// \param key shared by all hosts of the deployment.
    explicit RelayCodec(std::string key);

    /// \returns the path and query of \p request.
    static std::string encode(const RelayRequest &request);

    /// \returns the request encoded in \p target (path and query), or no value if it is malformed.
    static std::optional<RelayRequest> decodeRequest(std::string_view target);

    /// \returns the keyed hash of \p text, which proves that its author has the key.
    std::string sign(std::string_view text) const;

    /// \returns the body of a response: all fields of \p result except its decoded changes.
    std::string encode(const DiscoveryReadResult &result) const;

    /// \brief Decodes a response body and, with \p decoder, the changes in it.
    /// \returns the result, or no value if \p body is malformed or signed with another key.
    std::optional<DiscoveryReadResult> decode(std::string_view body, const ItemDecoder &decoder) const;

private:
    std::string key_;
};

} // namespace magnoliaspan
