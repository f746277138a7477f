/*
 * Translates between wire messages and the requests and responses of the forwarding code.
 */
#pragma once

#include "forward/ForwardMessages.h"
#include "request/Service.h"

#include <span>

namespace magnoliaspan {

/// \brief Encodes and decodes messages; holds the header names of the wire format and takes no decisions.
class ForwardCodec
{
public:
    virtual ~ForwardCodec() = default;

    virtual ForwardRequest decodeRequest(ServiceRequest request) const = 0;

    /// \brief Encodes \p request for the target \p targetId, which is to stop work after \p timeLeft.
    virtual WireRequest encodeRequest(const ForwardRequest &request, std::string_view targetId, Duration timeLeft) const = 0;

    virtual TargetResponse decodeResponse(WireReply reply) const = 0;

    /// \brief Encodes the response to a request over several shards.
    /// \param signatures of the responses merged in \p body.
    /// \param missing number of shards that \p body lacks.
    virtual ServiceReply encodeMergedResponse(std::span<const std::string> signatures, std::size_t missing, std::string body) const = 0;
};

/// \returns whether \p name is a hop-by-hop header field (RFC 9110, 7.6.1), which is not forwarded.
bool isHopByHop(std::string_view name);

/// \brief Removes all hop-by-hop header fields, including those named by "Connection".
void removeHopByHop(std::vector<WireHeader> &headers);

/// \returns whether two header names are equal, ignoring case.
bool sameHeader(std::string_view a, std::string_view b);

} // namespace magnoliaspan
