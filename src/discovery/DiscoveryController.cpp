/*
 * Schedules reads, waits and retries.
 */
#include "discovery/DiscoveryController.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace magnoliaspan {

namespace {

// Changes come in bursts and each call has a cost, so the delay before the next call grows while changes keep coming. The
// longest delay is well below the shortest limits on configuration and draining delay, three seconds.
constexpr Duration batchDelay = std::chrono::milliseconds(300);
constexpr unsigned maxBatchDelayFactor = 3;
constexpr Duration firstBackoff = std::chrono::milliseconds(200);
// Limits the time until a source that is available again is noticed; five seconds after its return the limits on
// configuration delay must hold again.
constexpr Duration maxBackoff = std::chrono::milliseconds(1'500);
constexpr unsigned maxBackoffDoublings = 4;
// Entries that lapsed while the source was unavailable are published again within two seconds of its return if their targets
// are alive.
constexpr Duration lapseGracePeriod = std::chrono::milliseconds(2'300);
// A host that has just started learns in this time of hosts that it can read from instead of calling the source.
constexpr Duration firstWatchDelay = std::chrono::milliseconds(400);
// Without a burst, a host reaches a new revision within the delay between calls plus a slow response.
constexpr Duration catchUpTimeout = std::chrono::seconds(2);

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
    , lifetimeToken_(std::make_shared<int>(0))
{
}

void DiscoveryController::start()
{
    startNextCall();
}

void DiscoveryController::refresh()
{
    scheduler_.cancel(timer_);
    source_.cancel();
    startNextCall();
}

void DiscoveryController::handlePeerRevision(std::int64_t revision)
{
    if (revision <= revision_ || peerRevisionTimer_ != TimerId::None) {
        return;
    }
    peerRevisionTimer_ = scheduler_.callAt(clock_.now() + catchUpTimeout, [this, revision, token = std::weak_ptr<int>(lifetimeToken_)] {
        if (!token.expired()) {
            peerRevisionTimer_ = TimerId::None;
            rereadIfBehind(revision);
        }
    });
}

void DiscoveryController::rereadIfBehind(std::int64_t revision)
{
    if (revision <= revision_) {
        return;
    }
    journal_.record(LogCategory::Config,
                    "",
                    fmt::format("other hosts have a newer revision, reading by another path revision={} others={}", revision_, revision));
    source_.avoidCurrentPath();
    refresh();
}

std::int64_t DiscoveryController::revision() const
{
    return revision_;
}

void DiscoveryController::startNextCall()
{
    if (needsFullRead_) {
        // The watch that follows brings a stale read up to date, unless the history was just found to be lost.
        startFullRead(hasRead_ ? Freshness::Latest : Freshness::StaleAllowed);
    } else {
        startWatch();
    }
}

void DiscoveryController::startFullRead(Freshness freshness)
{
    source_.readAll(freshness, [this, freshness, token = std::weak_ptr<int>(lifetimeToken_)](const DiscoveryReadResult &result) {
        if (!token.expired()) {
            onFullRead(freshness, result);
        }
    });
}

void DiscoveryController::onFullRead(Freshness freshness, const DiscoveryReadResult &result)
{
    if (result.error) {
        onCallFailed(result.error);
        return;
    }
    journal_.record(LogCategory::Config,
                    "",
                    fmt::format("full read applied era={} revision={} changes={} latest={} from_other_host={}",
                                result.era,
                                result.revision,
                                result.changes.size(),
                                freshness == Freshness::Latest,
                                result.fromFallbackPeer));
    recordSourceState(result);
    registry_.apply(result, true, isInLapseGracePeriod());
    revision_ = result.revision;
    needsFullRead_ = false;
    if (hasRead_) {
        startNextCall();
        return;
    }
    hasRead_ = true;
    scheduleNextCall(firstWatchDelay);
}

void DiscoveryController::startWatch()
{
    source_.watch(revision_, watchTime_, [this, token = std::weak_ptr<int>(lifetimeToken_)](const DiscoveryReadResult &result) {
        if (!token.expired()) {
            onWatchResult(result);
        }
    });
}

void DiscoveryController::onWatchResult(const DiscoveryReadResult &result)
{
    if (result.historyLost) {
        recordSourceState(result);
        journal_.record(
            LogCategory::Config, "", fmt::format("change history no longer available, starting a full read revision={}", revision_));
        needsFullRead_ = true;
        startNextCall();
        return;
    }
    if (result.error) {
        onCallFailed(result.error);
        return;
    }
    recordSourceState(result);
    registry_.apply(result, false, isInLapseGracePeriod());
    const std::int64_t before = std::exchange(revision_, std::max(revision_, result.revision));
    if (result.fromFallbackPeer && revision_ > before) {
        journal_.record(
            LogCategory::Config,
            "",
            fmt::format("changes read from another host revision={} before={} changes={}", revision_, before, result.changes.size()));
    }
    if (result.mayHaveMore && revision_ > before) {
        // Waiting here would limit the rate at which a host catches up, possibly below the rate of new changes.
        journal_.record(
            LogCategory::Config,
            "",
            fmt::format(
                "response may hold a part of the changes after={} revision={} changes={}", before, revision_, result.changes.size()));
        // The rest may hold many outdated versions too, of which a full read has only the last.
        needsFullRead_ = result.mostlyOutdated;
        startNextCall();
        return;
    }
    if (result.fromFallbackPeer) {
        scheduleNextCall(nextBackoff());
        return;
    }
    if (result.changes.empty()) {
        batchDelayFactor_ = 0;
        startNextCall();
        return;
    }
    batchDelayFactor_ = std::min(batchDelayFactor_ + 1, maxBatchDelayFactor);
    scheduleNextCall(batchDelay * batchDelayFactor_);
}

void DiscoveryController::onCallFailed(const std::error_code &error)
{
    if (failures_ == 0) {
        journal_.record(LogCategory::Config,
                        "",
                        fmt::format("discovery lost, retrying with backoff revision={} error=\"{}\"", revision_, error.message()));
    }
    ++failures_;
    scheduleNextCall(nextBackoff());
}

// A result from another host keeps this host up to date but does not show that the source is available again.
void DiscoveryController::recordSourceState(const DiscoveryReadResult &result)
{
    if (!result.fromFallbackPeer) {
        recordSuccess();
    }
    if (result.fromFallbackPeer || result.sourceRecentlyUnavailable) {
        startLapseGracePeriod();
    }
}

void DiscoveryController::recordSuccess()
{
    if (failures_ == 0) {
        return;
    }
    journal_.record(LogCategory::Config, "", fmt::format("discovery regained revision={} failed_calls={}", revision_, failures_));
    failures_ = 0;
    startLapseGracePeriod();
}

void DiscoveryController::startLapseGracePeriod()
{
    lapseGraceStart_ = clock_.now();
    scheduler_.cancel(lapseGraceTimer_);
    lapseGraceTimer_ = scheduler_.callAt(clock_.now() + lapseGracePeriod, [this, token = std::weak_ptr<int>(lifetimeToken_)] {
        if (!token.expired()) {
            registry_.removeLapsed();
        }
    });
}

bool DiscoveryController::isInLapseGracePeriod() const
{
    return lapseGraceStart_ && clock_.now() - *lapseGraceStart_ < lapseGracePeriod;
}

Duration DiscoveryController::nextBackoff()
{
    const Duration longest = std::min(maxBackoff, firstBackoff * (1U << std::min(failures_, maxBackoffDoublings)));
    // Random between half and all of it, so that hosts that lost the source together do not retry together.
    return longest / 2 + Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count() / 2)(random_));
}

void DiscoveryController::scheduleNextCall(Duration wait)
{
    timer_ = scheduler_.callAt(clock_.now() + wait, [this, token = std::weak_ptr<int>(lifetimeToken_)] {
        if (!token.expired()) {
            startNextCall();
        }
    });
}

} // namespace magnoliaspan
