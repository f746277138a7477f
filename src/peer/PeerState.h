/*
 * State that entry hosts exchange.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief State of an entry host, carried by a hello and by its reply.
struct PeerState {
    static constexpr int protocolVersion = 1;
    static constexpr std::size_t maxQuarantined = 100; ///< Limit of quarantined and of suspects; newest first, the rest is omitted.
    static constexpr std::size_t maxSystems = 1'000;   ///< Limit of snapshots.

    int version = protocolVersion;
    std::string seat;
    std::int64_t startedAt = 0;                    ///< Start of the process in Unix milliseconds; distinguishes processes of one seat.
    std::int64_t generation = 0;                   ///< Of the current document, zero if there is none.
    std::string digest;                            ///< Of the current document.
    bool leaving = false;                          ///< The host is shutting down.
    std::int64_t newestStart = 0;                  ///< In a reply: newest start of the requester's seat known to the replier.
    std::vector<std::uint64_t> quarantined;        ///< Fingerprints in quarantine.
    std::vector<std::uint64_t> suspects;           ///< Fingerprints that are suspect.
    std::map<std::string, std::int64_t> snapshots; ///< By system: snapshot that the targets in the host's zone hold for most shards.
};

} // namespace magnoliaspan
