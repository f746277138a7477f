/*
 * Detects requests that crash the targets that run them and refuses to send them again, from losses observed on all hosts.
 *
 * Losses of concurrent attempts of one request count once, because targets that fail for reasons of their own fail at the
 * same time. A request that was sent again after a loss and lost again, three losses in all, is refused for a while. One
 * complete response clears it.
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

/// \brief Counts, for each request, the targets lost while they ran it.
class CrashGuard
{
public:
    /// Losses after which a request is refused; operators allow no more than three crashes by one request.
    static constexpr std::size_t maxLosses = 3;

    CrashGuard(const Clock &clock, Journal &journal, Counters &counters);

    /// \returns when \p request may be sent again; nothing if it may be sent now.
    std::optional<TimePoint> refusedUntil(Fingerprint request) const;

    /// \brief Records that \p target was lost while it ran \p request, which was sent to it at \p sentAt.
    void recordTargetLoss(Fingerprint request, const TargetEntry &target, TimePoint sentAt);

    /// \brief Records a response of any kind from \p target.
    /// Withdraws its losses of the last second: only a connection was lost, not the target.
    void recordResponse(const TargetEntry &target);

    /// \brief Clears \p request: a target ran it to completion.
    void recordCompletion(Fingerprint request);

    /// \brief Merges a loss observed by another host.
    void mergeFromPeer(const CrashReport &report);

    /// \brief Sets the \p listener that is called with each confirmed loss observed by this host.
    void onConfirmedLoss(std::function<void(const CrashReport &)> listener);

    /// \brief Reports losses that are now confirmed and drops expired records.
    void tick();

private:
    struct LostInstance {
        std::uint64_t instance = 0; // Hash of the target instance.
        TimePoint lostAt;
    };

    // Losses of concurrent attempts, which count once.
    struct LossGroup {
        std::vector<LostInstance> losses; // Invariant: not empty.
        bool reported = false;            // Whether other hosts were notified; such losses are never withdrawn.
    };

    struct Record {
        std::vector<LossGroup> groups; // Invariant: no instance is in two groups.
        TimePoint expires;
    };

    /// \returns the first group with a loss that \p matches, or null.
    static LossGroup *findGroup(Record &record, const std::function<bool(const LostInstance &)> &matches);
    Record &findOrCreateRecord(Fingerprint request);
    void withdrawLosses(std::uint64_t instance, TimePoint now);
    void logLoss(Fingerprint request, const Record &record, std::string_view source);

    const Clock &clock_;
    Journal &journal_;
    Counters &counters_;
    std::map<Fingerprint, Record> records_;
    std::function<void(const CrashReport &)> lossListener_;
    TimePoint lastLocalLoss_{}; // The last loss observed by this host.
};

} // namespace magnoliaspan
