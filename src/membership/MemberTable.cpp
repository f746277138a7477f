/*
 * Part membership: the table of hosts.
 */
#include "membership/MemberTable.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

// Regions may lose each other for an hour; hosts on the other side go on sending all that time.
constexpr Duration goneCounts = std::chrono::hours(2);
// A host that ends has no share in bounds over ten seconds once these have passed.
constexpr Duration leftCounts = std::chrono::seconds(30);
// Bytes between zones are dear; hosts of a zone probe each other, and all of them together reach the others often enough.
constexpr unsigned farEvery = 4;

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

void MemberTable::outlive(std::uint64_t incarnation)
{
    self_.incarnation = std::max(self_.incarnation, incarnation + 1);
}

void MemberTable::leave()
{
    self_.state = HostState::Left;
}

bool MemberTable::learn(const Member &news, TimePoint now)
{
    const auto found = others_.find(news.name);
    if (found != others_.end() && !supersedes(news, found->second.member)) {
        return false;
    }
    others_[news.name] = {news, now};
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

const Member *MemberTable::nextProbe()
{
    const bool ownZone = ++probes_ % farEvery != 0;
    const Member *first = nextOf(ownZone ? near_ : far_, ownZone);
    return first != nullptr ? first : nextOf(ownZone ? far_ : near_, !ownZone);
}

const Member *MemberTable::nextOf(std::vector<std::string> &round, bool ownZone)
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

const Member *MemberTable::anyLost()
{
    std::vector<const Member *> lost;
    for (const auto &[name, record] : others_) {
        if (record.member.state == HostState::Gone) {
            lost.push_back(&record.member);
        }
    }
    if (lost.empty()) {
        return nullptr;
    }
    return lost.at(std::uniform_int_distribution<std::size_t>(0, lost.size() - 1)(random_));
}

std::vector<Member> MemberTable::sample(std::size_t count)
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

bool MemberTable::counts(const Record &record, TimePoint now)
{
    switch (record.member.state) {
    case HostState::Alive:
    case HostState::Suspect:
        return true;
    case HostState::Gone:
        return now - record.changedAt < goneCounts;
    case HostState::Left:
        break;
    }
    return now - record.changedAt < leftCounts;
}

unsigned MemberTable::sharing(const std::set<std::string> &zones, TimePoint now) const
{
    std::map<std::string, unsigned> hosts;
    ++hosts[self_.zone];
    for (const auto &[name, record] : others_) {
        hosts[record.member.zone] += counts(record, now) ? 1 : 0;
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

std::size_t MemberTable::alive() const
{
    return static_cast<std::size_t>(
        std::count_if(others_.begin(), others_.end(), [](const auto &entry) { return mayBeAlive(entry.second.member); }));
}

std::vector<Member> MemberTable::aliveIn(const std::optional<std::string> &zone) const
{
    std::vector<Member> result;
    for (const auto &[name, record] : others_) {
        if (record.member.state == HostState::Alive && (!zone || record.member.zone == *zone)) {
            result.push_back(record.member);
        }
    }
    return result;
}

void MemberTable::forget(TimePoint now)
{
    std::erase_if(others_, [now](const auto &entry) { return !counts(entry.second, now); });
}

} // namespace magnoliaspan
