/*
 * Part config: the settings of a process that forwards along published routes.
 */
#pragma once

#include "config/Diagnostic.h"
#include "core/Endpoint.h"
#include "core/Time.h"
#include "forward/ForwardLimits.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan {

/// \brief What one forwarding process must know before it reads anything that is published.
struct ForwardSettings {
    std::string host;
    std::string zone;
    std::map<std::string, std::string, std::less<>> regionOfZone; // Invariant: holds zone.
    Endpoint callerAddress;
    Endpoint readyAddress;
    Endpoint metricsAddress;
    Endpoint discoveryAddress;
    Endpoint peerAddress;        ///< Datagrams of other hosts; their port is the same.
    std::vector<Endpoint> seeds; ///< Peer addresses of hosts to meet first.
    std::string peerKey;         ///< Shared by all hosts of the deployment.
    std::string logLevel;
    std::size_t logLinesPerSecond = 0;
    Duration watchTime{};
    Duration shutdownAnnounce{};
    Duration shutdownLimit{};
    std::size_t journalLines = 0;
    ForwardLimits limits;

    /// \returns the settings, or nothing when \p diagnostics received an entry.
    static std::optional<ForwardSettings> parse(std::string_view text, const std::string &file, Diagnostics &diagnostics);
};

} // namespace magnoliaspan
