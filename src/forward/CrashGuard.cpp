/*
 * Groups losses of targets by request and decides which requests are refused.
 */
#include "forward/CrashGuard.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace magnoliaspan {

namespace {

// A crashed target takes longer to restart; one that responds within this time lost only a connection.
constexpr Duration confirmationTime = std::chrono::seconds(1);
constexpr Duration lifetime = QuarantineController::lifetime;
// Requests with losses remembered at most; far more than targets crash within one lifetime.
constexpr std::size_t maxRecords = 4'000;

std::uint64_t instanceHash(const TargetEntry &target)
{
    return XXH3_64bits_withSeed(target.id.data(), target.id.size(), static_cast<XXH64_hash_t>(target.startedAt));
}

} // namespace

CrashGuard::CrashGuard(const Clock &clock, Journal &journal, Counters &counters)
    : clock_(clock)
    , journal_(journal)
    , counters_(counters)
{
}

std::optional<TimePoint> CrashGuard::refusedUntil(Fingerprint request) const
{
    const auto found = records_.find(request);
    if (found == records_.end() || found->second.groups.size() < maxLosses || found->second.expires <= clock_.now()) {
        return std::nullopt;
    }
    return found->second.expires;
}

CrashGuard::LossGroup *CrashGuard::findGroup(Record &record, const std::function<bool(const LostInstance &)> &matches)
{
    const auto found = std::find_if(record.groups.begin(), record.groups.end(), [&matches](const LossGroup &group) {
        return std::any_of(group.losses.begin(), group.losses.end(), matches);
    });
    return found == record.groups.end() ? nullptr : &*found;
}

CrashGuard::Record &CrashGuard::findOrCreateRecord(Fingerprint request)
{
    if (!records_.contains(request) && records_.size() >= maxRecords) {
        records_.erase(std::min_element(
            records_.begin(), records_.end(), [](const auto &a, const auto &b) { return a.second.expires < b.second.expires; }));
    }
    Record &record = records_[request];
    record.expires = clock_.now() + lifetime;
    return record;
}

void CrashGuard::recordTargetLoss(Fingerprint request, const TargetEntry &target, TimePoint sentAt)
{
    const TimePoint now = clock_.now();
    lastLocalLoss_ = now;
    Record &record = findOrCreateRecord(request);
    const LostInstance loss{instanceHash(target), now};
    LossGroup *group = findGroup(record, [&](const LostInstance &one) { return one.instance == loss.instance || sentAt < one.lostAt; });
    if (group != nullptr) {
        group->losses.push_back(loss);
        counters_.add("magnoliaspan_crash_losses_total{end=\"joined\"}");
        return;
    }
    record.groups.push_back({{loss}, false});
    counters_.add("magnoliaspan_crash_losses_total{end=\"counted\"}");
    logLoss(request, record, target.id);
}

void CrashGuard::logLoss(Fingerprint request, const Record &record, std::string_view source)
{
    const bool refused = record.groups.size() >= maxLosses;
    if (record.groups.size() == maxLosses) {
        counters_.add("magnoliaspan_quarantines_total");
    }
    journal_.record(LogCategory::Quarantine,
                    "",
                    fmt::format("target lost while running request fingerprint={:016x} source={} losses={} refused={}",
                                static_cast<std::uint64_t>(request),
                                source,
                                record.groups.size(),
                                refused));
}

void CrashGuard::recordResponse(const TargetEntry &target)
{
    const TimePoint now = clock_.now();
    if (now - lastLocalLoss_ <= confirmationTime && !records_.empty()) {
        withdrawLosses(instanceHash(target), now);
    }
}

void CrashGuard::withdrawLosses(std::uint64_t instance, TimePoint now)
{
    for (auto &[request, record] : records_) {
        for (LossGroup &group : record.groups) {
            const auto withdrawn = std::erase_if(group.losses, [&](const LostInstance &one) {
                return !group.reported && one.instance == instance && now - one.lostAt <= confirmationTime;
            });
            counters_.add("magnoliaspan_crash_losses_total{end=\"withdrawn\"}", withdrawn);
        }
        std::erase_if(record.groups, [](const LossGroup &group) { return group.losses.empty(); });
    }
    std::erase_if(records_, [](const auto &entry) { return entry.second.groups.empty(); });
}

void CrashGuard::recordCompletion(Fingerprint request)
{
    if (records_.empty() || records_.erase(request) == 0) {
        return;
    }
    counters_.add("magnoliaspan_crash_losses_total{end=\"cleared\"}");
    journal_.record(LogCategory::Quarantine, "", fmt::format("request cleared fingerprint={:016x}", static_cast<std::uint64_t>(request)));
}

void CrashGuard::mergeFromPeer(const CrashReport &report)
{
    Record &record = findOrCreateRecord(report.request);
    if (findGroup(record, [&report](const LostInstance &one) { return one.instance == report.targetInstance; }) != nullptr) {
        return;
    }
    record.groups.push_back({{{report.targetInstance, clock_.now()}}, true});
    counters_.add("magnoliaspan_crash_losses_total{end=\"received\"}");
    logLoss(report.request, record, "another host");
}

void CrashGuard::onConfirmedLoss(std::function<void(const CrashReport &)> listener)
{
    lossListener_ = std::move(listener);
}

void CrashGuard::tick()
{
    const TimePoint now = clock_.now();
    std::erase_if(records_, [now](const auto &entry) { return entry.second.expires <= now; });
    for (auto &[request, record] : records_) {
        for (LossGroup &group : record.groups) {
            const LostInstance &first = group.losses.front();
            if (group.reported || now - first.lostAt <= confirmationTime) {
                continue;
            }
            group.reported = true;
            if (lossListener_) {
                lossListener_({request, first.instance});
            }
        }
    }
}

} // namespace magnoliaspan
