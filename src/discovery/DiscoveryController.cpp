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
// Less than any call waits for changes, unless it was asked not to wait.
constexpr Duration minWatchTime = std::chrono::milliseconds(50);
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
// Hosts that hear of a new era read again at random times within this period, since they hear of it almost together.
constexpr Duration newEraSpread = std::chrono::milliseconds(300);

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

void DiscoveryController::handlePeerPosition(const StatePosition &position)
{
    const bool isNewEra = hasRead_ && position.era > std::max(position_.era, newestPeerEra_);
    newestPeerEra_ = std::max(newestPeerEra_, position.era);
    if (isNewEra) {
        scheduler_.cancel(peerPositionTimer_);
        peerPositionTimer_ = TimerId::None;
    }
    if (position <= position_ || peerPositionTimer_ != TimerId::None) {
        return;
    }
    const Duration wait
        = isNewEra ? Duration(std::uniform_int_distribution<Duration::rep>(0, newEraSpread.count())(random_)) : catchUpTimeout;
    const auto reread = [this, position, isNewEra, token = std::weak_ptr<int>(lifetimeToken_)] {
        if (!token.expired()) {
            peerPositionTimer_ = TimerId::None;
            rereadIfBehind(position, isNewEra);
        }
    };
    peerPositionTimer_ = scheduler_.callAt(clock_.now() + wait, reread);
}

void DiscoveryController::rereadIfBehind(const StatePosition &position, bool isNewEra)
{
    if (position <= position_) {
        return;
    }
    journal_.record(LogCategory::Config,
                    "",
                    fmt::format("other hosts have a newer {}, reading again era={} revision={} others_era={} others={}",
                                position.era > position_.era ? "era" : "revision",
                                position_.era,
                                position_.revision,
                                position.era,
                                position.revision));
    if (isNewEra) {
        // The present path need not be at fault: its call may wait for a revision of the older era.
        isWaitSkipped_ = true;
    } else {
        source_.avoidCurrentPath();
    }
    refresh();
}

const StatePosition &DiscoveryController::position() const
{
    return position_;
}

void DiscoveryController::startNextCall()
{
    if (needsFullRead_) {
        // The watch that follows brings a stale read up to date, unless the history was just found to be lost or the read broke
        // off.
        startFullRead(hasRead_ || hasReadPart_ ? Freshness::Latest : Freshness::StaleAllowed);
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
        applyPart(result);
        onCallFailed(result.error);
        return;
    }
    journal_.record(LogCategory::Config,
                    "",
                    fmt::format("full read applied era={} revision={} changes={} latest={} from_other_host={}",
                                result.position.era,
                                result.position.revision,
                                result.changes.size(),
                                freshness == Freshness::Latest,
                                result.fromFallbackPeer));
    recordSourceState(result);
    apply(result);
    needsFullRead_ = false;
    if (hasRead_) {
        startNextCall();
        return;
    }
    hasRead_ = true;
    scheduleNextCall(firstWatchDelay);
}

// A host that has only started serves by what it knows. Its position stays, so that it goes on reading.
void DiscoveryController::applyPart(const DiscoveryReadResult &result)
{
    if (!result.brokenOff) {
        return;
    }
    if (failures_ == 0) {
        journal_.record(LogCategory::Config,
                        "",
                        fmt::format("full read broke off, its part applied era={} revision={} changes={}",
                                    result.position.era,
                                    result.position.revision,
                                    result.changes.size()));
    }
    hasReadPart_ = true;
    registry_.apply(result, true);
}

void DiscoveryController::apply(const DiscoveryReadResult &result)
{
    if (hasRead_ && result.position.era != position_.era) {
        journal_.record(LogCategory::Config,
                        "",
                        fmt::format("source restored from an older copy era={} revision={} before_era={} before={}",
                                    result.position.era,
                                    result.position.revision,
                                    position_.era,
                                    position_.revision));
        // What was published after the copy was made is published again, as after an outage.
        startLapseGracePeriod();
        startSettling();
    }
    const std::uint64_t lapsesBefore = registry_.lastLapse();
    registry_.apply(result, isInLapseGracePeriod());
    if (registry_.lastLapse() > lapsesBefore || std::exchange(isLapseExpiryPostponed_, false)) {
        scheduleLapseExpiry(registry_.lastLapse());
    }
    position_ = result.complete ? result.position : std::max(position_, result.position);
}

void DiscoveryController::startWatch()
{
    // A source in a newer era may have nothing after a revision of an older one, so it is not asked to wait for that.
    const Duration wait = std::exchange(isWaitSkipped_, false) ? Duration::zero() : watchTime_;
    watchStart_ = clock_.now();
    source_.watch(position_, wait, [this, token = std::weak_ptr<int>(lifetimeToken_)](const DiscoveryReadResult &result) {
        if (!token.expired()) {
            onWatchResult(result);
        }
    });
}

void DiscoveryController::onHistoryLost(std::string_view reason)
{
    journal_.record(
        LogCategory::Config, "", fmt::format("{}, starting a full read era={} revision={}", reason, position_.era, position_.revision));
    needsFullRead_ = true;
    if (lostHistories_++ == 0) {
        startNextCall();
        return;
    }
    // A part of the source may be behind another; calls without a pause would not change that.
    scheduleNextCall(nextBackoff());
}

void DiscoveryController::onWatchResult(const DiscoveryReadResult &result)
{
    if (result.error) {
        onCallFailed(result.error);
        return;
    }
    recordSourceState(result);
    if (result.historyLost) {
        onHistoryLost("change history no longer available");
        return;
    }
    if (!result.complete && result.position.era != position_.era) {
        onHistoryLost(fmt::format("changes are of era {}", result.position.era));
        return;
    }
    const StatePosition before = position_;
    lostHistories_ = 0;
    apply(result);
    if (result.fromFallbackPeer && position_ != before) {
        journal_.record(LogCategory::Config,
                        "",
                        fmt::format("changes read from another host era={} revision={} before={} changes={}",
                                    position_.era,
                                    position_.revision,
                                    before.revision,
                                    result.changes.size()));
    }
    if (result.mayHaveMore && position_ > before) {
        // Waiting here would limit the rate at which a host catches up, possibly below the rate of new changes.
        journal_.record(LogCategory::Config,
                        "",
                        fmt::format("response may hold a part of the changes after={} revision={} changes={}",
                                    before.revision,
                                    position_.revision,
                                    result.changes.size()));
        // The rest may hold many outdated versions too, of which a full read has only the last.
        needsFullRead_ = result.mostlyOutdated;
        startNextCall();
        return;
    }
    if (result.fromFallbackPeer) {
        scheduleNextCall(nextBackoff());
        return;
    }
    const bool isIdle = position_ == before && clock_.now() - watchStart_ < minWatchTime;
    idleWatches_ = isIdle ? idleWatches_ + 1 : 0;
    if (idleWatches_ > 1) {
        // The next response would be the same one.
        scheduleNextCall(batchDelay);
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
                        fmt::format("discovery lost, retrying with backoff revision={} error=\"{}\"", position_.revision, error.message()));
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
    journal_.record(LogCategory::Config, "", fmt::format("discovery regained revision={} failed_calls={}", position_.revision, failures_));
    failures_ = 0;
    startLapseGracePeriod();
}

void DiscoveryController::startLapseGracePeriod()
{
    lapseGraceStart_ = clock_.now();
}

// Each entry has its own period: one that is prolonged while the source is lost by turns would keep targets that have left.
void DiscoveryController::scheduleLapseExpiry(std::uint64_t lastLapse)
{
    scheduler_.callAt(clock_.now() + lapseGracePeriod, [this, lastLapse, token = std::weak_ptr<int>(lifetimeToken_)] {
        if (token.expired()) {
            return;
        }
        // Without the source the entries could not be published again.
        isLapseExpiryPostponed_ = failures_ > 0;
        if (!isLapseExpiryPostponed_) {
            registry_.removeLapsed(lastLapse);
        }
    });
}

// Unlike the grace period it is not prolonged by later results: an evacuation must not be ignored for long.
void DiscoveryController::startSettling()
{
    scheduler_.cancel(settleTimer_);
    settleTimer_ = scheduler_.callAt(clock_.now() + lapseGracePeriod, [this, token = std::weak_ptr<int>(lifetimeToken_)] {
        if (!token.expired()) {
            registry_.settle();
        }
    });
}

bool DiscoveryController::isInLapseGracePeriod() const
{
    return lapseGraceStart_ && clock_.now() - *lapseGraceStart_ < lapseGracePeriod;
}

Duration DiscoveryController::nextBackoff()
{
    const Duration longest
        = std::min(maxBackoff, firstBackoff * (1U << std::min(std::max(failures_, lostHistories_), maxBackoffDoublings)));
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
