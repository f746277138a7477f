/*
 * Part control: what one entry host keeps for each system: work in flight,
 * budgets for extra work, latency, and operations that wait for capacity.
 */
#pragma once

#include "config/EnvironmentDocument.h"
#include "control/Budget.h"
#include "control/LatencyTracker.h"
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
    virtual bool capacityFreed() = 0;
};

/// \brief State of one system at one entry host.
class SystemState
{
public:
    explicit SystemState(const SystemSpec &spec);

    void configure(const SystemSpec &spec);

    std::size_t inFlight = 0; ///< Requests of callers and of other zones' entry hosts.
    Budget hedges;
    Budget retries;
    LatencyTracker latency; ///< Of subrequests that were answered.

    /// \brief Queues \p waiter behind those that wait already.
    void wait(std::weak_ptr<CapacityWaiter> waiter, TimePoint now);

    /// \brief Lets waiters try again in the order of their arrival.
    void serveWaiters();

    /// \returns how long the first waiter has waited, zero when none does.
    Duration oldestWait(TimePoint now);

private:
    struct Entry {
        std::weak_ptr<CapacityWaiter> waiter;
        TimePoint since;
    };

    std::deque<Entry> waiters_;
};

/// \brief The states of all systems, by name.
class SystemController
{
public:
    void apply(const EnvironmentDocument &document);

    /// \returns the state of the system \p name, or null.
    SystemState *find(std::string_view name);

    void serveWaiters();

    /// \returns requests in flight over all systems.
    std::size_t inFlight() const;

private:
    std::map<std::string, std::unique_ptr<SystemState>, std::less<>> systems_; // A system is never removed while it runs work.
};

} // namespace magnoliaspan
