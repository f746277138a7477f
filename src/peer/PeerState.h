/*
 * Part peer: what entry hosts tell one another.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief The small state that each hello carries; both directions use it.
struct PeerState {
    static constexpr int protocolVersion = 1;
    static constexpr std::size_t maxQuarantined = 100; ///< Newest first; more are left out.
    static constexpr std::size_t maxSystems = 1'000;

    int version = protocolVersion;
    std::string seat;
    std::int64_t startedAt = 0;                    ///< Start of the process in Unix milliseconds; tells two processes of one seat apart.
    std::int64_t generation = 0;                   ///< Of the document in force, zero when there is none.
    std::string digest;                            ///< Of the document in force.
    bool leaving = false;                          ///< The host is shutting down.
    std::int64_t newestStart = 0;                  ///< In a reply: newest start that the replier has heard of the asker's seat.
    std::vector<std::uint64_t> quarantined;        ///< Fingerprints in quarantine.
    std::vector<std::uint64_t> suspects;           ///< Fingerprints with first evidence.
    std::map<std::string, std::int64_t> snapshots; ///< Best snapshot of each system, as this host's zone holds it.
};

} // namespace magnoliaspan
