/*
 * Part app: counts the requests in flight, so that a shutdown can wait for them.
 */
#pragma once

#include "control/ServingController.h"

#include <memory>

namespace magnoliaspan {

/// \brief Tells the serving controller how many requests are in flight.
class ActiveRequests
{
public:
    explicit ActiveRequests(ServingController &serving);

    /// \returns a token; the request counts until its last copy is gone.
    std::shared_ptr<void> track();

    std::size_t count() const;

private:
    struct State {
        ServingController *serving;
        std::size_t count = 0;
    };
    std::shared_ptr<State> state_;
};

} // namespace magnoliaspan
