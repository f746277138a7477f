/*
 * Tracks the health of one replica as observed by this host: cold, unreachable, failing.
 */
#pragma once

#include "core/Clock.h"

#include <cstdint>

namespace magnoliaspan {

/// \brief Limits on requests to a replica that may be cold.
struct ColdLimits {
    Duration warmUp{};            ///< How long a target is cold after it starts.
    double requestsPerSecond = 0; ///< This host's share of the requests that a cold target can take.
};

/// \brief State of one replica derived from its registry entries, connects and exchanges.
class ReplicaHealth
{
public:
    /// \param coldLeft how long the target stays cold according to its entry.
    /// \param phase of this host's first send to a cold target, 0 to 1 of the interval between two of them. It differs
    /// between hosts, so that all of them together stay within the limit from the first second on.
    ReplicaHealth(const Clock &clock, const ColdLimits &limits, Duration coldLeft, double phase);

    void setLimits(const ColdLimits &limits);

    /// \brief Applies a changed entry of the same target instance.
    void onEntryChanged(Duration coldLeft);

    /// \brief Treats the target as cold for its warm-up time; it may have turned cold before its entry says so.
    void suspectCold();

    /// \returns whether it is, or may be, cold.
    bool isCold() const;

    /// \brief Acquires permission to send one request to a cold replica.
    /// \returns false if this host's share is used up.
    bool tryAcquireColdSend();

    /// \param silent whether nothing came back, as when a packet is lost; otherwise the connect was refused.
    void recordConnectFailure(bool silent);
    void recordConnect();
    unsigned consecutiveConnectFailures() const;
    TimePoint unreachableUntil() const;

    /// \brief Records an exchange with a successful response.
    void recordSuccess();

    /// \brief Records an exchange without one and starts a backoff.
    void recordFailure();

    /// \brief Records that a response of any kind arrived.
    void recordResponse();

    /// \brief Forgets failures that were not the target's, because this host was cut off from all targets.
    void onContactRegained();

    /// \returns the recent share of exchanges without a successful response, 0 to 1.
    double failureRate() const;

    /// \returns whether it failed just now, so that it is chosen only when all others are in backoff too.
    bool isInBackoff() const;

    Duration sinceLastResponse() const;

private:
    void resetColdTokens();

    const Clock &clock_;
    ColdLimits limits_;
    double phase_;
    TimePoint coldUntil_;
    bool restartSuspected_ = false; // Connects have failed since the last success; it may have restarted and be cold.
    double coldTokens_ = 0;         // Invariant: from 0 to 1.
    TimePoint coldTokensAt_{};      // When coldTokens_ was last refilled.
    unsigned consecutiveConnectFailures_ = 0;
    TimePoint unreachableUntil_{};
    unsigned consecutiveFailures_ = 0;
    TimePoint backoffUntil_{};
    double failureRate_ = 0; // At failureRateAt_; decays from then on.
    TimePoint failureRateAt_{};
    TimePoint lastResponseAt_{};
};

} // namespace magnoliaspan
