/*
 * Loads the environment document and validates the rules that span several fields.
 */
#include "config/EnvironmentDocument.h"

#include "config/DocumentReader.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <xxhash.h>

namespace magnoliaspan {

namespace {

/// Fills a document from validated nodes; reports duplicates, unresolved references and inconsistent durations.
class DocumentLoader
{
public:
    DocumentLoader(EnvironmentDocument &document, std::string file, Diagnostics &diagnostics)
        : document_(document)
        , file_(std::move(file))
        , diagnostics_(diagnostics)
    {
    }

    void load(const DocumentNode &root)
    {
        document_.environment = root.text("environment");
        document_.generation = root.integer("generation");
        document_.clockOffsetBound = root.duration("clock_offset_bound");
        document_.coldSlice = root.duration("cold_slice");
        document_.keyLifetime = root.duration("key_lifetime");
        if (4 * document_.clockOffsetBound > document_.coldSlice) {
            report(root.line("cold_slice"), "cold_slice", "is shorter than four times clock_offset_bound");
        }
        loadZones(root);
        loadSeats(root);
        loadSystems(root);
        loadTargets(root);
        checkShardTargets(root);
    }

private:
    void report(int line, std::string field, std::string message)
    {
        diagnostics_.push_back({file_, line, std::move(field), std::move(message)});
    }

    void requireUnique(std::set<std::string> &names, const std::string &name, const DocumentNode &node, std::string_view list)
    {
        if (!names.insert(name).second) {
            report(node.line("name"), fmt::format("{}[].name", list), fmt::format("'{}' is given twice", name));
        }
    }

    void requireZone(const std::string &zone, const DocumentNode &node, std::string_view list)
    {
        const bool isKnown
            = std::any_of(document_.zones.begin(), document_.zones.end(), [&zone](const ZoneSpec &spec) { return spec.name == zone; });
        if (!isKnown) {
            report(node.line("zone"), fmt::format("{}[].zone", list), fmt::format("zone '{}' is not in zones", zone));
        }
    }

    void loadZones(const DocumentNode &root)
    {
        std::set<std::string> names;
        for (const DocumentNode &node : root.list("zones")) {
            requireUnique(names, node.text("name"), node, "zones");
            document_.zones.push_back({node.text("name"), node.text("region"), node.text("state") == "in"});
        }
    }

    void loadSeats(const DocumentNode &root)
    {
        std::set<std::string> names;
        for (const DocumentNode &node : root.list("seats")) {
            requireUnique(names, node.text("name"), node, "seats");
            requireZone(node.text("zone"), node, "seats");
            document_.seats.push_back({node.text("name"), node.text("zone"), node.endpoint("peer")});
        }
    }

    void loadSystems(const DocumentNode &root)
    {
        std::set<std::string> names;
        for (const DocumentNode &node : root.list("systems")) {
            requireUnique(names, node.text("name"), node, "systems");
            document_.systems.push_back(loadSystem(node));
        }
    }

    SystemSpec loadSystem(const DocumentNode &node)
    {
        SystemSpec system;
        system.name = node.text("name");
        system.policy = node.text("policy") == "latency" ? ResponsePolicy::Latency : ResponsePolicy::Coverage;
        system.softDeadline = node.duration("soft_deadline");
        system.hardDeadline = node.duration("hard_deadline");
        system.minimumCoverage = node.fraction("minimum_coverage");
        system.maxInFlight = static_cast<std::size_t>(node.integer("max_in_flight"));
        system.hedgeBudget = node.fraction("hedge_budget");
        system.retryBudget = node.fraction("retry_budget");
        system.slots = static_cast<unsigned>(node.integer("slots"));
        system.connections = static_cast<unsigned>(node.integer("connections"));
        system.coldConcurrency = static_cast<unsigned>(node.integer("cold_concurrency"));
        system.warmAfter = static_cast<unsigned>(node.integer("warm_after"));
        system.shardMapGeneration = node.integer("shard_map_generation");
        if (system.softDeadline > system.hardDeadline) {
            report(node.line("soft_deadline"), "systems[].soft_deadline", "is later than hard_deadline");
        }
        loadShards(node, system);
        return system;
    }

    void loadShards(const DocumentNode &node, SystemSpec &system)
    {
        std::set<std::int64_t> numbers;
        for (const DocumentNode &shard : node.list("shards")) {
            const std::int64_t number = shard.integer("shard");
            if (!numbers.insert(number).second) {
                report(
                    shard.line("shard"), "systems[].shards[].shard", fmt::format("shard {} of '{}' is given twice", number, system.name));
            }
            system.shards.push_back({number, shard.stringList("targets")});
        }
        std::sort(system.shards.begin(), system.shards.end(), [](const ShardSpec &a, const ShardSpec &b) { return a.shard < b.shard; });
    }

    void loadTargets(const DocumentNode &root)
    {
        std::set<std::string> names;
        for (const DocumentNode &node : root.list("targets")) {
            TargetSpec target{node.text("name"), node.text("system"), node.text("zone"), node.endpoint("address")};
            requireUnique(names, target.name, node, "targets");
            requireZone(target.zone, node, "targets");
            if (document_.findSystem(target.system) == nullptr) {
                report(node.line("system"), "targets[].system", fmt::format("system '{}' is not in systems", target.system));
            }
            document_.targets.emplace(target.name, target);
        }
    }

    void checkShardTargets(const DocumentNode &root)
    {
        for (const DocumentNode &system : root.list("systems")) {
            for (const DocumentNode &shard : system.list("shards")) {
                checkShard(system, shard);
            }
        }
    }

    void checkShard(const DocumentNode &system, const DocumentNode &shard)
    {
        std::set<std::string> seen;
        for (const std::string &name : shard.stringList("targets")) {
            const TargetSpec *target = document_.findTarget(name);
            if (target == nullptr || target->system != system.text("name")) {
                report(shard.line("targets"),
                       "systems[].shards[].targets",
                       fmt::format("'{}' is not a target of '{}'", name, system.text("name")));
            }
            if (!seen.insert(name).second) {
                report(shard.line("targets"), "systems[].shards[].targets", fmt::format("'{}' is given twice", name));
            }
        }
    }

    EnvironmentDocument &document_;
    std::string file_;
    Diagnostics &diagnostics_;
};

} // namespace

std::string EnvironmentDocument::digestOf(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

EnvironmentPtr EnvironmentDocument::parse(std::string_view text, const std::string &file, Diagnostics &diagnostics)
{
    const DocumentNode root = DocumentReader(DocumentKind::Environment).read(text, file, diagnostics);
    if (!diagnostics.empty()) {
        return nullptr;
    }
    auto document = std::make_shared<EnvironmentDocument>();
    document->text = std::string(text);
    document->digest = digestOf(text);
    DocumentLoader(*document, file, diagnostics).load(root);
    if (!diagnostics.empty()) {
        return nullptr;
    }
    return document;
}

const SystemSpec *EnvironmentDocument::findSystem(std::string_view name) const
{
    for (const SystemSpec &system : systems) {
        if (system.name == name) {
            return &system;
        }
    }
    return nullptr;
}

const TargetSpec *EnvironmentDocument::findTarget(std::string_view name) const
{
    const auto found = targets.find(name);
    return found == targets.end() ? nullptr : &found->second;
}

const SeatSpec *EnvironmentDocument::findSeat(std::string_view name) const
{
    for (const SeatSpec &seat : seats) {
        if (seat.name == name) {
            return &seat;
        }
    }
    return nullptr;
}

bool EnvironmentDocument::isZoneInService(std::string_view zone) const
{
    for (const ZoneSpec &spec : zones) {
        if (spec.name == zone) {
            return spec.inService;
        }
    }
    return false;
}

std::vector<std::string> EnvironmentDocument::seatsInZone(std::string_view zone) const
{
    std::vector<std::string> names;
    for (const SeatSpec &seat : seats) {
        if (seat.zone == zone) {
            names.push_back(seat.name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace magnoliaspan
