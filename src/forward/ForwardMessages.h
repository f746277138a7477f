/*
 * Requests of callers and responses of targets, independent of the wire format.
 */
#pragma once

#include "core/Time.h"
#include "transport/Connection.h"

#include <optional>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief A caller's request, forwarded unchanged.
struct ForwardRequest {
    std::string id;                   ///< Given by the caller; targets repeat it in their responses.
    std::optional<Duration> timeLeft; ///< How long the caller still waits, if it says so.
    std::string method;
    std::string target; ///< Path and query.
    std::string host;
    std::string body;
    std::vector<WireHeader> headers = {}; ///< End-to-end fields, without the id and the time left.
};

/// \brief The rate of requests, of all hosts together, that a target states in a response.
struct RequestLimit {
    /// What the response says.
    enum class Kind {
        None,      ///< No limit.
        Stated,    ///< The limit perSecond.
        Malformed, ///< A limit that cannot be read.
    };

    Kind kind = Kind::None;
    double perSecond = 0; ///< Finite and not negative; valid for Stated.
};

/// \brief The time for which a target that refuses a request wants no others from this host.
struct RequestedPause {
    /// What the response says.
    enum class Kind {
        None,      ///< No pause.
        Stated,    ///< The pause duration.
        Malformed, ///< A pause that cannot be read.
    };

    Kind kind = Kind::None;
    Duration duration{};   ///< Not negative; valid for Stated.
    std::string malformed; ///< The value that cannot be read, shortened; empty if all can be read.
};

/// \brief Response of a target.
struct TargetResponse {
    unsigned status = 0;
    bool notRun = false;               ///< The target states that it did not run the request.
    bool otherTarget = false;          ///< Another target has the address now; implies notRun.
    bool encoded = false;              ///< The body has a content encoding and is not the target's own bytes.
    bool closesConnection = false;     ///< The target is about to close the connection.
    std::string signature;             ///< Of this response; empty if it has none.
    std::optional<Duration> keepAlive; ///< How long the target keeps an idle connection, if it says so.
    RequestLimit limit;                ///< The rate of requests that the target takes at present.
    RequestedPause pause;              ///< Set in refusals only.
    bool leaving = false;              ///< The target is about to leave, and takes new requests only for a while.
    std::string body;
    std::vector<WireHeader> headers = {}; ///< End-to-end fields, with the id and the signature.
};

/// \returns whether \p response is a success with the target's own bytes.
inline bool isSuccess(const TargetResponse &response)
{
    constexpr unsigned successClass = 2;
    return response.status / 100 == successClass && !response.signature.empty() && !response.encoded && !response.notRun;
}

} // namespace magnoliaspan
