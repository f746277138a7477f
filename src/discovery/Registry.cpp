/*
 * Applies the results of reads.
 */
#include "discovery/Registry.h"

#include "core/Text.h"
#include "core/Visitor.h"

#include <fmt/format.h>
#include <utility>

namespace magnoliaspan {

Registry::Registry(Journal &journal)
    : journal_(journal)
{
}

void Registry::setListener(Listener listener)
{
    listener_ = std::move(listener);
}

void Registry::apply(const DiscoveryReadResult &result, bool keepLapsed)
{
    const bool isList = result.complete || result.brokenOff;
    isSettling_ = isSettling_ || (era_ && *era_ != result.position.era);
    era_ = result.position.era;
    for (const DiscoveryChange &change : result.changes) {
        std::visit(Visitor{
                       [this](const TablePublished &published) { applyTable(published.table); },
                       [&](const TargetPublished &published) { applyTarget(published.entry, isList); },
                       [this, keepLapsed](const TargetRemoved &removed) { removeTarget(removed.id, keepLapsed); },
                       [&](const ZoneEvacuation &zone) { applyEvacuation(zone, isList); },
                       [this](const DecodeFailure &failure) {
                           journal_.record(LogCategory::Config,
                                           "",
                                           fmt::format("value skipped, it cannot be decoded key={} reason=\"{}\"",
                                                       toLogValue(failure.key),
                                                       failure.reason));
                       },
                   },
                   change);
    }
    if (result.complete) {
        removeMissing(result, keepLapsed);
    }
    if (listener_.readApplied) {
        listener_.readApplied();
    }
}

void Registry::removeMissing(const DiscoveryReadResult &result, bool keepLapsed)
{
    std::set<std::string, std::less<>> listed;
    std::set<std::string, std::less<>> listedZones;
    for (const DiscoveryChange &change : result.changes) {
        if (const auto *published = std::get_if<TargetPublished>(&change)) {
            listed.insert(published->entry.id);
        } else if (const auto *zone = std::get_if<ZoneEvacuation>(&change)) {
            listedZones.insert(zone->zone);
        }
    }
    std::vector<std::string> unlisted;
    for (const auto &[id, entry] : targets_) {
        if (!listed.contains(id)) {
            unlisted.push_back(id);
        }
    }
    for (const std::string &id : unlisted) {
        removeTarget(id, keepLapsed);
    }
    const auto evacuatedBefore = evacuatedZones_;
    for (const std::string &zone : evacuatedBefore) {
        if (!listedZones.contains(zone)) {
            applyEvacuation({zone, false}, true);
        }
    }
}

void Registry::applyTable(const RoutingTablePtr &table)
{
    const std::int64_t before = table_ ? table_->version() : 0;
    if (table_ && table->version() <= before) {
        if (table->version() < before) {
            journal_.record(LogCategory::Config, "", fmt::format("older table ignored version={} in_force={}", table->version(), before));
        }
        return;
    }
    table_ = table;
    journal_.record(LogCategory::Config,
                    "",
                    fmt::format("routing table in force version={} before={} routes={}", table->version(), before, table->routes().size()));
    if (listener_.tableAccepted) {
        listener_.tableAccepted(table_);
    }
}

bool Registry::isOutdated(const TargetEntry &entry, bool isListed) const
{
    const auto found = targets_.find(entry.id);
    if (found != targets_.end() && found->second.startedAt == entry.startedAt) {
        return entry.writeNumber && found->second.writeNumber && *entry.writeNumber < *found->second.writeNumber;
    }
    // A change is newer than any copy.
    return isListed && departedTargets_.hasLeft(entry, *era_);
}

void Registry::applyTarget(const TargetEntry &entry, bool isListed)
{
    if (isOutdated(entry, isListed)) {
        journal_.record(LogCategory::Member,
                        "",
                        fmt::format("outdated target entry ignored target={} started={} stage={}",
                                    toLogValue(entry.id),
                                    entry.startedAt,
                                    entry.stage == TargetStage::Ready ? "ready" : "draining"));
        return;
    }
    const auto found = targets_.find(entry.id);
    const bool wasLapsed = lapsedTargets_.erase(entry.id) > 0;
    if (found != targets_.end()) {
        TargetEntry known = found->second;
        if (known.startedAt != entry.startedAt) {
            departedTargets_.record(known, *era_);
        }
        known.writeNumber = entry.writeNumber;
        if (known == entry) {
            found->second.writeNumber = entry.writeNumber;
            if (wasLapsed) {
                journal_.record(
                    LogCategory::Member, "", fmt::format("lapsed target entry published again target={}", toLogValue(entry.id)));
            }
            return;
        }
    }
    departedTargets_.forget(entry);
    targets_.insert_or_assign(entry.id, entry);
    journal_.record(LogCategory::Member,
                    "",
                    fmt::format("target entry applied target={} service={} address={} zone={} stage={} cold_left_ms={} started={}",
                                toLogValue(entry.id),
                                toLogValue(entry.service),
                                entry.address.toString(),
                                toLogValue(entry.zone),
                                entry.stage == TargetStage::Ready ? "ready" : "draining",
                                std::chrono::duration_cast<std::chrono::milliseconds>(entry.coldLeft).count(),
                                entry.startedAt));
    if (listener_.targetChanged) {
        listener_.targetChanged(entry);
    }
}

void Registry::removeTarget(const std::string &id, bool keepLapsed)
{
    if (!targets_.contains(id)) {
        return;
    }
    if (keepLapsed) {
        if (lapsedTargets_.try_emplace(id, lastLapse_ + 1).second) {
            ++lastLapse_;
            journal_.record(
                LogCategory::Member, "", fmt::format("target entry lapsed, kept during the grace period target={}", toLogValue(id)));
        }
        return;
    }
    lapsedTargets_.erase(id);
    departedTargets_.record(targets_.at(id), *era_);
    targets_.erase(id);
    journal_.record(LogCategory::Member, "", fmt::format("target entry removed target={}", toLogValue(id)));
    if (listener_.targetRemoved) {
        listener_.targetRemoved(id);
    }
}

std::uint64_t Registry::lastLapse() const
{
    return lastLapse_;
}

void Registry::removeLapsed(std::uint64_t last)
{
    const auto lapsed = lapsedTargets_;
    for (const auto &[id, number] : lapsed) {
        if (number <= last) {
            removeTarget(id, false);
        }
    }
}

void Registry::settle()
{
    isSettling_ = false;
    const auto unsettled = std::exchange(unsettledZones_, {});
    for (const auto &[zone, evacuated] : unsettled) {
        setEvacuated(zone, evacuated);
    }
}

void Registry::applyEvacuation(const ZoneEvacuation &zone, bool isListed)
{
    const bool isKnown = isEvacuated(zone.zone) || endedEvacuations_.contains(zone.zone);
    const bool isContrary = isEvacuated(zone.zone) != zone.evacuated;
    if (isListed && isSettling_ && isKnown && isContrary) {
        if (unsettledZones_.insert_or_assign(zone.zone, zone.evacuated).second) {
            journal_.record(LogCategory::Zone,
                            "",
                            fmt::format("restored source contradicts what is known of a zone, kept for now zone={} evacuated={}",
                                        toLogValue(zone.zone),
                                        isEvacuated(zone.zone)));
        }
        return;
    }
    unsettledZones_.erase(zone.zone);
    setEvacuated(zone.zone, zone.evacuated);
}

void Registry::setEvacuated(const std::string &zone, bool evacuated)
{
    const bool changed = evacuated ? evacuatedZones_.insert(zone).second : evacuatedZones_.erase(zone) > 0;
    if (!changed) {
        return;
    }
    if (evacuated) {
        endedEvacuations_.erase(zone);
    } else {
        endedEvacuations_.insert(zone);
    }
    journal_.record(
        LogCategory::Zone, "", fmt::format("zone {} zone={}", evacuated ? "evacuated" : "evacuation cancelled", toLogValue(zone)));
    if (listener_.zoneChanged) {
        listener_.zoneChanged(zone, evacuated);
    }
}

const RoutingTablePtr &Registry::table() const
{
    return table_;
}

const std::map<std::string, TargetEntry, std::less<>> &Registry::targets() const
{
    return targets_;
}

bool Registry::isEvacuated(std::string_view zone) const
{
    return evacuatedZones_.contains(zone);
}

} // namespace magnoliaspan
