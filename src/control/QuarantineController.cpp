/*
 * Part control: the evidence rules.
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
    if (found == records_.end() || found->second.expires <= clock_.now()) {
        return Suspicion::None;
    }
    return found->second.suspicion;
}

bool QuarantineController::takeSingleRun(Fingerprint fingerprint)
{
    Record *record = find(fingerprint);
    if (record == nullptr || record->suspicion != Suspicion::Suspect || record->singleRunTaken) {
        return false;
    }
    record->singleRunTaken = true;
    return true;
}

void QuarantineController::releaseSingleRun(Fingerprint fingerprint)
{
    Record *record = find(fingerprint);
    if (record != nullptr) {
        record->singleRunTaken = false;
    }
}

void QuarantineController::targetLost(Fingerprint fingerprint, std::string_view target, std::string_view bootId, bool singleRun)
{
    const Suspicion before = suspicion(fingerprint);
    if (before == Suspicion::Quarantined || (before == Suspicion::Suspect && !singleRun)) {
        return;
    }
    const Suspicion after = before == Suspicion::None ? Suspicion::Suspect : Suspicion::Quarantined;
    Record &record = remember(fingerprint, after);
    record.singleRunTaken = false;
    record.evidence.push_back({std::string(target), std::string(bootId)});
    if (after == Suspicion::Quarantined) {
        counters_.add("magnoliaspan_quarantines_total");
    }
    const std::string_view state = after == Suspicion::Suspect ? "suspect" : "quarantined";
    journal_.record(
        LogCategory::Quarantine,
        "",
        fmt::format(
            "target lost under request fingerprint={:016x} target={} now={}", static_cast<std::uint64_t>(fingerprint), target, state));
    if (listener_) {
        listener_(fingerprint, after);
    }
}

void QuarantineController::targetSurvived(std::string_view target, std::string_view bootId)
{
    for (auto it = records_.begin(); it != records_.end();) {
        Record &record = it->second;
        const auto dropped = std::erase_if(
            record.evidence, [target, bootId](const LostTarget &lost) { return lost.target == target && lost.bootId == bootId; });
        if (dropped == 0) {
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

void QuarantineController::completed(Fingerprint fingerprint, bool singleRun)
{
    Record *record = find(fingerprint);
    if (record == nullptr || record->suspicion != Suspicion::Suspect) {
        return;
    }
    if (!singleRun && record->singleRunTaken) {
        return;
    }
    records_.erase(fingerprint);
    journal_.record(
        LogCategory::Quarantine, "", fmt::format("request cleared fingerprint={:016x}", static_cast<std::uint64_t>(fingerprint)));
    if (listener_) {
        listener_(fingerprint, Suspicion::None);
    }
}

void QuarantineController::heard(Fingerprint fingerprint, Suspicion suspicion, std::string_view source)
{
    const Suspicion before = this->suspicion(fingerprint);
    if (suspicion <= before) {
        return;
    }
    remember(fingerprint, suspicion);
    journal_.record(LogCategory::Quarantine,
                    "",
                    fmt::format("notice taken over fingerprint={:016x} source={}", static_cast<std::uint64_t>(fingerprint), source));
}

void QuarantineController::onEvidence(std::function<void(Fingerprint, Suspicion)> listener)
{
    listener_ = std::move(listener);
}

std::vector<Fingerprint> QuarantineController::withSuspicion(Suspicion wanted) const
{
    std::vector<Fingerprint> fingerprints;
    for (const auto &[fingerprint, record] : records_) {
        if (suspicion(fingerprint) == wanted) {
            fingerprints.push_back(fingerprint);
        }
    }
    return fingerprints;
}

QuarantineController::Record *QuarantineController::find(Fingerprint fingerprint)
{
    const auto found = records_.find(fingerprint);
    return found == records_.end() ? nullptr : &found->second;
}

QuarantineController::Record &QuarantineController::remember(Fingerprint fingerprint, Suspicion suspicion)
{
    if (records_.count(fingerprint) == 0 && records_.size() >= capacity) {
        makeRoom();
    }
    Record &record = records_[fingerprint];
    record.suspicion = suspicion;
    record.expires = clock_.now() + lifetime;
    return record;
}

void QuarantineController::makeRoom()
{
    const auto first = std::min_element(
        records_.begin(), records_.end(), [](const auto &a, const auto &b) { return a.second.expires < b.second.expires; });
    records_.erase(first);
}

} // namespace magnoliaspan
