/*
 * Part app: the command that runs a forwarding host.
 */
#pragma once

#include "config/ForwardSettings.h"

#include <string>

namespace magnoliaspan {

/// \brief Serves until the process is told to stop.
/// \param settingsFile where \p settings came from; read again when it changes.
/// \returns the exit status.
int forward(const ForwardSettings &settings, const std::string &settingsFile);

} // namespace magnoliaspan
