/*
 * The forward command: runs a forwarding host with its sockets.
 */
#pragma once

#include "config/ForwardSettings.h"

#include <string>

namespace magnoliaspan {

/// \brief Runs a forwarding host until a stop signal has been handled.
/// \param settingsFile file that \p settings was read from; checked for changes each second and on a reload signal.
/// \returns the exit status: 0 after a shutdown, 1 when an address cannot be listened on.
int forward(const ForwardSettings &settings, const std::string &settingsFile);

} // namespace magnoliaspan
