/*
 * Reads and watches the published state for as long as the process runs, with retries and backoff.
 */
#pragma once

#include "core/Scheduler.h"
#include "discovery/DiscoverySource.h"
#include "discovery/Registry.h"

#include <memory>
#include <optional>
#include <random>

namespace magnoliaspan {

/// \brief Keeps the registry up to date with the published state.
class DiscoveryController
{
public:
    /// \param watchTime longest time that one call waits for changes. A connection that goes silent during a watch is
    /// detected after this time plus the response time-out of the source.
    /// \param seed of the random backoff.
    DiscoveryController(const Clock &clock,
                        Scheduler &scheduler,
                        Journal &journal,
                        DiscoverySource &source,
                        Registry &registry,
                        Duration watchTime,
                        std::uint64_t seed);

    /// \brief Starts the first call; each call that completes starts the next one.
    void start();

    /// \brief Cancels the running call and starts a new one at once, for use after the process was suspended.
    void refresh();

    /// \brief Handles the position that another host has read. If this host has not reached it within two seconds, its
    /// own read path is silent or slow, and it reads again by another path. The first notice of a newer era makes it read
    /// at once, since a call that waits for a revision of an older era may wait for one that means something else.
    void handlePeerPosition(const StatePosition &position);

    /// \returns the position up to which changes have been applied.
    const StatePosition &position() const;

private:
    void startFullRead(Freshness freshness);
    void onFullRead(Freshness freshness, const DiscoveryReadResult &result);
    void startWatch();
    void onWatchResult(const DiscoveryReadResult &result);
    void onCallFailed(const std::error_code &error);
    void recordSuccess();
    void scheduleNextCall(Duration wait);
    void recordSourceState(const DiscoveryReadResult &result);
    void startLapseGracePeriod();
    void scheduleLapseExpiry(std::uint64_t lastLapse);
    void startSettling();
    void onHistoryLost(std::string_view reason);
    void apply(const DiscoveryReadResult &result);
    void applyPart(const DiscoveryReadResult &result);
    /// \param isNewEra whether this is the first notice of the era of \p position.
    void rereadIfBehind(const StatePosition &position, bool isNewEra);
    void startNextCall();
    Duration nextBackoff();
    bool isInLapseGracePeriod() const;

    const Clock &clock_;
    Scheduler &scheduler_;
    Journal &journal_;
    DiscoverySource &source_;
    Registry &registry_;
    Duration watchTime_;
    unsigned batchDelayFactor_ = 0; // Consecutive calls that returned changes, up to a limit.
    std::mt19937_64 random_;
    StatePosition position_;
    std::int64_t newestPeerEra_ = 0; // Newest era that another host has named.
    bool needsFullRead_ = true;      // Whether the next call must be a full read.
    bool hasRead_ = false;
    bool hasReadPart_ = false;                 // Whether a full read broke off.
    bool isWaitSkipped_ = false;               // Whether the next watch must not wait for changes.
    TimePoint watchStart_{};                   // Of the running or last watch.
    unsigned idleWatches_ = 0;                 // Consecutive watches that neither waited nor moved on.
    unsigned lostHistories_ = 0;               // Consecutive watches that were answered by a lost history.
    unsigned failures_ = 0;                    // Consecutive failed calls.
    std::optional<TimePoint> lapseGraceStart_; // Start of the last grace period for lapsed entries.
    TimerId timer_ = TimerId::None;
    bool isLapseExpiryPostponed_ = false; // Whether the period of some lapsed entries ended while the source was lost.
    TimerId settleTimer_ = TimerId::None;
    TimerId peerPositionTimer_ = TimerId::None; // Set while another host has a newer position.
    std::shared_ptr<int> lifetimeToken_;        // Callbacks hold it weakly and do nothing once the controller is destroyed.
};

} // namespace magnoliaspan
