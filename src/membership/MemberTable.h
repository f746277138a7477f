/*
 * Table of all hosts known to this host, including itself.
 */
#pragma once

#include "core/Time.h"
#include "membership/Member.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief Keeps the latest state of each host and counts the hosts among which the limits on the load of targets are divided.
class MemberTable
{
public:
    /// \param self this host.
    /// \param seed of the random order of probes and samples.
    MemberTable(Member self, std::uint64_t seed);

    const Member &self() const;

    /// \brief Raises this host's incarnation above \p incarnation.
    void raiseIncarnationAbove(std::uint64_t incarnation);

    /// \brief Sets this host's own state to Left.
    void markLeft();

    /// \brief Stores \p update on another host if it supersedes what is known. \returns whether it was stored.
    bool apply(const Member &update, TimePoint now);

    /// \returns the entry of the other host \p name, or null. Valid until the next call of removeExpired().
    const Member *find(std::string_view name) const;

    /// \brief Selects the next host to probe. Most probes go to the own zone, where traffic is cheap; every fourth goes to
    /// another zone. Each alive or suspect host is selected once per round, in random order; own and other zones have
    /// separate rounds.
    /// \returns null if no other host is alive or suspect.
    const Member *nextMemberToProbe();

    /// \brief Selects a random host that is alive, of the own zone or of any.
    /// \returns null if there is none.
    const Member *randomAliveMember(bool ownZone);

    /// \brief Selects a random host in state Gone, so that contact is restored after a network partition has healed.
    /// \returns null if there is none.
    const Member *randomGoneMember();

    /// \returns up to \p count random other hosts that are alive or suspect.
    std::vector<Member> randomMembers(std::size_t count);

    /// \returns the number of hosts that share the limits on the load of targets, including this one: those that are alive
    /// or suspect, and for two hours those that are gone, since they may only be partitioned and still send. A zone of
    /// \p zones without any known host counts with as many hosts as the largest known zone.
    unsigned countSharingHosts(const std::set<std::string> &zones, TimePoint now) const;

    /// \returns the number of other hosts that are alive or suspect.
    std::size_t aliveCount() const;

    /// \returns other hosts in state Alive, of \p zone or, without a value, of all zones.
    std::vector<Member> aliveMembers(const std::optional<std::string> &zone) const;

    /// \brief Removes hosts that have been gone or left for longer than they are counted.
    void removeExpired(TimePoint now);

private:
    struct Record {
        Member member;
        TimePoint changedAt; // Time of the last update that was stored.
    };

    const Member *randomMember(const std::function<bool(const Member &)> &matches);
    const Member *nextInRound(std::vector<std::string> &round, bool ownZone);
    static bool mayBeAlive(const Member &member);
    static bool sharesLimits(const Record &record, TimePoint now);

    Member self_;
    std::mt19937_64 random_;
    std::map<std::string, Record, std::less<>> others_; // By name; without this host.
    std::vector<std::string> ownZoneRound_;             // Hosts of the own zone still to be probed in this round.
    std::vector<std::string> otherZonesRound_;          // The same for the other zones.
    unsigned probeCount_ = 0;
};

} // namespace magnoliaspan
