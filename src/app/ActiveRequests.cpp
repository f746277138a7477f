/*
 * Tokens that count the requests in flight.
 */
#include "app/ActiveRequests.h"

namespace magnoliaspan {

ActiveRequests::ActiveRequests(ServingController &serving)
    : state_(std::make_shared<State>(State{&serving}))
{
}

std::shared_ptr<void> ActiveRequests::track()
{
    ++state_->count;
    state_->serving->setInFlight(state_->count);
    return {nullptr, [weak = std::weak_ptr<State>(state_)](void *) {
                if (const auto state = weak.lock()) {
                    --state->count;
                    state->serving->setInFlight(state->count);
                }
            }};
}

std::size_t ActiveRequests::count() const
{
    return state_->count;
}

} // namespace magnoliaspan
