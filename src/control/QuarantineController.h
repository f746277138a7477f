/*
 * Part control: requests that may crash each target that runs them.
 *
 * A target lost while it runs a request is evidence against the request. From
 * then on the request is a suspect: one subrequest of it runs at a time. An
 * answer clears it; a target lost by such a single run puts it into
 * quarantine. Losses among subrequests sent before the first evidence count
 * once, so that a rack that fails under an innocent request only makes it a
 * suspect for one round trip.
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

/// Hash of what a request asks, whoever sends it.
enum class Fingerprint : std::uint64_t {};

/// \returns the fingerprint of \p content asked of \p system.
Fingerprint fingerprintOf(std::string_view system, std::string_view content);

/// What is held against a request.
enum class Suspicion { None, Suspect, Quarantined };

/// \brief Judges requests by the targets lost while running them.
class QuarantineController
{
public:
    /// Time for which evidence and quarantine last.
    static constexpr Duration lifetime = std::chrono::minutes(10);

    /// Requests remembered at most; the one to expire first makes room.
    static constexpr std::size_t capacity = 1'000;

    QuarantineController(const Clock &clock, Journal &journal, Counters &counters);

    Suspicion suspicion(Fingerprint fingerprint) const;

    /// \returns whether a suspect may send a subrequest now; takes the right when it may.
    bool tryAcquireSingleRun(Fingerprint fingerprint);

    /// \brief Gives back the right of takeSingleRun() without evidence either way.
    void releaseSingleRun(Fingerprint fingerprint);

    /// \brief Tells that \p target was lost with the request in flight.
    /// \param singleRun whether it was sent under takeSingleRun().
    /// \param bootId of the start that was lost.
    void recordTargetLoss(Fingerprint fingerprint, std::string_view target, std::string_view bootId, bool singleRun);

    /// \brief Tells that the start \p bootId of \p target was not lost after all: only a connection was.
    void withdrawTargetLoss(std::string_view target, std::string_view bootId);

    /// \brief Tells that a target ran the request to its end.
    void recordCompletion(Fingerprint fingerprint, bool singleRun);

    /// \brief Takes over what another entry host holds against a request.
    void mergeFromPeer(Fingerprint fingerprint, Suspicion suspicion, std::string_view source);

    /// \brief Calls \p listener when evidence of this host's own changes a suspicion.
    void onLocalChange(std::function<void(Fingerprint, Suspicion)> listener);

    /// \returns the requests of which \p suspicion is held.
    std::vector<Fingerprint> fingerprintsWith(Suspicion suspicion) const;

private:
    struct TargetLoss {
        std::string target;
        std::string bootId;
    };

    struct Record {
        Suspicion suspicion = Suspicion::None;
        bool singleRunActive = false; // Invariant: at most one subrequest of a suspect runs.
        TimePoint expiresAt;
        std::vector<TargetLoss> evidence; // Invariant: this host's own losses that count, at most two.
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
