/*
 * Part discovery: taking over readings.
 */
#include "discovery/Registry.h"

#include "core/Visitor.h"

#include <fmt/format.h>

namespace magnoliaspan {

Registry::Registry(Journal &journal)
    : journal_(journal)
{
}

void Registry::setListener(Listener listener)
{
    listener_ = std::move(listener);
}

void Registry::apply(const DiscoveryReading &reading, bool complete, bool keepLapsed)
{
    for (const DiscoveryChange &change : reading.changes) {
        std::visit(Visitor{
                       [this](const TablePublished &published) { accept(published.table); },
                       [this](const TargetPublished &published) { publish(published.entry); },
                       [this, keepLapsed](const TargetRemoved &removed) { remove(removed.id, keepLapsed); },
                       [this](const ZoneEvacuation &zone) { setEvacuated(zone.zone, zone.evacuated); },
                       [this](const Unreadable &unreadable) {
                           journal_.record(LogCategory::Config,
                                           "",
                                           fmt::format("value left out key={} reason=\"{}\"", unreadable.key, unreadable.reason));
                       },
                   },
                   change);
    }
    if (complete) {
        removeMissing(reading, keepLapsed);
    }
    if (listener_.readingApplied) {
        listener_.readingApplied();
    }
}

void Registry::removeMissing(const DiscoveryReading &reading, bool keepLapsed)
{
    std::set<std::string, std::less<>> listed;
    std::set<std::string, std::less<>> zonesOut;
    for (const DiscoveryChange &change : reading.changes) {
        if (const auto *published = std::get_if<TargetPublished>(&change)) {
            listed.insert(published->entry.id);
        } else if (const auto *zone = std::get_if<ZoneEvacuation>(&change)) {
            zonesOut.insert(zone->zone);
        }
    }
    std::vector<std::string> gone;
    for (const auto &[id, entry] : targets_) {
        if (!listed.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const std::string &id : gone) {
        remove(id, keepLapsed);
    }
    const auto evacuatedBefore = evacuated_;
    for (const std::string &zone : evacuatedBefore) {
        if (!zonesOut.contains(zone)) {
            setEvacuated(zone, false);
        }
    }
}

void Registry::accept(const RoutingTablePtr &table)
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
                    fmt::format("table in force version={} before={} routes={}", table->version(), before, table->routes().size()));
    if (listener_.tableAccepted) {
        listener_.tableAccepted(table_);
    }
}

void Registry::publish(const TargetEntry &entry)
{
    const auto found = targets_.find(entry.id);
    const bool returned = lapsed_.erase(entry.id) > 0;
    if (found != targets_.end() && found->second == entry) {
        if (returned) {
            journal_.record(LogCategory::Member, "", fmt::format("target's entry is back target={}", entry.id));
        }
        return;
    }
    targets_.insert_or_assign(entry.id, entry);
    journal_.record(LogCategory::Member,
                    "",
                    fmt::format("target listed target={} service={} address={} zone={} stage={} cold_left_ms={} started={}",
                                entry.id,
                                entry.service,
                                entry.address.toString(),
                                entry.zone,
                                entry.stage == TargetStage::Ready ? "ready" : "draining",
                                std::chrono::duration_cast<std::chrono::milliseconds>(entry.coldLeft).count(),
                                entry.startedAt));
    if (listener_.targetChanged) {
        listener_.targetChanged(entry);
    }
}

void Registry::remove(const std::string &id, bool keepLapsed)
{
    if (!targets_.contains(id)) {
        return;
    }
    if (keepLapsed) {
        if (lapsed_.insert(id).second) {
            journal_.record(LogCategory::Member, "", fmt::format("target's entry lapsed, kept for now target={}", id));
        }
        return;
    }
    lapsed_.erase(id);
    targets_.erase(id);
    journal_.record(LogCategory::Member, "", fmt::format("target gone target={}", id));
    if (listener_.targetRemoved) {
        listener_.targetRemoved(id);
    }
}

void Registry::dropLapsed()
{
    const auto lapsed = lapsed_;
    for (const std::string &id : lapsed) {
        remove(id, false);
    }
}

void Registry::setEvacuated(const std::string &zone, bool evacuated)
{
    const bool changed = evacuated ? evacuated_.insert(zone).second : evacuated_.erase(zone) > 0;
    if (!changed) {
        return;
    }
    journal_.record(LogCategory::Zone, "", fmt::format("zone {} zone={}", evacuated ? "evacuated" : "taken back", zone));
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

bool Registry::evacuated(std::string_view zone) const
{
    return evacuated_.contains(zone);
}

} // namespace magnoliaspan
