/*
 * Part forward: requests that crash each target that runs them, found from what all hosts see.
 *
 * Sends of a request that were lost together count once: when targets fail under it for reasons of their own, they do so
 * at the same time. A request that came again and was lost again, three times in all, is refused for a while. One answer
 * clears it.
 */
#pragma once

#include "control/QuarantineController.h"
#include "core/Clock.h"
#include "core/Counters.h"
#include "core/Journal.h"
#include "discovery/TargetEntry.h"
#include "membership/PeerDatagram.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace magnoliaspan {

/// \brief Judges requests by the targets lost while they ran them.
class CrashGuard
{
public:
    /// Losses after which a request is refused; operators allow no more than three crashes of it.
    static constexpr std::size_t maxLosses = 3;

    CrashGuard(const Clock &clock, Journal &journal, Counters &counters);

    /// \returns when \p request may be tried again, nothing when it may be now.
    std::optional<TimePoint> refusedUntil(Fingerprint request) const;

    /// \brief Tells that \p target was lost while it ran \p request, sent there at \p sentAt.
    void recordTargetLoss(Fingerprint request, const TargetEntry &target, TimePoint sentAt);

    /// \brief Tells that \p target answered anything: if it was lost just now, only a connection was.
    void recordResponse(const TargetEntry &target);

    /// \brief Tells that a target ran \p request to its end.
    void recordCompletion(Fingerprint request);

    /// \brief Takes over what another host saw.
    void mergeFromPeer(const CrashReport &report);

    /// \brief Calls \p listener with each loss of this host's own that has proved to be one.
    void onConfirmedLoss(std::function<void(const CrashReport &)> listener);

    /// \brief Does what is due: tells of losses that proved true, forgets old ones.
    void tick();

private:
    struct LostInstance {
        std::uint64_t instance = 0; // Hash of the target's start.
        TimePoint lostAt;
    };

    // Sends that were lost together.
    struct LossGroup {
        std::vector<LostInstance> losses; // Invariant: not empty.
        bool reported = false;            // Whether other hosts know, so that it is not withdrawn any more.
    };

    struct Record {
        std::vector<LossGroup> groups; // Invariant: no two name the same start.
        TimePoint expires;
    };

    /// \returns the first wave that holds a target that \p matches, or null.
    static LossGroup *findGroup(Record &record, const std::function<bool(const LostInstance &)> &matches);
    Record &findOrCreateRecord(Fingerprint request);
    void withdrawLosses(std::uint64_t instance, TimePoint now);
    void logLoss(Fingerprint request, const Record &record, std::string_view source);

    const Clock &clock_;
    Journal &journal_;
    Counters &counters_;
    std::map<Fingerprint, Record> records_;
    std::function<void(const CrashReport &)> lossListener_;
    TimePoint lastLocalLoss_{}; // Of this host's own.
};

} // namespace magnoliaspan
