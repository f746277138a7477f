/*
 * Per-system state of one entry host: requests in flight, budgets for hedges and
 * retries, latency, and operations that wait for capacity.
 */
#pragma once

#include "config/EnvironmentDocument.h"
#include "control/LatencyTracker.h"
#include "control/TokenBucket.h"
#include "core/Clock.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace magnoliaspan {

/// \brief Operation with subrequests that could not be sent for lack of capacity.
class CapacityWaiter
{
public:
    virtual ~CapacityWaiter() = default;

    /// \brief Tries again to send the pending subrequests.
    /// \returns true while some are still pending.
    virtual bool onCapacityFreed() = 0;
};

/// \brief State of one system at one entry host.
class SystemState
{
public:
    explicit SystemState(const SystemSpec &spec);

    void configure(const SystemSpec &spec);

    TokenBucket hedgeBudget;
    TokenBucket retryBudget;
    LatencyTracker latency; ///< Of answered subrequests.

    /// \brief Appends \p waiter to the queue.
    void addWaiter(std::weak_ptr<CapacityWaiter> waiter);

    /// \brief Lets the waiters try again, in the order of their arrival.
    void notifyWaiters();

    /// \brief Records that a request from a caller or from an entry host of another zone was admitted.
    void recordRequestStart(TimePoint now);

    /// \brief Records that such a request has ended, successfully or not.
    void recordRequestEnd(TimePoint now);

    /// \returns the number of admitted requests that have not ended.
    std::size_t inFlight() const;

    /// \returns the time until a request admitted now is expected to end, by the recent rate of completions (Little's law).
    Duration expectedResidenceTime() const;

private:
    std::deque<std::weak_ptr<CapacityWaiter>> waiters_;
    std::size_t inFlight_ = 0;
    TimePoint lastCompletion_{};        // Or the start of the first request after an idle period, if later.
    double meanCompletionInterval_ = 0; // In microseconds, without idle periods; exponentially weighted.
};

/// \brief The states of all systems, by name.
class SystemController
{
public:
    /// \brief Adds new systems of \p document and reconfigures the existing ones.
    void apply(const EnvironmentDocument &document);

    /// \returns the state of the system \p name, or null.
    SystemState *find(std::string_view name);

    void notifyWaiters();

    /// \returns requests in flight over all systems.
    std::size_t inFlight() const;

private:
    // Invariant: a system with requests in flight is never removed.
    std::map<std::string, std::unique_ptr<SystemState>, std::less<>> systems_;
};

} // namespace magnoliaspan
