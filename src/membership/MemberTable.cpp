/*
 * Table of known hosts.
 */
#include "membership/MemberTable.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

// A network partition between regions may last an hour, during which hosts on the other side keep sending.
constexpr Duration goneRetention = std::chrono::hours(2);
// Limits are counted over ten seconds; after this time a host that left no longer uses any share of them.
constexpr Duration leftRetention = std::chrono::seconds(30);
// One probe in this many goes to another zone. Traffic between zones is expensive, and all hosts of a zone together still probe
// the other zones often enough.
constexpr unsigned otherZoneProbePeriod = 4;

} // namespace

MemberTable::MemberTable(Member self, std::uint64_t seed)
    : self_(std::move(self))
    , random_(seed)
{
}

const Member &MemberTable::self() const
{
    return self_;
}

void MemberTable::raiseIncarnationAbove(std::uint64_t incarnation)
{
    self_.incarnation = std::max(self_.incarnation, incarnation + 1);
}

void MemberTable::markLeft()
{
    self_.state = HostState::Left;
}

bool MemberTable::apply(const Member &update, TimePoint now)
{
    const auto found = others_.find(update.name);
    if (found != others_.end() && !supersedes(update, found->second.member)) {
        return false;
    }
    others_[update.name] = {update, now};
    return true;
}

const Member *MemberTable::find(std::string_view name) const
{
    const auto found = others_.find(name);
    return found == others_.end() ? nullptr : &found->second.member;
}

bool MemberTable::mayBeAlive(const Member &member)
{
    return member.state == HostState::Alive || member.state == HostState::Suspect;
}

const Member *MemberTable::nextMemberToProbe()
{
    const bool ownZone = ++probeCount_ % otherZoneProbePeriod != 0;
    const Member *first = nextInRound(ownZone ? ownZoneRound_ : otherZonesRound_, ownZone);
    return first != nullptr ? first : nextInRound(ownZone ? otherZonesRound_ : ownZoneRound_, !ownZone);
}

const Member *MemberTable::nextInRound(std::vector<std::string> &round, bool ownZone)
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!round.empty()) {
            const Member *member = find(round.back());
            round.pop_back();
            if (member != nullptr && mayBeAlive(*member)) {
                return member;
            }
        }
        for (const auto &[name, record] : others_) {
            if ((record.member.zone == self_.zone) == ownZone) {
                round.push_back(name);
            }
        }
        std::shuffle(round.begin(), round.end(), random_);
    }
    return nullptr;
}

const Member *MemberTable::randomAliveMember(bool ownZone)
{
    return randomMember(
        [this, ownZone](const Member &member) { return member.state == HostState::Alive && (!ownZone || member.zone == self_.zone); });
}

const Member *MemberTable::randomGoneMember()
{
    return randomMember([](const Member &member) { return member.state == HostState::Gone; });
}

const Member *MemberTable::randomMember(const std::function<bool(const Member &)> &matches)
{
    std::vector<const Member *> candidates;
    for (const auto &[name, record] : others_) {
        if (matches(record.member)) {
            candidates.push_back(&record.member);
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    return candidates.at(std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random_));
}

std::vector<Member> MemberTable::randomMembers(std::size_t count)
{
    std::vector<Member> candidates;
    for (const auto &[name, record] : others_) {
        if (mayBeAlive(record.member)) {
            candidates.push_back(record.member);
        }
    }
    std::vector<Member> chosen;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen), count, random_);
    return chosen;
}

bool MemberTable::sharesLimits(const Record &record, TimePoint now)
{
    switch (record.member.state) {
    case HostState::Alive:
    case HostState::Suspect:
        return true;
    case HostState::Gone:
        return now - record.changedAt < goneRetention;
    case HostState::Left:
        break;
    }
    return now - record.changedAt < leftRetention;
}

unsigned MemberTable::countSharingHosts(const std::set<std::string> &zones, TimePoint now) const
{
    std::map<std::string, unsigned> hosts;
    ++hosts[self_.zone];
    for (const auto &[name, record] : others_) {
        hosts[record.member.zone] += sharesLimits(record, now) ? 1 : 0;
    }
    unsigned largest = 0;
    unsigned sum = 0;
    for (const auto &[zone, count] : hosts) {
        largest = std::max(largest, count);
        sum += count;
    }
    for (const std::string &zone : zones) {
        sum += hosts.contains(zone) ? 0 : largest;
    }
    return sum;
}

std::size_t MemberTable::aliveCount() const
{
    return static_cast<std::size_t>(
        std::count_if(others_.begin(), others_.end(), [](const auto &entry) { return mayBeAlive(entry.second.member); }));
}

std::vector<Member> MemberTable::aliveMembers(const std::optional<std::string> &zone) const
{
    std::vector<Member> result;
    for (const auto &[name, record] : others_) {
        if (record.member.state == HostState::Alive && (!zone || record.member.zone == *zone)) {
            result.push_back(record.member);
        }
    }
    return result;
}

void MemberTable::removeExpired(TimePoint now)
{
    std::erase_if(others_, [now](const auto &entry) { return !sharesLimits(entry.second, now); });
}

} // namespace magnoliaspan
