/*
 * Part discovery: when to read, to wait and to try again.
 */
#include "discovery/DiscoveryController.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

// Changes come in bursts and each call is paid for: the wait before the next call grows while changes keep coming. Its
// longest is well under the shortest bounds on configuration and draining, three seconds.
constexpr Duration gatherTime = std::chrono::milliseconds(300);
constexpr unsigned maxGatherTimes = 3;
constexpr Duration firstBackoff = std::chrono::milliseconds(200);
// Bounds how late a regained source is noticed; the bounds on configuration hold again after five seconds.
constexpr Duration maxBackoff = std::chrono::milliseconds(1'500);
constexpr unsigned maxDoublings = 4;
// Entries that lapsed while the source was away are back within two seconds of its return, if their targets live.
constexpr Duration lapseTime = std::chrono::milliseconds(2'300);
// A host at rest follows within the wait between calls and a slow answer.
constexpr Duration catchUpTime = std::chrono::seconds(2);

} // namespace

DiscoveryController::DiscoveryController(const Clock &clock,
                                         Scheduler &scheduler,
                                         Journal &journal,
                                         DiscoverySource &source,
                                         Registry &registry,
                                         Duration watchTime,
                                         std::uint64_t seed)
    : clock_(clock)
    , scheduler_(scheduler)
    , journal_(journal)
    , source_(source)
    , registry_(registry)
    , watchTime_(watchTime)
    , random_(seed)
    , alive_(std::make_shared<int>(0))
{
}

void DiscoveryController::start()
{
    next();
}

void DiscoveryController::refresh()
{
    scheduler_.cancel(timer_);
    source_.cancel();
    next();
}

void DiscoveryController::othersKnow(std::int64_t revision)
{
    if (revision <= revision_ || compareTimer_ != TimerId::None) {
        return;
    }
    compareTimer_ = scheduler_.callAt(clock_.now() + catchUpTime, [this, revision, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            compareTimer_ = TimerId::None;
            compareWithOthers(revision);
        }
    });
}

void DiscoveryController::compareWithOthers(std::int64_t revision)
{
    if (revision <= revision_ || failures_ > 0) {
        return;
    }
    journal_.record(
        LogCategory::Config, "", fmt::format("others know more, read again another way revision={} others={}", revision_, revision));
    source_.distrust();
    refresh();
}

std::int64_t DiscoveryController::revision() const
{
    return revision_;
}

void DiscoveryController::next()
{
    if (needsAll_) {
        // The watch that follows brings an old reading up to date, unless that just proved impossible.
        readAll(everRead_ ? Freshness::Latest : Freshness::MayBeOld);
    } else {
        watch();
    }
}

void DiscoveryController::readAll(Freshness freshness)
{
    source_.readAll(freshness, [this, freshness, alive = std::weak_ptr<int>(alive_)](const DiscoveryReading &reading) {
        if (!alive.expired()) {
            allRead(freshness, reading);
        }
    });
}

void DiscoveryController::allRead(Freshness freshness, const DiscoveryReading &reading)
{
    if (reading.error) {
        failed(reading.error);
        return;
    }
    journal_.record(LogCategory::Config,
                    "",
                    fmt::format("full reading taken revision={} changes={} latest={}",
                                reading.revision,
                                reading.changes.size(),
                                freshness == Freshness::Latest));
    taken(reading);
    registry_.apply(reading, true, recentlyLost());
    revision_ = reading.revision;
    needsAll_ = false;
    everRead_ = true;
    next();
}

void DiscoveryController::watch()
{
    source_.watch(revision_, watchTime_, [this, alive = std::weak_ptr<int>(alive_)](const DiscoveryReading &reading) {
        if (!alive.expired()) {
            watched(reading);
        }
    });
}

void DiscoveryController::watched(const DiscoveryReading &reading)
{
    if (reading.historyLost) {
        taken(reading);
        journal_.record(LogCategory::Config, "", fmt::format("history is lost, everything is read again revision={}", revision_));
        needsAll_ = true;
        next();
        return;
    }
    if (reading.error) {
        failed(reading.error);
        return;
    }
    taken(reading);
    registry_.apply(reading, false, recentlyLost());
    revision_ = std::max(revision_, reading.revision);
    if (reading.secondHand) {
        again(backoff());
        return;
    }
    if (reading.changes.empty()) {
        burst_ = 0;
        next();
        return;
    }
    burst_ = std::min(burst_ + 1, maxGatherTimes);
    again(gatherTime * burst_);
}

void DiscoveryController::failed(const std::error_code &error)
{
    if (failures_ == 0) {
        journal_.record(LogCategory::Config, "", fmt::format("discovery lost revision={} error=\"{}\"", revision_, error.message()));
    }
    ++failures_;
    again(backoff());
}

// Another host's word keeps this host up to date, but does not tell that the source is back.
void DiscoveryController::taken(const DiscoveryReading &reading)
{
    if (!reading.secondHand) {
        answered();
    }
    if (reading.secondHand || reading.unsettled) {
        keepLapsedAWhile();
    }
}

void DiscoveryController::answered()
{
    if (failures_ == 0) {
        return;
    }
    journal_.record(LogCategory::Config, "", fmt::format("discovery regained revision={} failed_calls={}", revision_, failures_));
    failures_ = 0;
    keepLapsedAWhile();
}

void DiscoveryController::keepLapsedAWhile()
{
    regained_ = clock_.now();
    scheduler_.cancel(lapseTimer_);
    lapseTimer_ = scheduler_.callAt(clock_.now() + lapseTime, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            registry_.dropLapsed();
        }
    });
}

bool DiscoveryController::recentlyLost() const
{
    return regained_ && clock_.now() - *regained_ < lapseTime;
}

Duration DiscoveryController::backoff()
{
    const Duration longest = std::min(maxBackoff, firstBackoff * (1U << std::min(failures_, maxDoublings)));
    // Between half and all of it, so that hosts that lost the source together don't return together.
    return longest / 2 + Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count() / 2)(random_));
}

void DiscoveryController::again(Duration wait)
{
    timer_ = scheduler_.callAt(clock_.now() + wait, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            next();
        }
    });
}

} // namespace magnoliaspan
