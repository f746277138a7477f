/*
 * Part membership: all hosts that this host has heard of, itself among them.
 */
#pragma once

#include "core/Time.h"
#include "membership/Member.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief Keeps the newest news on each host and counts those that share the bounds of the targets.
class MemberTable
{
public:
    /// \param self this host.
    MemberTable(Member self, std::uint64_t seed);

    const Member &self() const;

    /// \brief Raises this host's incarnation above \p incarnation.
    void raiseIncarnationAbove(std::uint64_t incarnation);

    /// \brief Changes this host's own state; after Left it only tells others.
    void markLeft();

    /// \brief Takes over news on another host. \returns whether they were new.
    bool apply(const Member &update, TimePoint now);

    /// \returns what is known of \p name, or null.
    const Member *find(std::string_view name) const;

    /// \brief Chooses whom to probe: mostly hosts of the own zone, to which datagrams are cheap, now and then one of another.
    /// Of either kind each host that may be alive comes up once in a round, in random order.
    const Member *nextMemberToProbe();

    /// \brief Chooses a host that does not answer, to be tried again: a cut-off part is found again by this.
    const Member *randomGoneMember();

    /// \returns up to \p count other hosts that may be alive, at random.
    std::vector<Member> randomMembers(std::size_t count);

    /// \returns the hosts that share the bounds of the targets, this one included: those that may be alive, and for a
    /// while those that are gone, which may only be cut off and still send. A zone of \p zones without any host counts as
    /// large as the largest that is known.
    unsigned countSharingHosts(const std::set<std::string> &zones, TimePoint now) const;

    /// \returns other hosts that may be alive.
    std::size_t aliveCount() const;

    /// \returns other hosts that answer, of \p zone or of all.
    std::vector<Member> aliveMembers(const std::optional<std::string> &zone) const;

    /// \brief Forgets hosts that have long been gone.
    void removeExpired(TimePoint now);

private:
    struct Record {
        Member member;
        TimePoint changedAt; // When its state was last taken over.
    };

    const Member *nextInRound(std::vector<std::string> &round, bool ownZone);
    static bool mayBeAlive(const Member &member);
    static bool sharesLimits(const Record &record, TimePoint now);

    Member self_;
    std::mt19937_64 random_;
    std::map<std::string, Record, std::less<>> others_; // By name.
    std::vector<std::string> ownZoneRound_;             // Of the own zone, still to be probed in this round.
    std::vector<std::string> otherZonesRound_;          // The same of other zones.
    unsigned probeCount_ = 0;
};

} // namespace magnoliaspan
