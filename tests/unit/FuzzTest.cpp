/*
 * Fuzz tests of the parsers with fixed seeds and a fixed number of rounds: mutated input must not crash a parser, and
 * accepted input must satisfy the invariants of its type.
 */
#include "Fuzzing.h"
#include "config/EnvironmentDocument.h"
#include "config/Settings.h"
#include "peer/PeerCodec.h"
#include "request/CallerMessages.h"
#include "request/ShardMessages.h"
#include "scenario/Script.h"

#include <catch2/catch.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;

TEST_CASE("environment document: mutated input is refused or valid", "[fuzz]")
{
    const std::string good = "environment: trial\ngeneration: 7\nzones:\n  - {name: north, region: r1}\nseats:\n  - {name: n1, zone: "
                             "north, peer: \"127.0.0.1:7100\"}\n"
                             "systems:\n  - name: catalog\n    policy: latency\n    soft_deadline: 150ms\n    hard_deadline: 300ms\n    "
                             "slots: 3\n    connections: 30\n"
                             "    shard_map_generation: 1\n    shards:\n      - {shard: 1, targets: [t1]}\ntargets:\n"
                             "  - {name: t1, system: catalog, zone: north, address: \"127.0.0.1:7200\"}\n";
    unsigned accepted = 0;
    fuzz(good, 11, [&accepted](const std::string &text) {
        Diagnostics diagnostics;
        const EnvironmentPtr document = EnvironmentDocument::parse(text, "f", diagnostics);
        REQUIRE((document == nullptr) == !diagnostics.empty());
        if (!document) {
            return;
        }
        ++accepted;
        for (const SystemSpec &system : document->systems) {
            REQUIRE(system.softDeadline <= system.hardDeadline);
            REQUIRE_FALSE(system.shards.empty());
            for (const ShardSpec &shard : system.shards) {
                for (const std::string &name : shard.targets) {
                    REQUIRE(document->findTarget(name) != nullptr);
                }
            }
        }
    });
    REQUIRE(accepted > 0);
}

TEST_CASE("settings: mutated input is refused or valid", "[fuzz]")
{
    const std::string good = "seat: n1\nzone: north\nenvironment: trial\ncaller_address: 127.0.0.1:1\npeer_address: 127.0.0.1:2\n"
                             "admin_address: 127.0.0.1:3\nplatform_address: 127.0.0.1:4\npeer_key: 0123456789abcdef\n";
    fuzz(good, 12, [](const std::string &text) {
        Diagnostics diagnostics;
        const auto settings = Settings::parse(text, "f", diagnostics);
        REQUIRE(settings.has_value() == diagnostics.empty());
    });
}

TEST_CASE("caller messages: mutated input is refused or valid", "[fuzz]")
{
    fuzz(R"({"system":"catalog","query":"x y","deadline_ms":250,"minimum_coverage":0.5,"limit":10})", 13, [](const std::string &text) {
        const auto parsed = parseSearchQuery(text, "id");
        if (const auto *query = std::get_if<SearchQuery>(&parsed)) {
            REQUIRE(query->limit >= 1);
            REQUIRE(query->limit <= SearchQuery::maxLimit);
            REQUIRE(query->timeout.value_or(std::chrono::milliseconds(1)).count() > 0);
        } else {
            REQUIRE(std::get<Refusal>(parsed).verdict == Verdict::NotRun);
        }
    });
    fuzz(R"({"system":"catalog","payload":"x","routing":"r","deadline_ms":250,"resend":true})", 14, [](const std::string &text) {
        parseSubmitCall(text, "id", "1-a");
    });
}

TEST_CASE("shard messages: mutated input is refused or valid", "[fuzz]")
{
    ShardReply reply;
    reply.requestId = "n1.1.1";
    reply.outcome = ShardOutcome::Answered;
    reply.verdict = Verdict::Ran;
    reply.targetStatus = {"boot", false, false, {1, 2}};
    reply.hits = {{"a", 1.5, "text"}};
    fuzz(encode(reply), 15, [](const std::string &text) {
        if (const auto decoded = decodeShardReply(text)) {
            REQUIRE(decoded->hits.size() <= internal::maxHitsPerReply);
            encode(*decoded);
        }
        decodeTargetStatus(text);
        decodeShardSearch(text);
        decodeShardSubmit(text);
        decodeSubmitResult(text);
    });
}

TEST_CASE("peer messages: mutated input is refused or valid", "[fuzz]")
{
    PeerState state;
    state.seat = "n1";
    state.digest = "abc";
    state.quarantined = {1, 2, 3};
    fuzz(PeerCodec::encodeHello(state), 16, [](const std::string &text) {
        PeerDispatcher dispatcher({[](const PeerState &told) {
                                       REQUIRE(told.quarantined.size() <= PeerState::maxQuarantined);
                                       return PeerState{};
                                   },
                                   [] { return std::string(); }});
        dispatcher.dispatch(text);
        PeerCodec::decodeState(text);
        PeerCodec::decodeDocument(text);
    });
}

TEST_CASE("scenario script: mutated input fails with its line", "[fuzz]")
{
    const std::string good = "zone north\nseat n1 north\nsystem catalog shards=2\ntarget t1 north shards=0,1\nrun 1s\nsearch q1 n1 "
                             "query=x\nexpect q1 status=200\n";
    fuzz(good, 17, [](const std::string &text) {
        try {
            magnoliaspan::testing::parseScript(text, "f.scn");
        } catch (const magnoliaspan::testing::ScriptError &error) {
            REQUIRE(std::string(error.what()).find("f.scn:") == 0);
        }
    });
}
