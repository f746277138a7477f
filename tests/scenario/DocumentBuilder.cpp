/*
 * Parses declarations and renders the environment document as YAML.
 */
#include "scenario/DocumentBuilder.h"

#include "config/DocumentReader.h"

#include <fmt/format.h>

namespace magnoliaspan::testing {

bool DocumentBuilder::declare(const Step &step)
{
    if (step.verb == "zone") {
        zones[step.words[0]] = true;
    } else if (step.verb == "seat") {
        SeatDeclaration seat{step.words[0], step.words[1], "", {}};
        const std::string offset = step.option("offset", "0ms");
        const bool behind = offset.starts_with("-");
        const auto magnitude = parseDuration(behind ? offset.substr(1) : offset);
        if (!magnitude) {
            step.fail("offset: expected a duration with an optional minus sign");
        }
        seat.clockOffset = behind ? -*magnitude : *magnitude;
        seats.push_back(seat);
    } else if (step.verb == "system") {
        declareSystem(step);
    } else if (step.verb == "target") {
        declareTarget(step);
    } else {
        return false;
    }
    return true;
}

void DocumentBuilder::declareSystem(const Step &step)
{
    SystemDeclaration system;
    system.name = step.words[0];
    system.options = {{"policy", "coverage"},
                      {"soft", "150ms"},
                      {"hard", "300ms"},
                      {"min", "0"},
                      {"slots", "3"},
                      {"connections", "30"},
                      {"cold", "1"},
                      {"warm_after", "5"},
                      {"hedge", "0.05"},
                      {"retry", "0.1"},
                      {"max_in_flight", "256"}};
    for (const auto &[name, value] : step.options) {
        system.options[name] = value;
    }
    system.shards = std::stoll(step.option("shards", "1"));
    systems.push_back(std::move(system));
}

void DocumentBuilder::declareTarget(const Step &step)
{
    TargetDeclaration target;
    target.name = step.words[0];
    target.zone = step.words[1];
    target.system = systemName(step);
    target.traits.name = target.name;
    target.traits.shards = {0};
    for (const auto &[name, value] : step.options) {
        if (name != "system" && !setTrait(target.traits, name, value)) {
            step.fail(fmt::format("a target has no trait '{}'", name));
        }
    }
    targets.push_back(std::move(target));
}

std::string DocumentBuilder::systemName(const Step &step) const
{
    if (systems.empty()) {
        step.fail("no system is declared");
    }
    return step.option("system", systems.front().name);
}

const TargetDeclaration &DocumentBuilder::target(const Step &step, const std::string &name) const
{
    for (const TargetDeclaration &target : targets) {
        if (target.name == name) {
            return target;
        }
    }
    step.fail(fmt::format("no target '{}' is declared", name));
}

void DocumentBuilder::applyPublish(const Step &step)
{
    const std::string zone = step.option("zone", "");
    if (!zone.empty()) {
        if (zones.count(zone) == 0) {
            step.fail(fmt::format("no zone '{}' is declared", zone));
        }
        zones[zone] = step.option("state", "in") == "in";
    }
    const std::string drop = step.option("drop", "");
    if (!drop.empty()) {
        droppedTargets_.insert(drop);
        ++systems.front().mapGeneration;
    }
    const std::string add = step.option("add", "");
    if (!add.empty()) {
        droppedTargets_.erase(add);
        ++systems.front().mapGeneration;
    }
    const std::string movedTarget = step.option("target", "");
    if (!movedTarget.empty()) {
        target(step, movedTarget);
        for (TargetDeclaration &each : targets) {
            if (each.name == movedTarget) {
                setTrait(each.traits, "shards", step.option("shards", "0"));
            }
        }
        ++systems.front().mapGeneration;
    }
    if (step.options.count("same_generation") == 0) {
        ++generation;
    }
    if (step.options.count("generation") != 0) {
        generation = std::stoll(step.option("generation", "1"));
    }
}

std::string DocumentBuilder::text() const
{
    std::string yaml = fmt::format("environment: trial\ngeneration: {}\nclock_offset_bound: 20ms\ncold_slice: 200ms\nzones:\n", generation);
    for (const auto &[name, inService] : zones) {
        yaml += fmt::format("  - {{name: {}, region: r-{}, state: {}}}\n", name, name, inService ? "in" : "out");
    }
    yaml += "seats:\n";
    for (const SeatDeclaration &seat : seats) {
        yaml += fmt::format("  - {{name: {}, zone: {}, peer: \"{}\"}}\n", seat.name, seat.zone, seat.peer);
    }
    yaml += "systems:\n";
    for (const SystemDeclaration &system : systems) {
        const auto &o = system.options;
        yaml += fmt::format(
            "  - name: {}\n    policy: {}\n    soft_deadline: {}\n    hard_deadline: {}\n    minimum_coverage: {}\n    max_in_flight: {}\n",
            system.name,
            o.at("policy"),
            o.at("soft"),
            o.at("hard"),
            o.at("min"),
            o.at("max_in_flight"));
        yaml += fmt::format("    hedge_budget: {}\n    retry_budget: {}\n    slots: {}\n    connections: {}\n    cold_concurrency: {}\n    "
                            "warm_after: {}\n",
                            o.at("hedge"),
                            o.at("retry"),
                            o.at("slots"),
                            o.at("connections"),
                            o.at("cold"),
                            o.at("warm_after"));
        yaml += fmt::format("    shard_map_generation: {}\n    shards:\n", system.mapGeneration);
        for (std::int64_t shard = 0; shard < system.shards; ++shard) {
            std::string names;
            for (const TargetDeclaration &target : targets) {
                if (target.system == system.name && target.traits.shards.count(shard) != 0 && droppedTargets_.count(target.name) == 0) {
                    names += (names.empty() ? "" : ", ") + target.name;
                }
            }
            yaml += fmt::format("      - {{shard: {}, targets: [{}]}}\n", shard, names);
        }
    }
    yaml += "targets:\n";
    for (const TargetDeclaration &target : targets) {
        yaml += fmt::format(
            "  - {{name: {}, system: {}, zone: {}, address: \"{}\"}}\n", target.name, target.system, target.zone, target.address);
    }
    return yaml;
}

} // namespace magnoliaspan::testing
