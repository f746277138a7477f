/*
 * Part membership: what a host knows of one host of the deployment.
 */
#pragma once

#include "core/Endpoint.h"

#include <cstdint>
#include <string>

namespace magnoliaspan {

/// Whether a host answers.
enum class HostState {
    Alive,
    Suspect, ///< It did not answer a probe; it may still deny that.
    Gone,    ///< It did not deny a suspicion in time.
    Left,    ///< It said that it ends.
};

/// \returns the name used in logs.
std::string_view toString(HostState state);

/// \brief One host, as last told by itself or others.
struct Member {
    std::string name;
    std::string zone;
    Endpoint address;              ///< Where it takes datagrams.
    std::uint64_t incarnation = 0; ///< Raised only by the host itself, to start anew or to deny what others say of it.
    HostState state = HostState::Alive;
};

/// \returns whether \p news replaces \p known, both of one host: the higher incarnation wins, then the graver state.
bool supersedes(const Member &update, const Member &known);

} // namespace magnoliaspan
