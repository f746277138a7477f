/*
 * Counts the requests in flight, so that a shutdown can wait until they complete.
 */
#pragma once

#include "control/ServingController.h"

#include <memory>

namespace magnoliaspan {

/// \brief Counts the requests in flight and reports the number to the serving controller.
class ActiveRequests
{
public:
    explicit ActiveRequests(ServingController &serving);

    /// \brief Counts a new request.
    /// \returns a token; the request counts as in flight until the last copy of the token is destroyed.
    std::shared_ptr<void> track();

    std::size_t count() const;

private:
    // Tokens hold it weakly, since they may outlive this object.
    struct State {
        ServingController *serving;
        std::size_t count = 0;
    };
    std::shared_ptr<State> state_;
};

} // namespace magnoliaspan
