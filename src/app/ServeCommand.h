/*
 * Part app: the serve command: an entry host with its sockets.
 */
#pragma once

#include "config/Settings.h"

namespace magnoliaspan {

/// \brief Runs an entry host until it has ended gracefully.
/// \returns the exit status of the process.
int serve(const Settings &settings);

} // namespace magnoliaspan
