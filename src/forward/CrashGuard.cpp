/*
 * Part forward: the evidence against requests.
 */
#include "forward/CrashGuard.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace magnoliaspan {

namespace {

// A crashed target takes longer to be back; one that answers within this time lost only a connection.
constexpr Duration proofTime = std::chrono::seconds(1);
constexpr Duration lifetime = QuarantineController::lifetime;
// Requests with evidence remembered at most; far more than targets crash in a lifetime.
constexpr std::size_t capacity = 4'000;

std::uint64_t hashOf(const TargetEntry &target)
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
    if (found == records_.end() || found->second.waves.size() < maxLosses || found->second.expires <= clock_.now()) {
        return std::nullopt;
    }
    return found->second.expires;
}

CrashGuard::Wave *CrashGuard::waveWith(Record &record, const std::function<bool(const LostTarget &)> &matches)
{
    const auto found = std::find_if(record.waves.begin(), record.waves.end(), [&matches](const Wave &wave) {
        return std::any_of(wave.targets.begin(), wave.targets.end(), matches);
    });
    return found == record.waves.end() ? nullptr : &*found;
}

CrashGuard::Record &CrashGuard::recordOf(Fingerprint request)
{
    if (!records_.contains(request) && records_.size() >= capacity) {
        records_.erase(std::min_element(
            records_.begin(), records_.end(), [](const auto &a, const auto &b) { return a.second.expires < b.second.expires; }));
    }
    Record &record = records_[request];
    record.expires = clock_.now() + lifetime;
    return record;
}

void CrashGuard::lost(Fingerprint request, const TargetEntry &target, TimePoint sentAt)
{
    const TimePoint now = clock_.now();
    lastLoss_ = now;
    Record &record = recordOf(request);
    const LostTarget loss{hashOf(target), now};
    Wave *wave = waveWith(record, [&](const LostTarget &one) { return one.start == loss.start || sentAt < one.lostAt; });
    if (wave != nullptr) {
        wave->targets.push_back(loss);
        return;
    }
    record.waves.push_back({{loss}, false});
    judged(request, record, target.id);
}

void CrashGuard::judged(Fingerprint request, const Record &record, std::string_view source)
{
    const bool refused = record.waves.size() >= maxLosses;
    if (record.waves.size() == maxLosses) {
        counters_.add("magnoliaspan_quarantines_total");
    }
    journal_.note(Part::Quarantine,
                  "",
                  fmt::format("target lost under request fingerprint={:016x} source={} losses={} refused={}",
                              static_cast<std::uint64_t>(request),
                              source,
                              record.waves.size(),
                              refused));
}

void CrashGuard::answered(const TargetEntry &target)
{
    const TimePoint now = clock_.now();
    if (now - lastLoss_ <= proofTime && !records_.empty()) {
        withdraw(hashOf(target), now);
    }
}

void CrashGuard::withdraw(std::uint64_t start, TimePoint now)
{
    for (auto &[request, record] : records_) {
        for (Wave &wave : record.waves) {
            std::erase_if(wave.targets,
                          [&](const LostTarget &one) { return !wave.told && one.start == start && now - one.lostAt <= proofTime; });
        }
        std::erase_if(record.waves, [](const Wave &wave) { return wave.targets.empty(); });
    }
    std::erase_if(records_, [](const auto &entry) { return entry.second.waves.empty(); });
}

void CrashGuard::completed(Fingerprint request)
{
    if (records_.empty() || records_.erase(request) == 0) {
        return;
    }
    journal_.note(Part::Quarantine, "", fmt::format("request cleared fingerprint={:016x}", static_cast<std::uint64_t>(request)));
}

void CrashGuard::heard(const CrashReport &report)
{
    Record &record = recordOf(report.request);
    if (waveWith(record, [&report](const LostTarget &one) { return one.start == report.targetInstance; }) != nullptr) {
        return;
    }
    record.waves.push_back({{{report.targetInstance, clock_.now()}}, true});
    judged(report.request, record, "another host");
}

void CrashGuard::onLoss(std::function<void(const CrashReport &)> listener)
{
    listener_ = std::move(listener);
}

void CrashGuard::tick()
{
    const TimePoint now = clock_.now();
    std::erase_if(records_, [now](const auto &entry) { return entry.second.expires <= now; });
    for (auto &[request, record] : records_) {
        for (Wave &wave : record.waves) {
            const LostTarget &first = wave.targets.front();
            if (wave.told || now - first.lostAt <= proofTime) {
                continue;
            }
            wave.told = true;
            if (listener_) {
                listener_({request, first.start});
            }
        }
    }
}

} // namespace magnoliaspan
