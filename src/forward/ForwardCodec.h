/*
 * Part forward: translates between the wire and the messages of this part.
 */
#pragma once

#include "forward/ForwardMessages.h"
#include "request/Service.h"

#include <span>

namespace magnoliaspan {

/// \brief Knows the names on the wire; decides nothing.
class ForwardCodec
{
public:
    virtual ~ForwardCodec() = default;

    virtual ForwardRequest decodeRequest(ServiceRequest request) const = 0;

    /// \brief Writes \p request for the target \p targetId, which is to stop work after \p timeLeft.
    virtual WireRequest encodeRequest(const ForwardRequest &request, std::string_view targetId, Duration timeLeft) const = 0;

    virtual TargetResponse decodeResponse(WireReply reply) const = 0;

    /// \brief The answer to a request over several shards.
    /// \param signatures of the answers that are merged in \p body.
    /// \param missing shards that are left out.
    virtual ServiceReply encodeMergedResponse(std::span<const std::string> signatures, std::size_t missing, std::string body) const = 0;
};

/// \returns whether \p name concerns one connection only (RFC 9110, 7.6.1), so that it is not passed on.
bool isHopByHop(std::string_view name);

/// \brief Removes the fields that concern one connection only, those named by "Connection" included.
void removeHopByHop(std::vector<WireHeader> &headers);

/// \returns whether two header names are the same, whatever their case.
bool sameHeader(std::string_view a, std::string_view b);

} // namespace magnoliaspan
