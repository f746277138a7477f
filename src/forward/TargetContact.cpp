/*
 * Weighs failures against contacts, and probes when in doubt.
 */
#include "forward/TargetContact.h"

#include <fmt/format.h>

namespace magnoliaspan {

namespace {

// One request may fail at a target and at the one of its hedge. With three failures more than one request is concerned, or
// more than one service.
constexpr std::size_t doubtfulTargets = 3;
// Targets respond within some ten milliseconds, so that a host with traffic hears of one far more often than this.
constexpr Duration minSilence = std::chrono::milliseconds(200);
// A host that was suspended sees its timers first and the responses that arrived meanwhile only then.
constexpr Duration settleTime = std::chrono::milliseconds(50);
// Three round trips between the farthest regions.
constexpr Duration probeInterval = std::chrono::milliseconds(250);

} // namespace

TargetContact::TargetContact(const Clock &clock, Scheduler &scheduler, Journal &journal, Counters &counters)
    : clock_(clock)
    , scheduler_(scheduler)
    , journal_(journal)
    , counters_(counters)
    , lastResponseAt_(clock.now())
    , lastConnectAt_(clock.now())
    , lifetimeToken_(std::make_shared<int>(0))
{
}

void TargetContact::setListener(Listener listener)
{
    listener_ = std::move(listener);
}

bool TargetContact::isLost() const
{
    return lost_;
}

bool TargetContact::isSilent() const
{
    return clock_.now() - lastResponseAt_ >= minSilence;
}

bool TargetContact::isInDoubt() const
{
    return silentTargets_.size() >= doubtfulTargets || failedConnects_.size() >= doubtfulTargets;
}

void TargetContact::recordResponse()
{
    lastResponseAt_ = clock_.now();
    silentTargets_.clear();
}

void TargetContact::recordConnect()
{
    const TimePoint now = clock_.now();
    const auto lostMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - lastConnectAt_).count();
    lastConnectAt_ = now;
    silentTargets_.clear();
    failedConnects_.clear();
    if (!lost_) {
        return;
    }
    lost_ = false;
    journal_.record(LogCategory::Target, "", fmt::format("targets can be reached again after_ms={}", lostMs));
    if (listener_.changed) {
        listener_.changed(false);
    }
}

void TargetContact::recordSilence(std::string_view target)
{
    recordDoubt(silentTargets_, target, lastResponseAt_);
}

void TargetContact::recordConnectFailure(std::string_view target)
{
    recordDoubt(failedConnects_, target, lastConnectAt_);
}

void TargetContact::recordDoubt(Targets &targets, std::string_view target, TimePoint lastContact)
{
    if (targets.size() < doubtfulTargets) {
        targets.emplace(target);
    }
    if (checking_ || targets.size() < doubtfulTargets) {
        return;
    }
    checking_ = true;
    scheduleCheck(std::max(settleTime, lastContact + minSilence - clock_.now()), std::nullopt);
}

void TargetContact::scheduleCheck(Duration wait, std::optional<TimePoint> probedAt)
{
    scheduler_.callAt(clock_.now() + wait, [this, probedAt, token = std::weak_ptr<int>(lifetimeToken_)] {
        if (!token.expired()) {
            check(probedAt);
        }
    });
}

void TargetContact::check(std::optional<TimePoint> probedAt)
{
    const bool isDispelled = !isInDoubt() || (probedAt && lastConnectAt_ >= *probedAt);
    if (!lost_ && isDispelled) {
        checking_ = false;
        return;
    }
    if (probedAt && !lost_) {
        lost_ = true;
        counters_.add("magnoliaspan_target_contact_lost_total");
        const auto ms
            = [this](TimePoint since) { return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - since).count(); };
        journal_.record(LogCategory::Target,
                        "",
                        fmt::format("no target can be reached last_connect_ms={} last_response_ms={} silent={} connects_failed={}",
                                    ms(lastConnectAt_),
                                    ms(lastResponseAt_),
                                    silentTargets_.size(),
                                    failedConnects_.size()));
        if (listener_.changed) {
            listener_.changed(true);
        }
    }
    if (listener_.probe) {
        listener_.probe();
    }
    scheduleCheck(probeInterval, probedAt.value_or(clock_.now()));
}

} // namespace magnoliaspan
