/*
 * The published targets, zone evacuations and routing table as last read by this host.
 */
#pragma once

#include "core/Journal.h"
#include "discovery/DepartedTargets.h"
#include "discovery/DiscoverySource.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Holds the latest published state and notifies its listener of each change.
class Registry
{
public:
    /// \brief Called after each change, in order.
    struct Listener {
        std::function<void(const RoutingTablePtr &table)> tableAccepted;
        std::function<void(const TargetEntry &entry)> targetChanged;
        std::function<void(const std::string &id)> targetRemoved;
        std::function<void(const std::string &zone, bool evacuated)> zoneChanged;
        std::function<void()> readApplied; ///< After all changes of one read.
    };

    explicit Registry(Journal &journal);

    void setListener(Listener listener);

    /// \brief Applies the changes of \p result; if that is complete, also removes the entries that it does not list. A read
    /// that broke off is a list as well, but removes nothing.
    ///
    /// The first complete result of another era is an older copy of the published state. What is known to be newer stays:
    /// entries of targets that have written since, departures, and, until settle(), evacuations and their ends, as these
    /// are published again soon.
    /// \param keepLapsed whether removed entries may only have lapsed, and are kept until removeLapsed().
    void apply(const DiscoveryReadResult &result, bool keepLapsed);

    /// \returns the number of the last lapse; each entry that lapses gets the next one.
    std::uint64_t lastLapse() const;

    /// \brief Removes the entries of the lapses up to number \p last that were not published again.
    void removeLapsed(std::uint64_t last);

    /// \brief Applies the evacuations that a restored source still contradicts; to be called once operators had time to
    /// publish theirs again.
    void settle();

    /// \returns the table in force, null before the first one.
    const RoutingTablePtr &table() const;

    const std::map<std::string, TargetEntry, std::less<>> &targets() const;
    bool isEvacuated(std::string_view zone) const;

private:
    void applyTable(const RoutingTablePtr &table);
    void applyTarget(const TargetEntry &entry, bool isListed);
    bool isOutdated(const TargetEntry &entry, bool isListed) const;
    void applyEvacuation(const ZoneEvacuation &zone, bool isListed);
    void removeTarget(const std::string &id, bool keepLapsed);
    void setEvacuated(const std::string &zone, bool evacuated);
    void removeMissing(const DiscoveryReadResult &result, bool keepLapsed);

    Journal &journal_;
    Listener listener_;
    RoutingTablePtr table_; // Invariant: its version never decreases.
    std::map<std::string, TargetEntry, std::less<>> targets_;
    std::set<std::string, std::less<>> evacuatedZones_;
    std::map<std::string, std::uint64_t, std::less<>> lapsedTargets_; // Number of the lapse by identifier. Invariant: each is in targets_.
    std::uint64_t lastLapse_ = 0;
    std::optional<std::int64_t> era_; // Of the last result; no value before the first.
    bool isSettling_ = false;         // Whether the source was restored and what it lacks may not be published again yet.
    DepartedTargets departedTargets_;
    std::set<std::string, std::less<>> endedEvacuations_;     // Zones whose evacuation was cancelled.
    std::map<std::string, bool, std::less<>> unsettledZones_; // Whether evacuated by the copy, where this host knows otherwise.
};

} // namespace magnoliaspan
