/*
 * Collects the declarations of a scenario script and renders the environment document.
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
    std::string peer;       ///< Peer address, IP:PORT.
    Duration clockOffset{}; ///< Offset of the wall clock of this host; may be negative.
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

/// The declarations of a script, and the environment document rendered from them.
class DocumentBuilder
{
public:
    std::map<std::string, bool> zones; ///< By name; true while the zone is in service.
    std::vector<SeatDeclaration> seats;
    std::vector<SystemDeclaration> systems;
    std::vector<TargetDeclaration> targets;
    std::int64_t generation = 1;

    /// Records a zone, seat, system or target declaration. \returns false if \p step is not a declaration.
    bool declare(const Step &step);

    /// Applies the options of a publish step and increments the generation unless the options say otherwise.
    void applyPublish(const Step &step);

    /// \returns the environment document as YAML.
    std::string text() const;

    /// \returns the declaration of target \p name; throws ScriptError, located at \p step, if there is none.
    const TargetDeclaration &target(const Step &step, const std::string &name) const;

    /// \returns the system named by the option "system" of \p step, or else the first declared system.
    std::string systemName(const Step &step) const;

private:
    void declareSystem(const Step &step);
    void declareTarget(const Step &step);

    std::set<std::string> droppedTargets_; // Targets currently excluded from the shard map.
};

} // namespace magnoliaspan::testing
