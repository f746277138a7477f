/*
 * Settings of an entry host that serves searches and submits.
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

/// \brief Settings that an entry host needs before it reads the environment document.
struct Settings {
    std::string seat;
    std::string zone;
    std::string environment;
    Endpoint callerAddress;
    Endpoint peerAddress;
    Endpoint adminAddress;
    Endpoint platformAddress;
    std::string peerKey; ///< Secret shared by all entry hosts of the environment. Invariant: at least minPeerKeyLength characters.
    std::string logLevel;
    Duration shutdownAnnounce{};  ///< Time for which the host still serves while it reports not ready.
    Duration shutdownLimit{};     ///< Time after which a shutdown completes even with requests in flight.
    std::size_t journalLines = 0; ///< Decision lines kept in memory.

    static constexpr std::size_t minPeerKeyLength = 16;

    /// \brief Parses and validates \p text.
    /// \param file name of the file in diagnostics.
    /// \returns the settings, or nothing when an entry was added to \p diagnostics.
    static std::optional<Settings> parse(std::string_view text, const std::string &file, Diagnostics &diagnostics);
};

} // namespace magnoliaspan
