/*
 * Detects requests that crash the targets that run them, from losses observed on all hosts, and limits what they can do.
 *
 * A request under which a target was lost is suspect: attempts of it are trials, one at a time, first at a service of which
 * a target was lost. Each trial that ends well refutes the losses of its service and doubles the trials allowed at once;
 * without losses left the request is no longer suspect. A request whose losses go on is refused for a while.
 */
#pragma once

#include "control/QuarantineController.h"
#include "core/Clock.h"
#include "core/Counters.h"
#include "core/Journal.h"
#include "core/Scheduler.h"
#include "discovery/TargetEntry.h"
#include "forward/CrashRecord.h"
#include "forward/CrashTrial.h"
#include "membership/CrashReport.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace magnoliaspan {

/// Whether an attempt may be sent now.
enum class SendDecision {
    Allowed,
    Deferred, ///< Other trials of the request run, or the cause of its losses is not decided yet.
    Refused,
};

/// \brief Permission to send one attempt.
struct SendPermit {
    SendDecision decision = SendDecision::Allowed;
    std::shared_ptr<CrashTrial> trial; ///< Set if the attempt is a trial; it ends when the last reference is dropped.
};

/// \brief Decides for each request, by its fingerprint, whether it may be sent.
class CrashGuard
{
public:
    CrashGuard(const Clock &clock, Scheduler &scheduler, Journal &journal, Counters &counters);
    ~CrashGuard() = default;
    CrashGuard(const CrashGuard &) = delete;
    CrashGuard &operator=(const CrashGuard &) = delete;

    /// \returns when \p request may be sent again; nothing if it is not refused.
    std::optional<TimePoint> refusedUntil(Fingerprint request) const;

    /// \returns whether a target of \p service was lost while it ran \p request.
    bool isSuspectAt(Fingerprint request, std::string_view service) const;

    /// \returns whether an attempt of \p request may be sent, and the trial as which it is sent.
    SendPermit acquireSend(Fingerprint request);

    /// \returns whether an attempt that was permitted earlier, as \p isTrial or not, may be sent now.
    bool mayStillSend(Fingerprint request, bool isTrial) const;

    /// \brief Calls \p resume once, later, when the answer of acquireSend() may have changed.
    void waitForTrials(Fingerprint request, std::function<void()> resume);

    /// \brief Records that the connection to \p target broke while it ran \p request, which was sent to it at \p sentAt.
    /// \param rejection whether the connection was new and the reset came at once, as from a full target.
    void recordTargetLoss(Fingerprint request, const TargetEntry &target, TimePoint sentAt, bool rejection);

    /// \brief Records a response of any kind from \p target to an exchange, or a connect, that began at \p startedAt.
    /// Withdraws losses of the second before: only a connection was lost, not the target.
    void recordTargetAlive(const TargetEntry &target, TimePoint startedAt);

    /// \brief Records that the address of \p target refuses connections.
    void recordTargetGone(const TargetEntry &target);

    /// \brief Records that a target of \p service ran \p request to its end.
    void recordSurvival(Fingerprint request, std::string_view service);

    /// \brief Merges a report of another host.
    void mergeFromPeer(const CrashReport &report);

    /// \brief Sets the \p listener that is called with what other hosts should know.
    void onReport(std::function<void(const CrashReport &)> listener);

    /// \brief Decides losses that stayed open, reports evidence and drops expired records.
    void tick();

private:
    struct Entry {
        CrashRecord record;
        TimePoint expires;
        std::shared_ptr<RunningTrials> trials = std::make_shared<RunningTrials>();
        unsigned allowedTrials = 1;
        std::vector<std::function<void()>> waiting; // Attempts that were deferred, in their order.
        bool refusalCounted = false;
    };

    struct Refusals {
        TimePoint first;
        TimePoint last;
    };

    Entry &findOrCreate(Fingerprint request);
    void evictOne();
    void onLossesChanged(Fingerprint request, Entry &entry);
    void shareEvidence(Fingerprint request, Entry &entry);
    void onTrialEnded(Fingerprint request);
    void wake(Entry &entry);
    void clearIfRefuted(Fingerprint request);
    void logLoss(Fingerprint request, const Entry &entry, std::string_view source, std::string_view what);

    const Clock &clock_;
    Scheduler &scheduler_;
    Journal &journal_;
    Counters &counters_;
    std::map<Fingerprint, Entry> entries_;
    std::map<std::uint64_t, Refusals> gone_; // Refused connects of lost targets, by the hash of the instance.
    std::function<void(const CrashReport &)> reportListener_;
    TimePoint lastLocalLoss_{};          // The last loss observed by this host.
    std::shared_ptr<int> lifetimeToken_; // Callbacks hold it weakly and do nothing once the guard is destroyed.
};

} // namespace magnoliaspan
