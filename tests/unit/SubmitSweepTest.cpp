/*
 * Unit tests: a submit's exchange is cut at each byte of the request and of
 * the answer; the target's own count of runs is the judge.
 */
#include "unit/SocketFixture.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;

namespace {

constexpr std::size_t longestRequest = 800;
constexpr std::size_t longestReply = 500;
// A host takes keys after its lease and the clock offset bound.
constexpr Duration untilHome = HomeLease::leaseDuration + std::chrono::milliseconds(200);

struct Outcome {
    std::string verdict;
    unsigned runs = 0;
};

std::string verdictIn(const std::string &body)
{
    const std::string field = "\"verdict\":\"";
    const auto begin = body.find(field) + field.size();
    return body.substr(begin, body.find('"', begin) - begin);
}

Outcome submitOnce(SocketFixture &fixture, std::size_t number)
{
    const std::string key = fmt::format("{}-cut{}", fixture.clock.wallNow().time_since_epoch().count(), number);
    const ServiceReply reply = fixture.submit(key);
    // A run that was begun ends although its connection is gone.
    fixture.runFor(std::chrono::milliseconds(2));
    const auto &runs = fixture.target->record().runsByKey;
    const auto found = runs.find(key);
    return {verdictIn(reply.body), found == runs.end() ? 0 : found->second};
}

void requireTrue(const Outcome &outcome)
{
    REQUIRE(outcome.runs <= 1);
    if (outcome.verdict == "not_run") {
        REQUIRE(outcome.runs == 0);
    } else if (outcome.verdict == "ran") {
        REQUIRE(outcome.runs == 1);
    } else {
        REQUIRE(outcome.verdict == "may_have_run");
    }
}

} // namespace

TEST_CASE("a cut at any byte of the request never makes a verdict false", "[submit]")
{
    SocketFixture fixture(21'000);
    fixture.runFor(untilHome);
    unsigned unknown = 0;
    for (std::size_t bytes = 0; bytes < longestRequest; bytes += 3) {
        INFO("cut after " << bytes << " bytes of the request");
        fixture.relay->breakAfterRequestBytes(bytes);
        fixture.relay->set("refuse", {});
        fixture.relay->set("heal", {});
        const Outcome outcome = submitOnce(fixture, bytes);
        requireTrue(outcome);
        unknown += outcome.verdict == "may_have_run" ? 1 : 0;
    }
    // The cut met the work itself, not only proofs of connections.
    REQUIRE(unknown > 10);
}

TEST_CASE("a cut at any byte of the answer never makes a verdict false", "[submit]")
{
    SocketFixture fixture(21'010);
    fixture.runFor(untilHome);
    unsigned unknown = 0;
    for (std::size_t bytes = 0; bytes < longestReply; bytes += 2) {
        INFO("cut after " << bytes << " bytes of the answer");
        fixture.relay->set("refuse", {});
        fixture.relay->breakAfterReplyBytes(bytes);
        fixture.relay->set("heal", {});
        const Outcome outcome = submitOnce(fixture, bytes);
        requireTrue(outcome);
        unknown += outcome.verdict == "may_have_run" ? 1 : 0;
    }
    REQUIRE(unknown > 10);
}
