/*
 * Settings of an entry host that forwards along published routes.
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

/// \brief Settings that a forwarding host needs before it reads the published routes and targets.
struct ForwardSettings {
    std::string host;
    std::string zone;
    std::map<std::string, std::string, std::less<>> regionOfZone; // Invariant: contains zone.
    Endpoint callerAddress;
    Endpoint readyAddress;
    Endpoint metricsAddress;
    Endpoint discoveryAddress;
    Endpoint peerAddress;        ///< Receives datagrams of other hosts; all hosts use the same port.
    std::vector<Endpoint> seeds; ///< Peer addresses of the hosts contacted first to join the membership.
    std::string peerKey;         ///< Secret shared by all hosts of the deployment; authenticates their messages.
    std::string logLevel;
    std::size_t logLinesPerSecond = 0; ///< Further lines are dropped and counted.
    Duration watchTime{};              ///< Longest wait of one call for a change of what is published.
    Duration shutdownAnnounce{};       ///< Time for which the host still serves while it reports not ready.
    Duration shutdownLimit{};          ///< Time after which a shutdown completes even with requests in flight.
    std::size_t journalLines = 0;      ///< Decision lines kept in memory.
    ForwardLimits limits;

    /// \brief Parses and validates \p text.
    /// \param file name of the file in diagnostics.
    /// \returns the settings, or nothing when an entry was added to \p diagnostics.
    static std::optional<ForwardSettings> parse(std::string_view text, const std::string &file, Diagnostics &diagnostics);
};

} // namespace magnoliaspan
