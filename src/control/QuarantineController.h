/*
 * Quarantines requests that appear to crash the targets that run them.
 *
 * A target lost while it runs a request is evidence against the request, which
 * becomes a suspect: from then on its subrequests run one at a time. A response
 * clears a suspect; the loss of a target during such a single run quarantines
 * it. Losses of subrequests sent before the first evidence count once, so that
 * the failure of a rack makes a harmless request a suspect for one round trip
 * only.
 */
#pragma once

#include "core/Clock.h"
#include "core/Counters.h"
#include "core/Journal.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace magnoliaspan {

/// Hash of the system and content of a request, independent of the caller.
enum class Fingerprint : std::uint64_t {};

/// \returns the fingerprint of a request with \p content to \p system.
Fingerprint fingerprintOf(std::string_view system, std::string_view content);

/// Suspicion that a request crashes targets, in ascending order.
enum class Suspicion { None, Suspect, Quarantined };

/// \brief Derives the suspicion against requests from the targets lost while running them.
class QuarantineController
{
public:
    /// Time for which evidence and quarantine last.
    static constexpr Duration lifetime = std::chrono::minutes(10);

    /// Maximum number of stored requests; beyond it the one that expires first is evicted.
    static constexpr std::size_t capacity = 1'000;

    QuarantineController(const Clock &clock, Journal &journal, Counters &counters);

    Suspicion suspicion(Fingerprint fingerprint) const;

    /// \brief Acquires the right to the single run of a suspect.
    /// \returns false when the request is not a suspect or its single run is in flight.
    bool tryAcquireSingleRun(Fingerprint fingerprint);

    /// \brief Releases a single run that gave no evidence either way.
    void releaseSingleRun(Fingerprint fingerprint);

    /// \brief Records that \p target was lost with the request in flight.
    /// \param bootId of the lost target instance.
    /// \param singleRun whether the subrequest was sent under tryAcquireSingleRun().
    void recordTargetLoss(Fingerprint fingerprint, std::string_view target, std::string_view bootId, bool singleRun);

    /// \brief Withdraws the losses of the instance \p bootId of \p target: it still runs, only a connection was lost.
    void withdrawTargetLoss(std::string_view target, std::string_view bootId);

    /// \brief Records that a target ran the request to completion, which clears a suspect.
    /// \param singleRun whether the subrequest was sent under tryAcquireSingleRun(); others don't count during a single run.
    void recordCompletion(Fingerprint fingerprint, bool singleRun);

    /// \brief Merges the suspicion received from the peer \p source; one that is not higher than its own is ignored.
    void mergeFromPeer(Fingerprint fingerprint, Suspicion suspicion, std::string_view source);

    /// \brief Sets the \p listener that is called when evidence of this host changes a suspicion.
    /// It is not called for suspicions of peers, nor for withdrawn losses.
    void onLocalChange(std::function<void(Fingerprint, Suspicion)> listener);

    /// \returns the requests whose suspicion is \p suspicion.
    std::vector<Fingerprint> fingerprintsWith(Suspicion suspicion) const;

private:
    struct TargetLoss {
        std::string target;
        std::string bootId;
    };

    struct Record {
        Suspicion suspicion = Suspicion::None;
        bool singleRunActive = false; // Invariant: at most one subrequest of a suspect is in flight.
        TimePoint expiresAt;
        std::vector<TargetLoss> evidence; // Invariant: only losses that this host observed and that count, at most two.
    };

    Record *findRecord(Fingerprint fingerprint);
    Record &upsertRecord(Fingerprint fingerprint, Suspicion suspicion);
    void evictEarliestExpiring();

    const Clock &clock_;
    Journal &journal_;
    Counters &counters_;
    std::map<Fingerprint, Record> records_;
    std::function<void(Fingerprint, Suspicion)> listener_;
};

} // namespace magnoliaspan
