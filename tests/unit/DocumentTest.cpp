/*
 * Unit tests: validation of settings and environment documents, and promotion.
 */
#include "config/EnvironmentDocument.h"
#include "config/Promotion.h"
#include "config/Schema.h"
#include "config/Settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

using namespace magnoliaspan;

namespace {

const std::string validDocument = R"(# head comment
environment: trial
generation: 7
zones:
  - {name: north, region: r1}
  - {name: south, region: r2, state: out}
seats:
  - {name: n1, zone: north, peer: "127.0.0.1:7100"}
systems:
  - name: catalog
    policy: latency
    soft_deadline: 150ms
    hard_deadline: 300ms
    slots: 3
    connections: 30
    shard_map_generation: 1
    shards:
      - {shard: 1, targets: [t1]}
      - {shard: 0, targets: [t1]}
targets:
  - {name: t1, system: catalog, zone: north, address: "127.0.0.1:7200"}
)";

std::string withReplacement(std::string text, const std::string &from, const std::string &to)
{
    const auto place = text.find(from);
    REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

std::string firstError(const std::string &text)
{
    Diagnostics diagnostics;
    REQUIRE(EnvironmentDocument::parse(text, "doc.yaml", diagnostics) == nullptr);
    return diagnostics.front().toString();
}

} // namespace

TEST_CASE("environment document: a valid document gets defaults and sorted shards", "[config]")
{
    Diagnostics diagnostics;
    const EnvironmentPtr document = EnvironmentDocument::parse(validDocument, "doc.yaml", diagnostics);
    REQUIRE(document);
    REQUIRE(document->generation == 7);
    REQUIRE(document->isZoneInService("north"));
    REQUIRE_FALSE(document->isZoneInService("south"));
    REQUIRE_FALSE(document->isZoneInService("elsewhere"));
    const SystemSpec *system = document->findSystem("catalog");
    REQUIRE(system->policy == ResponsePolicy::Latency);
    REQUIRE(system->shards.front().shard == 0);
    REQUIRE(system->hedgeBudget == Approx(0.05));
    REQUIRE(system->softDeadline == std::chrono::milliseconds(150));
}

TEST_CASE("environment document: each error has file, line and field", "[config]")
{
    const auto error = [](const std::string &from, const std::string &to) { return firstError(withReplacement(validDocument, from, to)); };
    REQUIRE(error("generation: 7", "generation: many") == "doc.yaml:3: generation: 'many' is not an integer from 1 to 1000000000000000");
    REQUIRE(error("generation: 7", "generation: 7\ngeneration: 8") == "doc.yaml:4: generation: field is given twice");
    REQUIRE(error("generation: 7\n", "") == "doc.yaml:2: generation: required field is missing");
    REQUIRE(error("state: out", "state: off") == "doc.yaml:6: zones[1].state: 'off' is not one of in|out");
    REQUIRE(error("state: out", "colour: red") == "doc.yaml:6: zones[1].colour: unknown field");
    REQUIRE(error("127.0.0.1:7100", "localhost:7100")
            == "doc.yaml:8: seats[0].peer: 'localhost:7100' is not an IP address and port, such as 127.0.0.1:7100");
    REQUIRE(error("hard_deadline: 300ms", "hard_deadline: 300")
            == "doc.yaml:13: systems[0].hard_deadline: '300' is not a duration from 1 ms to 60000 ms, such as 250ms or 2s");
    REQUIRE(error("soft_deadline: 150ms", "soft_deadline: 400ms") == "doc.yaml:12: systems[].soft_deadline: is later than hard_deadline");
    REQUIRE(error("[t1]", "[t9]") == "doc.yaml:18: systems[].shards[].targets: 't9' is not a target of 'catalog'");
    REQUIRE(error("shard: 1", "shard: 0") == "doc.yaml:19: systems[].shards[].shard: shard 0 of 'catalog' is given twice");
    REQUIRE(error("zone: north, address", "zone: west, address") == "doc.yaml:21: targets[].zone: zone 'west' is not in zones");
    REQUIRE(error("zones:\n", "zones: [\n").find("doc.yaml:") == 0);
}

TEST_CASE("settings: defaults are set and a short peer key is rejected", "[config]")
{
    const std::string validSettings = "seat: n1\nzone: north\nenvironment: trial\ncaller_address: 127.0.0.1:1\npeer_address: 127.0.0.1:2\n"
                                      "admin_address: 127.0.0.1:3\nplatform_address: 127.0.0.1:4\npeer_key: 0123456789abcdef\n";
    Diagnostics diagnostics;
    const auto settings = Settings::parse(validSettings, "s.yaml", diagnostics);
    REQUIRE(settings);
    REQUIRE(settings->logLevel == "info");
    REQUIRE(settings->shutdownLimit == std::chrono::seconds(30));
    REQUIRE_FALSE(Settings::parse(withReplacement(validSettings, "0123456789abcdef", "short"), "s.yaml", diagnostics));
    REQUIRE(diagnostics.front().toString() == "s.yaml:8: peer_key: is shorter than 16 characters");
}

TEST_CASE("promotion: sets the head fields and keeps everything else", "[config]")
{
    Diagnostics diagnostics;
    const auto text = promote(validDocument, "doc.yaml", "production", std::nullopt, diagnostics);
    REQUIRE(text);
    const EnvironmentPtr document = EnvironmentDocument::parse(*text, "production.yaml", diagnostics);
    REQUIRE(document);
    REQUIRE(document->environment == "production");
    REQUIRE(document->generation == 7);
    REQUIRE(text->find("trial_digest: " + EnvironmentDocument::digestOf(validDocument)) != std::string::npos);
    REQUIRE(text->find("# head comment") != std::string::npos);
    REQUIRE_FALSE(promote(validDocument, "doc.yaml", "trial", std::nullopt, diagnostics));
    REQUIRE_FALSE(promote("nonsense", "doc.yaml", "production", std::nullopt, diagnostics));
}

TEST_CASE("schema: the reference page in the documentation is up to date", "[config]")
{
    std::ifstream file(MAGNOLIASPAN_DOCS "/CONFIGURATION.md");
    const std::string page(std::istreambuf_iterator<char>(file), {});
    REQUIRE(page == referencePage());
}
