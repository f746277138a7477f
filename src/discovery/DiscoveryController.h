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

    /// \brief Handles the revision that another host has read. If this host has not reached it within two seconds, its
    /// own read path is silent or slow, and it reads again by another path.
    void handlePeerRevision(std::int64_t revision);

    /// \returns the revision up to which changes have been applied.
    std::int64_t revision() const;

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
    void rereadIfBehind(std::int64_t revision);
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
    std::int64_t revision_ = 0;
    bool needsFullRead_ = true; // Whether the next call must be a full read.
    bool hasRead_ = false;
    unsigned failures_ = 0;                    // Consecutive failed calls.
    std::optional<TimePoint> lapseGraceStart_; // Start of the last grace period for lapsed entries.
    TimerId timer_ = TimerId::None;
    TimerId lapseGraceTimer_ = TimerId::None;
    TimerId peerRevisionTimer_ = TimerId::None; // Set while another host has a higher revision.
    std::shared_ptr<int> lifetimeToken_;        // Callbacks hold it weakly and do nothing once the controller is destroyed.
};

} // namespace magnoliaspan
