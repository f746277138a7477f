/*
 * Part discovery: reads and watches the published state for as long as the process runs.
 */
#pragma once

#include "core/Scheduler.h"
#include "discovery/DiscoverySource.h"
#include "discovery/Registry.h"

#include <memory>
#include <optional>
#include <random>

namespace magnoliaspan {

/// \brief Feeds the registry.
class DiscoveryController
{
public:
    /// \param watchTime longest time that one call waits for changes. A connection that goes silent under a watch is
    /// noticed after this and the source's answer time.
    DiscoveryController(const Clock &clock,
                        Scheduler &scheduler,
                        Journal &journal,
                        DiscoverySource &source,
                        Registry &registry,
                        Duration watchTime,
                        std::uint64_t seed);

    void start();

    /// \brief Asks again at once, dropping the running call; after the process was suspended.
    void refresh();

    /// \brief Tells that another host knows the state of \p revision. If this host does not come to know it in time, the
    /// way it reads is silent or slow, and it reads again another way.
    void handlePeerRevision(std::int64_t revision);

    /// \returns the revision of what was last taken over.
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
    unsigned batchDelayFactor_ = 0; // Calls in a row that brought changes, up to a bound.
    std::mt19937_64 random_;
    std::int64_t revision_ = 0;
    bool needsFullRead_ = true; // Whether the next call must be a full reading.
    bool hasRead_ = false;
    unsigned failures_ = 0;                    // In a row.
    std::optional<TimePoint> lapseGraceStart_; // When calls succeeded again after failures.
    TimerId timer_ = TimerId::None;
    TimerId lapseGraceTimer_ = TimerId::None;
    TimerId peerRevisionTimer_ = TimerId::None; // Set while another host knows more.
    std::shared_ptr<int> lifetimeToken_;        // Handlers hold it weakly, so that none outlives the controller.
};

} // namespace magnoliaspan
