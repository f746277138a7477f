/*
 * Part app: asks a running entry host on its admin port.
 */
#pragma once

#include "core/Endpoint.h"

#include <string>

namespace magnoliaspan {

/// \brief The reply to an admin request.
struct AdminReply {
    bool hasResponse = false; ///< False when the entry host did not answer in time.
    unsigned status = 0;
    std::string body;
};

/// \brief Sends GET \p path to \p endpoint and waits for the reply, for a bounded time.
AdminReply sendAdminRequest(const Endpoint &endpoint, const std::string &path);

} // namespace magnoliaspan
