/*
 * Part forward: what this host believes of a replica's condition: cold, unreachable, failing.
 */
#pragma once

#include "core/Clock.h"

#include <cstdint>

namespace magnoliaspan {

/// \brief How a replica that may be cold is to be treated.
struct ColdLimits {
    Duration warmUp{};            ///< How long a target is cold after a start.
    double requestsPerSecond = 0; ///< This host's share of the requests that a cold target bears.
};

/// \brief Beliefs that entries, connects and exchanges of one replica lead to.
class ReplicaHealth
{
public:
    /// \param coldLeft how long the target's entry says that it stays cold.
    /// \param phase of this host's first send to a cold target, 0 to 1 of the time between two of them. It differs
    /// between hosts, so that all of them together stay within the bound from the first second on.
    ReplicaHealth(const Clock &clock, const ColdLimits &limits, Duration coldLeft, double phase);

    void setLimits(const ColdLimits &limits);

    /// \brief Tells of a changed entry of the same start.
    void onEntryChanged(Duration coldLeft);

    /// \brief Tells that the target may have turned cold without saying so.
    void suspectCold();

    /// \returns whether it is, or may be, cold.
    bool isCold() const;

    /// \brief Takes leave to send one request to a cold replica. \returns false when its share is used up.
    bool tryAcquireColdSend();

    /// \param silent whether nothing came back, as when a packet is lost; otherwise the connect was refused.
    void recordConnectFailure(bool silent);
    void recordConnect();
    unsigned consecutiveConnectFailures() const;
    TimePoint unreachableUntil() const;

    /// \brief Tells of an exchange with or without a good answer.
    void recordSuccess();
    void recordFailure();

    /// \brief Tells that anything at all came from the target.
    void recordResponse();

    /// \returns the recent share of exchanges without a good answer, 0 to 1.
    double failureRate() const;

    /// \returns whether it failed just now.
    bool isInBackoff() const;

    Duration sinceLastResponse() const;

private:
    void resetColdTokens();

    const Clock &clock_;
    ColdLimits limits_;
    double phase_;
    TimePoint coldUntil_;
    bool restartSuspected_ = false; // Connects failed since the last sign of life; it may have started again.
    double coldTokens_ = 0;         // Invariant: from 0 to 1.
    TimePoint coldTokensAt_{};
    unsigned consecutiveConnectFailures_ = 0; // In a row.
    TimePoint unreachableUntil_{};
    unsigned consecutiveFailures_ = 0; // In a row.
    TimePoint backoffUntil_{};
    double failureRate_ = 0; // At failureRateAt_.
    TimePoint failureRateAt_{};
    TimePoint lastResponseAt_{};
};

} // namespace magnoliaspan
