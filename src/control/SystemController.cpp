/*
 * State of each system: budgets, waiters and completion rate.
 */
#include "control/SystemController.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

// Allows two queries to hedge all of their shards before it is known which replicas are slow.
constexpr double hedgeBurst = 10;
constexpr double fullyHedgedQueries = 2;
constexpr double retryBurst = 20;
// Limits the work of one round: after so many waiters that are still blocked, the freed capacity is used up.
constexpr unsigned maxBlockedWaiters = 8;
constexpr double intervalWeight = 0.05;

} // namespace

SystemState::SystemState(const SystemSpec &spec)
    : hedgeBudget(spec.hedgeBudget, std::max(hedgeBurst, fullyHedgedQueries * static_cast<double>(spec.shards.size())))
    , retryBudget(spec.retryBudget, retryBurst)
{
}

void SystemState::configure(const SystemSpec &spec)
{
    hedgeBudget.setRatio(spec.hedgeBudget);
    retryBudget.setRatio(spec.retryBudget);
}

void SystemState::addWaiter(std::weak_ptr<CapacityWaiter> waiter)
{
    waiters_.push_back(std::move(waiter));
}

void SystemState::notifyWaiters()
{
    std::deque<std::weak_ptr<CapacityWaiter>> remaining;
    unsigned blocked = 0;
    while (!waiters_.empty() && blocked < maxBlockedWaiters) {
        const auto waiter = waiters_.front().lock();
        if (waiter && waiter->onCapacityFreed()) {
            ++blocked;
            remaining.push_back(std::move(waiters_.front()));
        }
        waiters_.pop_front();
    }
    waiters_.insert(waiters_.begin(), std::make_move_iterator(remaining.begin()), std::make_move_iterator(remaining.end()));
}

void SystemState::recordRequestStart(TimePoint now)
{
    if (inFlight_ == 0) {
        lastCompletion_ = now;
    }
    ++inFlight_;
}

void SystemState::recordRequestEnd(TimePoint now)
{
    const auto interval = static_cast<double>((now - lastCompletion_).count());
    meanCompletionInterval_ += intervalWeight * (interval - meanCompletionInterval_);
    lastCompletion_ = now;
    --inFlight_;
}

std::size_t SystemState::inFlight() const
{
    return inFlight_;
}

Duration SystemState::expectedResidenceTime() const
{
    return Duration(static_cast<Duration::rep>(meanCompletionInterval_ * static_cast<double>(inFlight_ + 1)));
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

void SystemController::notifyWaiters()
{
    for (const auto &[name, system] : systems_) {
        system->notifyWaiters();
    }
}

std::size_t SystemController::inFlight() const
{
    std::size_t total = 0;
    for (const auto &[name, system] : systems_) {
        total += system->inFlight();
    }
    return total;
}

} // namespace magnoliaspan
