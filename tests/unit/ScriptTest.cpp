/*
 * Unit tests of the scenario language: error locations and detection of violated invariants.
 */
#include "scenario/FakeWorld.h"
#include "scenario/Runner.h"

#include <catch2/catch.hpp>

using namespace magnoliaspan::testing;

namespace {

const std::string head = "zone north\nseat n1 north\nsystem catalog shards=1\ntarget t1 north shards=0\nrun 1s\n";

std::string errorOf(const std::string &script)
{
    try {
        FakeWorld world(1);
        Runner runner(world);
        runner.run(parseScript(script, "s.scn"));
    } catch (const ScriptError &error) {
        return error.what();
    }
    return "";
}

} // namespace

TEST_CASE("script: an error names the file and line", "[script]")
{
    REQUIRE(errorOf(head).empty());
    REQUIRE(errorOf("zone north\nfly n1\n") == "s.scn:2: unknown verb 'fly'");
    REQUIRE(errorOf("zone\n") == "s.scn:1: 'zone' takes 1 words, found 0");
    REQUIRE(errorOf("zone north colour=red\n") == "s.scn:1: 'zone' has no option 'colour'");
    REQUIRE(errorOf(head + "run soon\n") == "s.scn:6: 'soon' is not a duration");
    REQUIRE(errorOf(head + "search q n1\nrun 1s\nexpect q status=404\n") == "s.scn:8: expected status=404, found 200");
    REQUIRE(errorOf(head + "expect q status=200\n") == "s.scn:6: no request 'q' was sent");
    REQUIRE(errorOf(head + "set t1 colour=red\n") == "s.scn:6: no target 't1' or trait 'colour'");
}

TEST_CASE("script: load above the capacity of a cold target violates an invariant", "[script]")
{
    // The document allows 5 concurrent cold requests, but the target handles only 1: the violation must be reported.
    const std::string script
        = "zone north\nseat n1 north\nsystem catalog shards=1 cold=5 slots=5\n"
          "target t1 north shards=0 cold_bears=1 starts_cold=yes warm_after=1000 cold_service=50ms\nrun 1s\nload l n1 rate=200 for=1s\n";
    REQUIRE(errorOf(script).find("above its capacity while cold") != std::string::npos);
}
