/*
 * State of one host of the deployment, and the precedence of updates on it.
 */
#pragma once

#include "core/Endpoint.h"

#include <cstdint>
#include <string>

namespace magnoliaspan {

/// Liveness of a host, in order of precedence for updates of the same incarnation.
enum class HostState {
    Alive,
    Suspect, ///< Did not acknowledge a probe; can still refute the suspicion.
    Gone,    ///< Did not refute a suspicion in time.
    Left,    ///< Announced its own shutdown.
};

/// \returns the name used in logs.
std::string_view toString(HostState state);

/// \brief One host, as last reported by itself or by others.
struct Member {
    std::string name;
    std::string zone;
    Endpoint address;              ///< Receives its datagrams.
    std::uint64_t incarnation = 0; ///< Raised only by the host itself, when it restarts or refutes an update about itself.
    HostState state = HostState::Alive;
};

/// \returns whether \p update replaces \p known, both of the same host: the higher incarnation has precedence, then the
/// later state in the order of HostState.
bool supersedes(const Member &update, const Member &known);

} // namespace magnoliaspan
