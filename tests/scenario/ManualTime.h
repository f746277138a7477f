/*
 * Manually advanced clock and timers for deterministic tests.
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

/// Clock and timer queue shared by all processes of a fake world.
class ManualTime : public Clock, public Scheduler
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    TimerId callAt(TimePoint instant, std::function<void()> handler) override;
    void cancel(TimerId timer) override;

    /// Advances the clock to \p instant and runs all timers that expire on the way, in order of expiry and then of creation.
    void runUntil(TimePoint instant);

private:
    using TimerKey = std::pair<TimePoint, std::uint64_t>;

    TimePoint now_{std::chrono::seconds(1'000)};
    std::uint64_t lastTimer_ = 0;
    std::map<TimerKey, std::function<void()>> timers_;
    std::map<std::uint64_t, TimerKey> timerKeys_;
};

/// Clock and timers of one process, with a wall-clock offset and the ability to freeze.
class ProcessTime : public Clock, public Scheduler
{
public:
    ProcessTime(ManualTime &time, Duration offset);

    TimePoint now() const override;
    WallTime wallNow() const override;
    TimerId callAt(TimePoint instant, std::function<void()> handler) override;
    void cancel(TimerId timer) override;

    /// Freezes or thaws the process. Timers that expire while it is frozen run after the thaw, in order of expiry.
    void freeze(bool frozen);

    /// Cancels all timers, as when the process is killed.
    void cancelAll();

private:
    void onTimer(std::uint64_t id, const std::function<void()> &handler);

    ManualTime &time_;
    Duration offset_;
    bool frozen_ = false;
    std::uint64_t lastTimer_ = 0;
    std::map<std::uint64_t, TimerId> pending_;                              // Not yet expired.
    std::vector<std::pair<std::uint64_t, std::function<void()>>> deferred_; // Expired while frozen, in order of expiry.
};

} // namespace magnoliaspan::testing
