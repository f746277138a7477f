/*
 * Scenario language: builds the environment document from a script's declarations.
 */
#pragma once

#include "scenario/Script.h"
#include "standins/TargetModel.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace magnoliaspan::testing {

struct SeatDeclaration {
    std::string name;
    std::string zone;
    std::string peer; // IP:PORT.
    Duration clockOffset{};
};

struct SystemDeclaration {
    std::string name;
    std::map<std::string, std::string> options;
    std::int64_t shards = 1;
    std::int64_t mapGeneration = 1;
};

struct TargetDeclaration {
    std::string name;
    std::string zone;
    std::string system;
    std::string address;
    TargetTraits traits;
};

/// What a script declared, and the document made of it.
class DocumentBuilder
{
public:
    std::map<std::string, bool> zones; ///< By name, whether it takes work.
    std::vector<SeatDeclaration> seats;
    std::vector<SystemDeclaration> systems;
    std::vector<TargetDeclaration> targets;
    std::int64_t generation = 1;

    /// Takes over a zone, system or target step; false when the step declares nothing.
    bool declare(const Step &step);

    /// Applies the options of a publish step and raises the generation.
    void applyPublish(const Step &step);

    /// \returns the document as YAML.
    std::string text() const;

    const TargetDeclaration &target(const Step &step, const std::string &name) const;

    /// \returns the system that a step means: its option, or the first declared.
    std::string systemName(const Step &step) const;

private:
    void declareSystem(const Step &step);
    void declareTarget(const Step &step);

    std::set<std::string> droppedTargets_; // Targets that are no longer in the shard map.
};

} // namespace magnoliaspan::testing
