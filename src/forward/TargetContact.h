/*
 * Detects that this host reaches no target at all, as opposed to targets that are down or slow.
 *
 * The evidence is what attempts see anyway. Contact is in doubt if several targets are silent and none responds, or if
 * connects to several targets fail and none succeeds; old connections may still work then. In doubt, connections to some
 * targets are opened. If none opens, contact is lost, and the probes go on until one does.
 */
#pragma once

#include "core/Clock.h"
#include "core/Counters.h"
#include "core/Journal.h"
#include "core/Scheduler.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Tracks whether any target can be reached from this host.
class TargetContact
{
public:
    /// \brief What the owner has to do.
    struct Listener {
        std::function<void()> probe;            ///< Opens connections to a few targets, whatever their state.
        std::function<void(bool lost)> changed; ///< Called after each change of isLost().
    };

    TargetContact(const Clock &clock, Scheduler &scheduler, Journal &journal, Counters &counters);

    void setListener(Listener listener);

    /// \brief Records that a target has responded in any way.
    void recordResponse();

    /// \brief Records that a target accepted a connection.
    void recordConnect();

    /// \brief Records that an exchange with \p target ended without a response or is late.
    void recordSilence(std::string_view target);

    /// \brief Records that a connect to \p target failed.
    void recordConnectFailure(std::string_view target);

    /// \returns whether no new connection to a target can be opened.
    bool isLost() const;

    /// \returns whether old connections carry no responses either; valid while isLost().
    bool isSilent() const;

private:
    using Targets = std::set<std::string, std::less<>>;

    bool isInDoubt() const;
    void recordDoubt(Targets &targets, std::string_view target, TimePoint lastContact);
    /// \param probedAt time of the first probes of this doubt, if there were any yet.
    void check(std::optional<TimePoint> probedAt);
    void scheduleCheck(Duration wait, std::optional<TimePoint> probedAt);

    const Clock &clock_;
    Scheduler &scheduler_;
    Journal &journal_;
    Counters &counters_;
    Listener listener_;
    // Both instants are that of the start of this host at first.
    TimePoint lastResponseAt_;
    TimePoint lastConnectAt_;
    Targets silentTargets_;  // Since the last response or connect; no more than are needed for doubt.
    Targets failedConnects_; // Targets since the last successful connect, as above.
    bool lost_ = false;
    bool checking_ = false;              // Invariant: exactly one check is scheduled while set.
    std::shared_ptr<int> lifetimeToken_; // Callbacks hold it weakly and do nothing once this object is destroyed.
};

} // namespace magnoliaspan
