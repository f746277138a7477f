/*
 * Test fakes: a clock that moves only when told, and its schedulers.
 */
#pragma once

#include "core/Clock.h"
#include "core/Scheduler.h"

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace magnoliaspan::testing {

/// Time and timers of a whole fake world.
class ManualTime : public Clock, public Scheduler
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    TimerId callAt(TimePoint instant, std::function<void()> handler) override;
    void cancel(TimerId timer) override;

    /// Runs everything due up to \p instant, in order, and stops there.
    void runUntil(TimePoint instant);

private:
    using TimerKey = std::pair<TimePoint, std::uint64_t>;

    TimePoint now_{std::chrono::seconds(1'000)};
    std::uint64_t lastTimer_ = 0;
    std::map<TimerKey, std::function<void()>> timers_;
    std::map<std::uint64_t, TimerKey> timerKeys_;
};

/// The view of one process: its clock may be off, and it may be frozen.
class ProcessTime : public Clock, public Scheduler
{
public:
    ProcessTime(ManualTime &time, Duration offset);

    TimePoint now() const override;
    WallTime wallNow() const override;
    TimerId callAt(TimePoint instant, std::function<void()> handler) override;
    void cancel(TimerId timer) override;

    /// While frozen, what is due waits; on thawing it runs in the order it fell due.
    void freeze(bool frozen);

    /// Drops all that waits: the process was killed.
    void cancelAll();

private:
    void onTimer(std::uint64_t id, const std::function<void()> &handler);

    ManualTime &time_;
    Duration offset_;
    bool frozen_ = false;
    std::uint64_t lastTimer_ = 0;
    std::map<std::uint64_t, TimerId> pending_;                              // Not yet due.
    std::vector<std::pair<std::uint64_t, std::function<void()>>> deferred_; // Due while frozen.
};

} // namespace magnoliaspan::testing
