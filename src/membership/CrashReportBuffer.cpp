/*
 * Set of reports with a digest that is updated with each change.
 */
#include "membership/CrashReportBuffer.h"

#include <algorithm>
#include <array>
#include <random>
#include <xxhash.h>

namespace magnoliaspan {

namespace {

// A later survival of one request at one service is new information only after this time.
constexpr Duration survivalInterval = std::chrono::seconds(1);

std::uint64_t hashOf(const CrashReportKey &key)
{
    const std::array<std::uint64_t, 3> fields{static_cast<std::uint64_t>(key.kind), static_cast<std::uint64_t>(key.request), key.subject};
    return XXH3_64bits(fields.data(), sizeof(fields));
}

} // namespace

CrashReportBuffer::CrashReportBuffer(const Clock &clock, std::uint64_t seed)
    : clock_(clock)
    , lastInTurn_{CrashReportKind::Loss, Fingerprint{std::mt19937_64(seed)()}, 0}
{
}

Duration CrashReportBuffer::age(const Entry &entry) const
{
    return clock_.now() - entry.receivedAt + (entry.report.ages ? entry.report.ages->ended : Duration::zero());
}

CrashReport CrashReportBuffer::current(const Entry &entry) const
{
    CrashReport report = entry.report;
    if (report.ages) {
        const Duration kept = clock_.now() - entry.receivedAt;
        report.ages->sent += kept;
        report.ages->ended += kept;
    }
    return report;
}

CrashReportBuffer::AddResult CrashReportBuffer::add(const CrashReport &report)
{
    const Entry entry{report, clock_.now()};
    if (age(entry) >= QuarantineController::lifetime) {
        return AddResult::Known;
    }
    const auto found = entries_.find(report.key);
    if (found != entries_.end()) {
        if (report.key.kind == CrashReportKind::Loss || age(entry) + survivalInterval >= age(found->second)) {
            return AddResult::Known;
        }
        found->second = entry;
        queue_.add(report.key);
        return AddResult::New;
    }
    if (entries_.size() >= maxReports) {
        return AddResult::Full;
    }
    entries_.emplace(report.key, entry);
    digest_ ^= hashOf(report.key);
    queue_.add(report.key);
    return AddResult::New;
}

bool CrashReportBuffer::hasQueued() const
{
    return !queue_.empty();
}

std::vector<CrashReport> CrashReportBuffer::takeQueued(std::size_t limit, unsigned maxTransmissions)
{
    std::vector<CrashReport> reports;
    for (const CrashReportKey &key : queue_.takeNext(limit, maxTransmissions)) {
        const auto found = entries_.find(key);
        if (found != entries_.end()) {
            reports.push_back(current(found->second));
        }
    }
    return reports;
}

std::vector<CrashReport> CrashReportBuffer::nextInTurn(std::size_t limit)
{
    std::vector<CrashReport> reports;
    auto next = entries_.upper_bound(lastInTurn_);
    for (std::size_t count = 0; count < std::min(limit, entries_.size()); ++count, ++next) {
        if (next == entries_.end()) {
            next = entries_.begin();
        }
        reports.push_back(current(next->second));
        lastInTurn_ = next->first;
    }
    return reports;
}

std::uint64_t CrashReportBuffer::digest() const
{
    return digest_;
}

std::size_t CrashReportBuffer::size() const
{
    return entries_.size();
}

void CrashReportBuffer::removeExpired()
{
    std::erase_if(entries_, [this](const auto &element) {
        if (age(element.second) < QuarantineController::lifetime) {
            return false;
        }
        digest_ ^= hashOf(element.first);
        return true;
    });
}

} // namespace magnoliaspan
