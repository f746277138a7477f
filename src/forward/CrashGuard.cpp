/*
 * Keeps a record for each request under which a target was lost, and hands out its trials.
 */
#include "forward/CrashGuard.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace magnoliaspan {

namespace {

constexpr Duration lifetime = QuarantineController::lifetime;
// Requests with losses remembered at most; far more than targets crash within one lifetime.
constexpr std::size_t maxEntries = 4'000;
// A retry of an innocent request ends well within this time, after which there is nothing to tell other hosts; callers
// whose request failed ask another host later than this.
constexpr Duration reportDelay = std::chrono::milliseconds(150);
// A target that went may stay published, and so be tried again, for longer than the interval between two tries.
constexpr Duration goneRetention = std::chrono::minutes(1);

std::uint64_t hashOf(const TargetEntry &target)
{
    return XXH3_64bits_withSeed(target.id.data(), target.id.size(), static_cast<XXH64_hash_t>(target.startedAt));
}

std::uint64_t hashOf(std::string_view service)
{
    return XXH3_64bits(service.data(), service.size());
}

} // namespace

CrashGuard::CrashGuard(const Clock &clock, Scheduler &scheduler, Journal &journal, Counters &counters)
    : clock_(clock)
    , scheduler_(scheduler)
    , journal_(journal)
    , counters_(counters)
    , lifetimeToken_(std::make_shared<int>(0))
{
}

std::optional<TimePoint> CrashGuard::refusedUntil(Fingerprint request) const
{
    const auto found = entries_.find(request);
    if (found == entries_.end() || found->second.expires <= clock_.now() || !found->second.record.isRefused()) {
        return std::nullopt;
    }
    return found->second.expires;
}

bool CrashGuard::isSuspectAt(Fingerprint request, std::string_view service) const
{
    const auto found = entries_.find(request);
    return found != entries_.end() && found->second.record.hasLossOf(hashOf(service));
}

SendPermit CrashGuard::acquireSend(Fingerprint request)
{
    const auto found = entries_.find(request);
    if (found == entries_.end() || !found->second.record.isSuspect()) {
        return {};
    }
    if (refusedUntil(request)) {
        return {SendDecision::Refused, nullptr};
    }
    Entry &entry = found->second;
    if (entry.record.mayBecomeRefused() || entry.trials->count >= entry.allowedTrials) {
        return {SendDecision::Deferred, nullptr};
    }
    auto ended = [this, token = std::weak_ptr<int>(lifetimeToken_), request] {
        if (!token.expired()) {
            onTrialEnded(request);
        }
    };
    return {SendDecision::Allowed, std::make_shared<CrashTrial>(entry.trials, std::move(ended))};
}

bool CrashGuard::mayStillSend(Fingerprint request, bool isTrial) const
{
    const auto found = entries_.find(request);
    return found == entries_.end() || !found->second.record.isSuspect() || (isTrial && !refusedUntil(request));
}

void CrashGuard::waitForTrials(Fingerprint request, std::function<void()> resume)
{
    const auto found = entries_.find(request);
    if (found != entries_.end()) {
        found->second.waiting.push_back(std::move(resume));
        return;
    }
    scheduler_.callAt(clock_.now(), std::move(resume));
}

void CrashGuard::onTrialEnded(Fingerprint request)
{
    const auto found = entries_.find(request);
    if (found != entries_.end()) {
        wake(found->second);
    }
}

void CrashGuard::wake(Entry &entry)
{
    for (auto &resume : entry.waiting) {
        scheduler_.callAt(clock_.now(), std::move(resume));
    }
    entry.waiting.clear();
}

// Requests that are refused outlast a flood of losses under other requests.
void CrashGuard::evictOne()
{
    const auto victim = std::min_element(entries_.begin(), entries_.end(), [](const auto &a, const auto &b) {
        return std::pair(a.second.refusalCounted, a.second.expires) < std::pair(b.second.refusalCounted, b.second.expires);
    });
    counters_.add("magnoliaspan_crash_records_evicted_total");
    wake(victim->second);
    entries_.erase(victim);
}

CrashGuard::Entry &CrashGuard::findOrCreate(Fingerprint request)
{
    if (!entries_.contains(request) && entries_.size() >= maxEntries) {
        evictOne();
    }
    return entries_[request];
}

void CrashGuard::recordTargetLoss(Fingerprint request, const TargetEntry &target, TimePoint sentAt, bool rejection)
{
    const TimePoint now = clock_.now();
    lastLocalLoss_ = now;
    Entry &entry = findOrCreate(request);
    entry.expires = std::max(entry.expires, now + lifetime);
    entry.record.addLoss({hashOf(target), hashOf(target.service), sentAt, now, rejection, false, false, false});
    for (const auto &[instance, refusals] : gone_) {
        entry.record.recordTargetGone(instance, refusals.first);
    }
    entry.allowedTrials = 1;
    counters_.add(rejection ? "magnoliaspan_crash_losses_total{end=\"reset_at_once\"}" : "magnoliaspan_crash_losses_total{end=\"seen\"}");
    if (!rejection) {
        logLoss(request, entry, target.id, "target lost while running request");
    }
    onLossesChanged(request, entry);
}

void CrashGuard::recordTargetAlive(const TargetEntry &target, TimePoint startedAt)
{
    if (entries_.empty() || clock_.now() - lastLocalLoss_ > CrashRecord::confirmationTime) {
        return;
    }
    const std::uint64_t instance = hashOf(target);
    std::vector<Fingerprint> changed;
    for (auto &[request, entry] : entries_) {
        if (entry.record.withdrawLoss(instance, startedAt)) {
            counters_.add("magnoliaspan_crash_losses_total{end=\"withdrawn\"}");
            changed.push_back(request);
        }
    }
    for (const Fingerprint request : changed) {
        clearIfRefuted(request);
    }
}

void CrashGuard::recordTargetGone(const TargetEntry &target)
{
    const std::uint64_t instance = hashOf(target);
    const TimePoint now = clock_.now();
    const bool known = !gone_.try_emplace(instance, Refusals{now, now}).second;
    gone_.at(instance).last = now;
    if (now - lastLocalLoss_ > CrashRecord::confirmationTime) {
        return;
    }
    for (auto &[request, entry] : entries_) {
        if (!known) {
            entry.record.recordTargetGone(instance, now);
        }
        if (!entry.record.confirmLoss(instance)) {
            continue;
        }
        counters_.add("magnoliaspan_crash_losses_total{end=\"confirmed\"}");
        logLoss(request, entry, target.id, "loss confirmed, the address refuses connections");
        onLossesChanged(request, entry);
    }
}

// Called when losses were added or confirmed.
void CrashGuard::onLossesChanged(Fingerprint request, Entry &entry)
{
    if (entry.record.isRefused() && !entry.refusalCounted) {
        entry.refusalCounted = true;
        counters_.add("magnoliaspan_quarantines_total");
        logLoss(request, entry, "all losses", "request is refused from now on");
    }
    if (entry.record.confirmedLosses() > 1) {
        shareEvidence(request, entry);
    }
    wake(entry);
}

void CrashGuard::recordSurvival(Fingerprint request, std::string_view service)
{
    const auto found = entries_.find(request);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = found->second;
    const bool known = std::any_of(
        entry.record.losses().begin(), entry.record.losses().end(), [](const TargetLoss &loss) { return loss.shared || loss.fromPeer; });
    if (!entry.record.recordSurvival(hashOf(service), clock_.now())) {
        return;
    }
    entry.allowedTrials *= 2;
    counters_.add("magnoliaspan_crash_losses_total{end=\"refuted\"}");
    if (known && reportListener_) {
        reportListener_({{CrashReportKind::Survival, request, hashOf(service)}, hashOf(service), CrashReportAges{}});
    }
    clearIfRefuted(request);
}

// Called when losses were removed.
void CrashGuard::clearIfRefuted(Fingerprint request)
{
    const auto found = entries_.find(request);
    wake(found->second);
    found->second.refusalCounted = found->second.refusalCounted && found->second.record.isRefused();
    if (!found->second.record.losses().empty()) {
        return;
    }
    journal_.record(LogCategory::Quarantine, "", fmt::format("request cleared fingerprint={:016x}", static_cast<std::uint64_t>(request)));
    entries_.erase(found);
}

void CrashGuard::mergeFromPeer(const CrashReport &report)
{
    const TimePoint now = clock_.now();
    const Fingerprint request = report.key.request;
    const TimePoint endedAt = report.ages ? now - report.ages->ended : now;
    if (report.key.kind == CrashReportKind::Survival) {
        const auto found = entries_.find(request);
        if (found != entries_.end() && found->second.record.recordSurvival(report.key.subject, endedAt)) {
            counters_.add("magnoliaspan_crash_losses_total{end=\"refuted\"}");
            clearIfRefuted(request);
        }
        return;
    }
    if (endedAt + lifetime <= now) {
        return;
    }
    Entry &entry = findOrCreate(request);
    entry.expires = std::max(entry.expires, endedAt + lifetime);
    entry.record.addLoss(
        {report.key.subject, report.service, report.ages ? now - report.ages->sent : now, endedAt, false, true, true, true});
    counters_.add("magnoliaspan_crash_losses_total{end=\"received\"}");
    logLoss(request, entry, "another host", "target lost while running request");
    onLossesChanged(request, entry);
}

void CrashGuard::onReport(std::function<void(const CrashReport &)> listener)
{
    reportListener_ = std::move(listener);
}

void CrashGuard::shareEvidence(Fingerprint request, Entry &entry)
{
    const TimePoint now = clock_.now();
    for (const TargetLoss &loss : entry.record.losses()) {
        if (loss.shared || !reportListener_ || !entry.record.isEvidence(loss)) {
            continue;
        }
        reportListener_(
            {{CrashReportKind::Loss, request, loss.instance}, loss.service, CrashReportAges{now - loss.sentAt, now - loss.lostAt}});
    }
    entry.record.markShared();
}

void CrashGuard::tick()
{
    const TimePoint now = clock_.now();
    std::erase_if(gone_, [now](const auto &entry) { return now - entry.second.last > goneRetention; });
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const Fingerprint request = entry->first;
        CrashRecord &record = entry->second.record;
        const bool undecidedBefore = record.mayBecomeRefused();
        if (record.decideLossesBefore(now - CrashRecord::confirmationTime)) {
            onLossesChanged(request, entry->second);
        }
        const bool mature = std::any_of(record.losses().begin(), record.losses().end(), [now](const TargetLoss &loss) {
            return !loss.shared && now - loss.lostAt >= reportDelay;
        });
        if (mature) {
            shareEvidence(request, entry->second);
        }
        if (entry->second.expires <= now && record.isRefused()) {
            // The next attempt is a single trial.
            record.keepLastLoss();
            entry->second.refusalCounted = false;
            entry->second.expires = now + lifetime;
        }
        if (record.losses().empty() || entry->second.expires <= now) {
            wake(entry->second);
            entry = entries_.erase(entry);
            continue;
        }
        if (undecidedBefore && !record.mayBecomeRefused()) {
            wake(entry->second);
        }
        ++entry;
    }
}

void CrashGuard::logLoss(Fingerprint request, const Entry &entry, std::string_view source, std::string_view what)
{
    journal_.record(LogCategory::Quarantine,
                    "",
                    fmt::format("{} fingerprint={:016x} source={} losses={} targets={} refused={}",
                                what,
                                static_cast<std::uint64_t>(request),
                                source,
                                entry.record.confirmedLosses(),
                                entry.record.losses().size(),
                                entry.record.isRefused()));
}

} // namespace magnoliaspan
