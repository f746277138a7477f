/*
 * Client of the admin port of a running entry host, for the commands status and explain.
 */
#pragma once

#include "core/Endpoint.h"

#include <string>

namespace magnoliaspan {

/// \brief Result of an admin request.
struct AdminReply {
    bool hasResponse = false; ///< False when the connection failed or no response arrived within 5 s.
    unsigned status = 0;      ///< HTTP status code; 0 without a response.
    std::string body;
};

/// \brief Sends GET \p path to \p endpoint and waits up to 5 s for the response.
/// Runs an event loop of its own and blocks the calling thread.
AdminReply sendAdminRequest(const Endpoint &endpoint, const std::string &path);

} // namespace magnoliaspan
