/*
 * Messages by which a host passes a caller's request to another host: HTTP bodies with a keyed hash.
 */
#pragma once

#include "forward/ForwardMessages.h"
#include "request/Service.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief A request as passed on.
struct HandoffCall {
    ForwardRequest request; ///< With the time that the caller still waits.
    Duration goalLeft{};    ///< Until the latency goal; negative if that has expired. Sent in whole microseconds.
};

/// \brief The reply to it.
struct HandoffAnswer {
    ServiceReply reply;            ///< For the caller.
    bool targetsReachable = true;  ///< Whether the answering host reaches any target at all.
    bool servicesReachable = true; ///< Whether it reaches enough of the services that the request needs.
};

/// \brief Encodes and decodes calls and answers. Fields are strings with their length in front ("netstrings"), so that all
/// bytes of a caller's request are kept.
class HandoffCodec
{
public:
    /// Path of the calls.
    static constexpr std::string_view path = "/handoff";

    /// \param key shared by all hosts of the deployment.
    explicit HandoffCodec(std::string key);

    std::string encode(const HandoffCall &call) const;

    /// \returns the call, or no value if \p body is malformed or signed with another key.
    std::optional<HandoffCall> decodeCall(std::string_view body) const;

    std::string encode(const HandoffAnswer &answer) const;

    /// \returns the answer, or no value if \p body is malformed or signed with another key.
    std::optional<HandoffAnswer> decodeAnswer(std::string_view body) const;

private:
    std::string sign(std::string_view kind, std::string_view fields) const;
    std::optional<std::string_view> verify(std::string_view kind, std::string_view body) const;

    std::string key_;
};

} // namespace magnoliaspan
