/*
 * Checks of search responses, idempotency keys, target load and document generations.
 */
#include "scenario/InvariantChecker.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

namespace magnoliaspan::testing {

namespace {

using Json = nlohmann::json;

} // namespace

InvariantChecker::InvariantChecker(World &world, const DocumentBuilder &builder)
    : world_(world)
    , builder_(builder)
{
}

void InvariantChecker::recordRequest(const CallerRequest &request)
{
    requests_.push_back(request);
}

std::vector<std::string> InvariantChecker::violations()
{
    violations_.clear();
    for (const CallerRequest &request : requests_) {
        const CallerOutcome &outcome = world_.outcomes().at(request.id);
        if (request.key.empty() && outcome.answered && outcome.status == 200) {
            checkSearch(request, outcome);
        }
    }
    checkKeys();
    checkTargets();
    checkGenerations();
    return violations_;
}

// A running host never replaces an accepted document by one of the same or an older generation.
void InvariantChecker::checkGenerations()
{
    const std::string accepted = " config: document accepted generation=";
    std::map<std::string, std::int64_t> acceptedGeneration;
    for (const std::string &line : world_.log()) {
        const std::string host = line.substr(0, line.find(' '));
        if (line.find(" config: entry host started") != std::string::npos) {
            acceptedGeneration[host] = 0;
        }
        const auto position = line.find(accepted);
        if (position == std::string::npos) {
            continue;
        }
        const std::int64_t generation = std::stoll(line.substr(position + accepted.size()));
        if (generation <= acceptedGeneration[host]) {
            violations_.push_back(
                fmt::format("{}: accepted generation {}, expected one above {}", host, generation, acceptedGeneration[host]));
        }
        acceptedGeneration[host] = generation;
    }
}

void InvariantChecker::checkSearch(const CallerRequest &request, const CallerOutcome &outcome)
{
    const Json answer = Json::parse(outcome.body);
    const std::string prefix = fmt::format("snapshot{}.", answer["snapshot"].get<std::int64_t>());
    std::set<std::string> shards;
    for (const Json &hit : answer["hits"]) {
        const auto id = hit["id"].get<std::string>();
        if (!id.starts_with(prefix)) {
            violations_.push_back(fmt::format("{}: hit {} comes from another snapshot, expected prefix {}", request.id, id, prefix));
        }
        if (!shards.insert(id).second) {
            violations_.push_back(fmt::format("{}: hit {} occurs twice in the response", request.id, id));
        }
        if (hit["text"] != request.query) {
            violations_.push_back(fmt::format("{}: hit {} belongs to the query of another request", request.id, id));
        }
    }
    const auto answered = answer["coverage"]["answered"].get<std::size_t>();
    const auto total = answer["coverage"]["total"].get<std::size_t>();
    const auto missing = answer["coverage"]["missing"].size();
    if (shards.size() > answered || answered + missing != total) {
        violations_.push_back(fmt::format("{}: inconsistent coverage: {} of {} shards answered, {} missing, hits from {} shards",
                                          request.id,
                                          answered,
                                          total,
                                          missing,
                                          shards.size()));
    }
}

// A caller that received the verdict not_run may resend the key, and the resend may run.
bool InvariantChecker::resendMayHaveRun(const CallerRequest &refused, const CallerOutcome &outcome) const
{
    for (const CallerRequest &request : requests_) {
        if (request.key == refused.key && request.sentAt > outcome.endedAt) {
            const CallerOutcome &later = world_.outcomes().at(request.id);
            return !later.answered || Json::parse(later.body)["verdict"] != "not_run" || resendMayHaveRun(request, later);
        }
    }
    return false;
}

void InvariantChecker::checkKeys()
{
    std::map<std::string, unsigned> runs;
    for (const TargetDeclaration &target : builder_.targets) {
        for (const auto &[key, count] : world_.record(target.name).runsByKey) {
            runs[key] += count;
        }
    }
    for (const auto &[key, count] : runs) {
        if (count > 1) {
            violations_.push_back(fmt::format("key {} ran {} times, expected at most once", key, count));
        }
    }
    for (const CallerRequest &request : requests_) {
        const CallerOutcome &outcome = world_.outcomes().at(request.id);
        if (request.key.empty() || !outcome.answered) {
            continue;
        }
        const Json answer = Json::parse(outcome.body);
        const std::string verdict = answer["verdict"];
        const bool keyReused = answer.value("title", "") == "key_reused";
        if (verdict == "not_run" && runs[request.key] > 0 && !keyReused && !resendMayHaveRun(request, outcome)) {
            violations_.push_back(fmt::format("{}: verdict not_run, but a target ran the key", request.id));
        }
        if (verdict == "ran" && runs[request.key] == 0) {
            violations_.push_back(fmt::format("{}: verdict ran, but no target ran the key", request.id));
        }
    }
}

void InvariantChecker::checkTargets()
{
    for (const TargetDeclaration &target : builder_.targets) {
        const TargetRecord record = world_.record(target.name);
        if (record.overloads > 0) {
            violations_.push_back(fmt::format("target {}: {} requests above its capacity while cold", target.name, record.overloads));
        }
        if (record.requestsWhileLeaving > 0) {
            violations_.push_back(
                fmt::format("target {}: {} requests after its grace period for leaving", target.name, record.requestsWhileLeaving));
        }
    }
}

} // namespace magnoliaspan::testing
