/*
 * Timer queue of the manual clock.
 */
#include "scenario/ManualTime.h"

#include <algorithm>

namespace magnoliaspan::testing {

namespace {

constexpr std::chrono::milliseconds wallClockBase{1'700'000'000'000};

} // namespace

TimePoint ManualTime::now() const
{
    return now_;
}

WallTime ManualTime::wallNow() const
{
    return WallTime(wallClockBase + std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()));
}

TimerId ManualTime::callAt(TimePoint instant, std::function<void()> handler)
{
    const TimerKey key{std::max(instant, now_), ++lastTimer_};
    timers_.emplace(key, std::move(handler));
    timerKeys_.emplace(lastTimer_, key);
    return TimerId{lastTimer_};
}

void ManualTime::cancel(TimerId timer)
{
    const auto found = timerKeys_.find(static_cast<std::uint64_t>(timer));
    if (found != timerKeys_.end()) {
        timers_.erase(found->second);
        timerKeys_.erase(found);
    }
}

void ManualTime::runUntil(TimePoint instant)
{
    while (!timers_.empty() && timers_.begin()->first.first <= instant) {
        const auto next = timers_.extract(timers_.begin());
        timerKeys_.erase(next.key().second);
        now_ = next.key().first;
        next.mapped()();
    }
    now_ = instant;
}

ProcessTime::ProcessTime(ManualTime &time, Duration offset)
    : time_(time)
    , offset_(offset)
{
}

TimePoint ProcessTime::now() const
{
    return time_.now();
}

WallTime ProcessTime::wallNow() const
{
    return time_.wallNow() + std::chrono::duration_cast<std::chrono::milliseconds>(offset_);
}

TimerId ProcessTime::callAt(TimePoint instant, std::function<void()> handler)
{
    const std::uint64_t id = ++lastTimer_;
    pending_[id] = time_.callAt(instant, [this, id, handler = std::move(handler)] { onTimer(id, handler); });
    return TimerId{id};
}

void ProcessTime::onTimer(std::uint64_t id, const std::function<void()> &handler)
{
    // Copy the handler: running it may destroy the storage of this timer.
    const auto run = handler;
    pending_.erase(id);
    if (frozen_) {
        deferred_.emplace_back(id, run);
        return;
    }
    run();
}

void ProcessTime::cancel(TimerId timer)
{
    const auto id = static_cast<std::uint64_t>(timer);
    const auto found = pending_.find(id);
    if (found != pending_.end()) {
        time_.cancel(found->second);
        pending_.erase(found);
    }
    std::erase_if(deferred_, [id](const auto &entry) { return entry.first == id; });
}

void ProcessTime::freeze(bool frozen)
{
    frozen_ = frozen;
    if (frozen) {
        return;
    }
    auto expired = std::move(deferred_);
    deferred_.clear();
    for (auto &[id, handler] : expired) {
        pending_[id] = time_.callAt(time_.now(), [this, id = id, handler = std::move(handler)] { onTimer(id, handler); });
    }
}

void ProcessTime::cancelAll()
{
    for (const auto &[id, timer] : pending_) {
        time_.cancel(timer);
    }
    pending_.clear();
    deferred_.clear();
}

} // namespace magnoliaspan::testing
