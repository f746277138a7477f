/*
 * Evidence that one request crashes the targets that run it.
 *
 * A loss of a target says little by itself: connections break for many reasons, and targets that fail for a reason of their
 * own fail together. So a loss counts once the target is confirmed to be gone; losses count one after another, each under an
 * attempt that was sent after the loss before it; and losses beside which more targets went that did not run the request
 * count less. A target that ran the request to its end refutes the losses of its service, and of no other service.
 */
#pragma once

#include "core/Time.h"

#include <cstdint>
#include <set>
#include <vector>

namespace magnoliaspan {

/// \brief A target lost while it ran the request.
struct TargetLoss {
    std::uint64_t instance = 0; ///< Hash of the target instance.
    std::uint64_t service = 0;  ///< Hash of its service; 0 if it is not known.
    TimePoint sentAt;           ///< When the request was sent to it.
    TimePoint lostAt;           ///< When its connection broke. Invariant: not before sentAt.
    bool rejection = false;     ///< Whether a new connection was reset at once, as a full target does; evidence only once confirmed.
    bool confirmed = false;     ///< Whether the target is known to be gone.
    bool fromPeer = false;      ///< Whether another host reported it, who saw no other cause; its times are less exact.
    bool shared = false;        ///< Whether other hosts know of it.
};

/// \brief Losses of targets under one request.
class CrashRecord
{
public:
    /// Confirmed losses one after another from which on a request is refused; operators allow no more than three crashes.
    static constexpr unsigned maxLosses = 3;
    /// The same, if losses are counted beside which more targets went that did not run the request.
    static constexpr unsigned maxAmbiguousLosses = 5;
    /// A crashed target takes longer to restart; one that responds within this time lost only a connection.
    static constexpr Duration confirmationTime = std::chrono::seconds(1);

    /// \brief Adds a loss, unless one of the same instance is known.
    void addLoss(const TargetLoss &loss);

    /// \brief Withdraws the loss of \p instance that it proves wrong by an exchange or connect that began at \p startedAt.
    /// \returns whether there was one.
    bool withdrawLoss(std::uint64_t instance, TimePoint startedAt);

    /// \brief Confirms the loss of \p instance: its address refuses connections.
    /// \returns whether there was one.
    bool confirmLoss(std::uint64_t instance);

    /// \brief Decides losses before \p instant that neither were confirmed nor withdrawn: rejections are dropped, others confirmed.
    /// \returns whether there was one.
    bool decideLossesBefore(TimePoint instant);

    /// \brief Refutes losses until \p at: those of \p service, and those of all services that had company.
    /// \returns whether there was one.
    bool recordSurvival(std::uint64_t service, TimePoint at);

    /// \brief Records that \p instance went at \p at, whatever it ran.
    void recordTargetGone(std::uint64_t instance, TimePoint at);

    /// \brief Forgets all losses but the last.
    void keepLastLoss();

    /// \returns whether the request may be the cause of a loss.
    bool isSuspect() const;

    /// \returns whether the request is taken to be the cause.
    bool isRefused() const;

    /// \returns whether it would be if the losses that are not decided yet are confirmed.
    bool mayBecomeRefused() const;

    /// \returns the number of confirmed losses one after another.
    unsigned confirmedLosses() const;

    /// \returns whether a loss of \p service is known.
    bool hasLossOf(std::uint64_t service) const;

    /// \returns whether \p loss is evidence for other hosts: confirmed, and no other cause was seen.
    bool isEvidence(const TargetLoss &loss) const;

    const std::vector<TargetLoss> &losses() const;

    /// \brief Marks all losses that are evidence as known to other hosts.
    void markShared();

private:
    struct GoneTarget {
        std::uint64_t instance = 0;
        TimePoint at;
    };

    void dropSpareLoss();
    bool hadCompany(const TargetLoss &loss) const;
    std::vector<TargetLoss> sequence(bool confirmedOnly, bool aloneOnly) const;
    unsigned countSequence(bool confirmedOnly, bool aloneOnly) const;
    bool reachesLimit(bool confirmedOnly) const;

    std::vector<TargetLoss> losses_; // Invariant: no instance twice; at most maxKept.
    std::vector<GoneTarget> gone_;   // Targets that went at about the time of a loss, of losses_ or not; at most maxKept.
    std::set<std::uint64_t> spare_;  // Instances of losses that were dropped from losses_; at most maxSpare.
};

} // namespace magnoliaspan
