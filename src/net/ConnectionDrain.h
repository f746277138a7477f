/*
 * Part net: the end of a process, once its callers' connections have ended.
 */
#pragma once

#include "core/Clock.h"
#include "net/EventLoop.h"
#include "net/HttpServer.h"

namespace magnoliaspan {

/// \brief Stops \p loop when \p server has no connection any more, or at \p deadline.
/// Idle connections are closed; one on which a request has begun gets its answer first.
/// The server must have stopped accepting and must close each connection with its answer.
void stopWhenDrained(EventLoop &loop, const Clock &clock, HttpServer &server, TimePoint deadline);

} // namespace magnoliaspan
