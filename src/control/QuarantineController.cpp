/*
 * Rules by which evidence changes the suspicion against a request.
 */
#include "control/QuarantineController.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace magnoliaspan {

Fingerprint fingerprintOf(std::string_view system, std::string_view content)
{
    const XXH64_hash_t seed = XXH3_64bits(system.data(), system.size());
    return Fingerprint{XXH3_64bits_withSeed(content.data(), content.size(), seed)};
}

QuarantineController::QuarantineController(const Clock &clock, Journal &journal, Counters &counters)
    : clock_(clock)
    , journal_(journal)
    , counters_(counters)
{
}

Suspicion QuarantineController::suspicion(Fingerprint fingerprint) const
{
    const auto found = records_.find(fingerprint);
    if (found == records_.end() || found->second.expiresAt <= clock_.now()) {
        return Suspicion::None;
    }
    return found->second.suspicion;
}

bool QuarantineController::tryAcquireSingleRun(Fingerprint fingerprint)
{
    Record *record = findRecord(fingerprint);
    if (record == nullptr || record->suspicion != Suspicion::Suspect || record->singleRunActive) {
        return false;
    }
    record->singleRunActive = true;
    return true;
}

void QuarantineController::releaseSingleRun(Fingerprint fingerprint)
{
    Record *record = findRecord(fingerprint);
    if (record != nullptr) {
        record->singleRunActive = false;
    }
}

void QuarantineController::recordTargetLoss(Fingerprint fingerprint, std::string_view target, std::string_view bootId, bool singleRun)
{
    const Suspicion before = suspicion(fingerprint);
    if (before == Suspicion::Quarantined || (before == Suspicion::Suspect && !singleRun)) {
        return;
    }
    const Suspicion after = before == Suspicion::None ? Suspicion::Suspect : Suspicion::Quarantined;
    Record &record = upsertRecord(fingerprint, after);
    record.singleRunActive = false;
    record.evidence.push_back({std::string(target), std::string(bootId)});
    if (after == Suspicion::Quarantined) {
        counters_.add("magnoliaspan_quarantines_total");
    }
    const std::string_view state = after == Suspicion::Suspect ? "suspect" : "quarantined";
    journal_.record(LogCategory::Quarantine,
                    "",
                    fmt::format("target lost while running request fingerprint={:016x} target={} now={}",
                                static_cast<std::uint64_t>(fingerprint),
                                target,
                                state));
    if (listener_) {
        listener_(fingerprint, after);
    }
}

void QuarantineController::withdrawTargetLoss(std::string_view target, std::string_view bootId)
{
    for (auto it = records_.begin(); it != records_.end();) {
        Record &record = it->second;
        const auto removed = std::erase_if(
            record.evidence, [target, bootId](const TargetLoss &lost) { return lost.target == target && lost.bootId == bootId; });
        if (removed == 0) {
            ++it;
            continue;
        }
        journal_.record(LogCategory::Quarantine,
                        "",
                        fmt::format("evidence withdrawn fingerprint={:016x} target={}", static_cast<std::uint64_t>(it->first), target));
        record.suspicion = Suspicion::Suspect;
        it = record.evidence.empty() ? records_.erase(it) : std::next(it);
    }
}

void QuarantineController::recordCompletion(Fingerprint fingerprint, bool singleRun)
{
    Record *record = findRecord(fingerprint);
    if (record == nullptr || record->suspicion != Suspicion::Suspect) {
        return;
    }
    if (!singleRun && record->singleRunActive) {
        return;
    }
    records_.erase(fingerprint);
    journal_.record(
        LogCategory::Quarantine, "", fmt::format("request cleared fingerprint={:016x}", static_cast<std::uint64_t>(fingerprint)));
    if (listener_) {
        listener_(fingerprint, Suspicion::None);
    }
}

void QuarantineController::mergeFromPeer(Fingerprint fingerprint, Suspicion suspicion, std::string_view source)
{
    const Suspicion before = this->suspicion(fingerprint);
    if (suspicion <= before) {
        return;
    }
    upsertRecord(fingerprint, suspicion);
    journal_.record(
        LogCategory::Quarantine,
        "",
        fmt::format("suspicion of peer applied fingerprint={:016x} source={}", static_cast<std::uint64_t>(fingerprint), source));
}

void QuarantineController::onLocalChange(std::function<void(Fingerprint, Suspicion)> listener)
{
    listener_ = std::move(listener);
}

std::vector<Fingerprint> QuarantineController::fingerprintsWith(Suspicion wantedSuspicion) const
{
    std::vector<Fingerprint> fingerprints;
    for (const auto &[fingerprint, record] : records_) {
        if (suspicion(fingerprint) == wantedSuspicion) {
            fingerprints.push_back(fingerprint);
        }
    }
    return fingerprints;
}

QuarantineController::Record *QuarantineController::findRecord(Fingerprint fingerprint)
{
    const auto found = records_.find(fingerprint);
    return found == records_.end() ? nullptr : &found->second;
}

QuarantineController::Record &QuarantineController::upsertRecord(Fingerprint fingerprint, Suspicion suspicion)
{
    if (records_.count(fingerprint) == 0 && records_.size() >= capacity) {
        evictEarliestExpiring();
    }
    Record &record = records_[fingerprint];
    record.suspicion = suspicion;
    record.expiresAt = clock_.now() + lifetime;
    return record;
}

void QuarantineController::evictEarliestExpiring()
{
    const auto first = std::min_element(
        records_.begin(), records_.end(), [](const auto &a, const auto &b) { return a.second.expiresAt < b.second.expiresAt; });
    records_.erase(first);
}

} // namespace magnoliaspan
