/*
 * Part forward: what callers and targets say, without the names used on the wire.
 */
#pragma once

#include "core/Time.h"
#include "transport/Connection.h"

#include <optional>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief A caller's request, passed on unchanged.
struct ForwardRequest {
    std::string id;                   ///< Given by the caller; targets repeat it in their answers.
    std::optional<Duration> timeLeft; ///< How long the caller still waits, if it says so.
    std::string method;
    std::string target; ///< Path and query.
    std::string host;
    std::string body;
    std::vector<WireHeader> headers = {}; ///< End to end ones; without the id and the time left.
};

/// \brief What a target answered.
struct TargetResponse {
    unsigned status = 0;
    bool notRun = false;               ///< The target itself says that it did not run the request.
    bool otherTarget = false;          ///< Another target has the address now; implies notRun.
    bool encoded = false;              ///< The body is not the target's own bytes.
    bool closesConnection = false;     ///< The target is about to close the connection.
    std::string signature;             ///< Of this answer; empty when it has none.
    std::optional<Duration> keepAlive; ///< How long the target keeps an idle connection, if it says so.
    std::string body;
    std::vector<WireHeader> headers = {}; ///< End to end ones, with the id and the signature.
};

/// \returns whether \p answer is a success with the target's own bytes.
inline bool isSuccess(const TargetResponse &response)
{
    constexpr unsigned successClass = 2;
    return response.status / 100 == successClass && !response.signature.empty() && !response.encoded && !response.notRun;
}

} // namespace magnoliaspan
