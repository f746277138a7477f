/*
 * Part config: the settings of one process.
 */
#pragma once

#include "config/Diagnostic.h"
#include "core/Endpoint.h"
#include "core/Time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief What one process must know before it reads anything that is published.
struct Settings {
    std::string seat;
    std::string zone;
    std::string environment;
    Endpoint callerAddress;
    Endpoint peerAddress;
    Endpoint adminAddress;
    Endpoint platformAddress;
    std::string peerKey; ///< At least minPeerKeyLength characters.
    std::string logLevel;
    Duration shutdownAnnounce{};
    Duration shutdownLimit{};
    std::size_t journalLines = 0;

    static constexpr std::size_t minPeerKeyLength = 16;

    /// \returns the settings, or nothing when \p diagnostics received an entry.
    static std::optional<Settings> parse(std::string_view text, const std::string &file, Diagnostics &diagnostics);
};

} // namespace magnoliaspan
