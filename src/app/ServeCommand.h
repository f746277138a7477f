/*
 * The serve command: runs an entry host with its sockets.
 */
#pragma once

#include "config/Settings.h"

namespace magnoliaspan {

/// \brief Runs an entry host until its graceful shutdown is complete.
/// \returns the exit status: 0 after a shutdown, 1 when an address cannot be listened on.
int serve(const Settings &settings);

} // namespace magnoliaspan
