/*
 * Part control: the per-system state.
 */
#include "control/SystemController.h"

namespace magnoliaspan {

namespace {

constexpr double hedgeBurst = 10;
constexpr double retryBurst = 20;
// Bounds the work of one round: beyond it the freed capacity is gone.
constexpr unsigned maxFruitlessTries = 8;

} // namespace

SystemState::SystemState(const SystemSpec &spec)
    : hedges(spec.hedgeBudget, hedgeBurst)
    , retries(spec.retryBudget, retryBurst)
{
}

void SystemState::configure(const SystemSpec &spec)
{
    hedges.setRatio(spec.hedgeBudget);
    retries.setRatio(spec.retryBudget);
}

void SystemState::wait(std::weak_ptr<CapacityWaiter> waiter, TimePoint now)
{
    waiters_.push_back({std::move(waiter), now});
}

void SystemState::serveWaiters()
{
    std::deque<Entry> remaining;
    unsigned fruitless = 0;
    while (!waiters_.empty() && fruitless < maxFruitlessTries) {
        Entry entry = std::move(waiters_.front());
        waiters_.pop_front();
        const auto waiter = entry.waiter.lock();
        if (!waiter) {
            continue;
        }
        if (waiter->capacityFreed()) {
            ++fruitless;
            remaining.push_back(std::move(entry));
        }
    }
    waiters_.insert(waiters_.begin(), std::make_move_iterator(remaining.begin()), std::make_move_iterator(remaining.end()));
}

Duration SystemState::oldestWait(TimePoint now)
{
    while (!waiters_.empty() && waiters_.front().waiter.expired()) {
        waiters_.pop_front();
    }
    return waiters_.empty() ? Duration::zero() : now - waiters_.front().since;
}

void SystemController::apply(const EnvironmentDocument &document)
{
    for (const SystemSpec &spec : document.systems) {
        const auto found = systems_.find(spec.name);
        if (found == systems_.end()) {
            systems_.emplace(spec.name, std::make_unique<SystemState>(spec));
            continue;
        }
        found->second->configure(spec);
    }
}

SystemState *SystemController::find(std::string_view name)
{
    const auto found = systems_.find(name);
    return found == systems_.end() ? nullptr : found->second.get();
}

void SystemController::serveWaiters()
{
    for (const auto &[name, system] : systems_) {
        system->serveWaiters();
    }
}

std::size_t SystemController::inFlight() const
{
    std::size_t total = 0;
    for (const auto &[name, system] : systems_) {
        total += system->inFlight;
    }
    return total;
}

} // namespace magnoliaspan
