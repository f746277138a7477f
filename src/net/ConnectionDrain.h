/*
 * Stops a process after its callers' connections have closed.
 */
#pragma once

#include "core/Clock.h"
#include "net/EventLoop.h"
#include "net/HttpServer.h"

namespace magnoliaspan {

/// \brief Stops \p loop as soon as \p server has no connections, at \p deadline at the latest.
/// Closes idle connections; a connection on which a request has started to arrive gets its response first.
/// The server must have stopped accepting and must close each connection with its response.
void stopWhenDrained(EventLoop &loop, const Clock &clock, HttpServer &server, TimePoint deadline);

} // namespace magnoliaspan
