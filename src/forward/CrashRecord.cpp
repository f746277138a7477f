/*
 * Counts losses as the longest sequence of attempts that do not overlap.
 */
#include "forward/CrashRecord.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

// Bounds the time of a decision. Decisions need the losses one after another, of which there are a few before a request is refused.
constexpr std::size_t maxKept = 64;
// More targets than the hosts of a deployment reach with one request at the same time.
constexpr std::size_t maxSpare = 1'024;
// Targets that fail for one reason are lost within about this time.
constexpr Duration companyWindow = std::chrono::milliseconds(500);
// A report is on its way for this long at most; its times seem later than they were by as much.
constexpr Duration peerTimeError = std::chrono::milliseconds(50);

bool isNear(TimePoint a, TimePoint b)
{
    return std::max(a, b) - std::min(a, b) <= companyWindow;
}

} // namespace

void CrashRecord::addLoss(const TargetLoss &loss)
{
    const bool known
        = std::any_of(losses_.begin(), losses_.end(), [&loss](const TargetLoss &one) { return one.instance == loss.instance; });
    if (known || spare_.contains(loss.instance)) {
        return;
    }
    if (losses_.size() >= maxKept) {
        dropSpareLoss();
    }
    losses_.push_back(loss);
}

// Drops one of the losses at the time of most losses that is not counted, so that no decision changes.
void CrashRecord::dropSpareLoss()
{
    std::set<std::uint64_t> counted;
    for (const bool confirmedOnly : {true, false}) {
        for (const TargetLoss &loss : sequence(confirmedOnly, false)) {
            counted.insert(loss.instance);
        }
    }
    auto spare = losses_.begin();
    std::ptrdiff_t most = 0;
    for (auto loss = losses_.begin(); loss != losses_.end(); ++loss) {
        const auto near
            = std::count_if(losses_.begin(), losses_.end(), [&loss](const TargetLoss &one) { return isNear(one.lostAt, loss->lostAt); });
        if (near <= most || counted.contains(loss->instance)) {
            continue;
        }
        most = near;
        spare = loss;
    }
    const std::uint64_t instance = spare->instance;
    losses_.erase(spare);
    std::erase_if(gone_, [instance](const GoneTarget &target) { return target.instance == instance; });
    if (spare_.size() < maxSpare) {
        spare_.insert(instance);
    }
}

bool CrashRecord::withdrawLoss(std::uint64_t instance, TimePoint startedAt)
{
    return std::erase_if(losses_,
                         [&](const TargetLoss &loss) {
                             return loss.instance == instance && !loss.shared && startedAt >= loss.lostAt
                                    && startedAt - loss.lostAt <= confirmationTime;
                         })
           > 0;
}

bool CrashRecord::confirmLoss(std::uint64_t instance)
{
    for (TargetLoss &loss : losses_) {
        if (loss.instance == instance && !loss.confirmed) {
            loss.confirmed = true;
            return true;
        }
    }
    return false;
}

bool CrashRecord::decideLossesBefore(TimePoint instant)
{
    bool changed
        = std::erase_if(losses_, [instant](const TargetLoss &loss) { return !loss.confirmed && loss.rejection && loss.lostAt < instant; })
          > 0;
    for (TargetLoss &loss : losses_) {
        if (loss.confirmed || loss.lostAt >= instant) {
            continue;
        }
        loss.confirmed = true;
        changed = true;
    }
    return changed;
}

bool CrashRecord::recordSurvival(std::uint64_t service, TimePoint at)
{
    // Decided before the first one is erased, as the company of a loss depends on the others.
    std::vector<std::uint64_t> refuted;
    for (const TargetLoss &loss : losses_) {
        if (loss.lostAt <= at && (loss.service == service || hadCompany(loss))) {
            refuted.push_back(loss.instance);
        }
    }
    std::erase_if(losses_,
                  [&refuted](const TargetLoss &loss) { return std::find(refuted.begin(), refuted.end(), loss.instance) != refuted.end(); });
    return !refuted.empty();
}

void CrashRecord::recordTargetGone(std::uint64_t instance, TimePoint at)
{
    const bool matters = std::any_of(losses_.begin(), losses_.end(), [at](const TargetLoss &loss) { return isNear(loss.lostAt, at); });
    const bool known = std::any_of(gone_.begin(), gone_.end(), [instance](const GoneTarget &one) { return one.instance == instance; });
    if (!matters || known || spare_.contains(instance)) {
        return;
    }
    if (gone_.size() >= maxKept) {
        gone_.erase(std::min_element(gone_.begin(), gone_.end(), [](const GoneTarget &a, const GoneTarget &b) { return a.at < b.at; }));
    }
    gone_.push_back({instance, at});
}

void CrashRecord::keepLastLoss()
{
    const auto last
        = std::max_element(losses_.begin(), losses_.end(), [](const TargetLoss &a, const TargetLoss &b) { return a.lostAt < b.lostAt; });
    if (last != losses_.end()) {
        losses_ = {TargetLoss(*last)};
    }
}

// Most of the targets that went at that time did not run the request.
bool CrashRecord::hadCompany(const TargetLoss &loss) const
{
    if (loss.fromPeer) {
        return false;
    }
    const auto own
        = std::count_if(losses_.begin(), losses_.end(), [&loss](const TargetLoss &one) { return isNear(one.lostAt, loss.lostAt); });
    const auto others = std::count_if(gone_.begin(), gone_.end(), [this, &loss](const GoneTarget &target) {
        return isNear(target.at, loss.lostAt) && std::none_of(losses_.begin(), losses_.end(), [&target](const TargetLoss &one) {
                   return one.instance == target.instance;
               });
    });
    return others >= own;
}

std::vector<TargetLoss> CrashRecord::sequence(bool confirmedOnly, bool aloneOnly) const
{
    std::vector<TargetLoss> counted;
    for (const TargetLoss &loss : losses_) {
        if ((confirmedOnly && !loss.confirmed) || (aloneOnly && hadCompany(loss))) {
            continue;
        }
        counted.push_back(loss);
    }
    std::sort(counted.begin(), counted.end(), [](const TargetLoss &a, const TargetLoss &b) { return a.lostAt < b.lostAt; });
    std::vector<TargetLoss> result;
    for (const TargetLoss &loss : counted) {
        const Duration error = !result.empty() && (result.back().fromPeer || loss.fromPeer) ? peerTimeError : Duration::zero();
        if (!result.empty() && loss.sentAt < result.back().lostAt + error) {
            continue;
        }
        result.push_back(loss);
    }
    return result;
}

unsigned CrashRecord::countSequence(bool confirmedOnly, bool aloneOnly) const
{
    return static_cast<unsigned>(sequence(confirmedOnly, aloneOnly).size());
}

bool CrashRecord::reachesLimit(bool confirmedOnly) const
{
    return countSequence(confirmedOnly, true) >= maxLosses || countSequence(confirmedOnly, false) >= maxAmbiguousLosses;
}

bool CrashRecord::isSuspect() const
{
    return std::any_of(losses_.begin(), losses_.end(), [](const TargetLoss &loss) { return loss.confirmed || !loss.rejection; });
}

bool CrashRecord::isRefused() const
{
    return reachesLimit(true);
}

bool CrashRecord::mayBecomeRefused() const
{
    return reachesLimit(false);
}

unsigned CrashRecord::confirmedLosses() const
{
    return countSequence(true, false);
}

bool CrashRecord::hasLossOf(std::uint64_t service) const
{
    return std::any_of(losses_.begin(), losses_.end(), [service](const TargetLoss &loss) { return loss.service == service; });
}

bool CrashRecord::isEvidence(const TargetLoss &loss) const
{
    return loss.confirmed && !hadCompany(loss);
}

const std::vector<TargetLoss> &CrashRecord::losses() const
{
    return losses_;
}

void CrashRecord::markShared()
{
    std::vector<std::uint64_t> evidence;
    for (const TargetLoss &loss : losses_) {
        if (isEvidence(loss)) {
            evidence.push_back(loss.instance);
        }
    }
    for (TargetLoss &loss : losses_) {
        loss.shared = loss.shared || std::find(evidence.begin(), evidence.end(), loss.instance) != evidence.end();
    }
}

} // namespace magnoliaspan
