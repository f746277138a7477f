/*
 * Part control: what one entry host keeps for each system: work in flight,
 * budgets for extra work, latency, and operations that wait for capacity.
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

/// \brief Work that could not be sent for want of capacity.
class CapacityWaiter
{
public:
    virtual ~CapacityWaiter() = default;

    /// \brief Tries again to send what waits.
    /// \returns true while something still waits.
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
    LatencyTracker latency; ///< Of subrequests that were answered.

    /// \brief Queues \p waiter behind those that wait already.
    void addWaiter(std::weak_ptr<CapacityWaiter> waiter);

    /// \brief Lets waiters try again in the order of their arrival.
    void notifyWaiters();

    /// \brief Tells that a request of a caller or of another zone's entry host was taken in.
    void recordRequestStart(TimePoint now);

    /// \brief Tells that such a request has ended, however it did.
    void recordRequestEnd(TimePoint now);

    /// \returns requests that were taken in and have not ended.
    std::size_t inFlight() const;

    /// \returns how long a request taken in now would stay, by the recent pace of ends (Little's law).
    Duration expectedResidenceTime() const;

private:
    std::deque<std::weak_ptr<CapacityWaiter>> waiters_;
    std::size_t inFlight_ = 0;
    TimePoint lastCompletion_{};        // Or the instant at which work began after a time without any.
    double meanCompletionInterval_ = 0; // Microseconds between two ends while there is work; exponentially weighted.
};

/// \brief The states of all systems, by name.
class SystemController
{
public:
    void apply(const EnvironmentDocument &document);

    /// \returns the state of the system \p name, or null.
    SystemState *find(std::string_view name);

    void notifyWaiters();

    /// \returns requests in flight over all systems.
    std::size_t inFlight() const;

private:
    std::map<std::string, std::unique_ptr<SystemState>, std::less<>> systems_; // A system is never removed while it runs work.
};

} // namespace magnoliaspan
