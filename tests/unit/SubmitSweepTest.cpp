/*
 * Unit tests that cut the connection at many byte positions of a submit's request and response, and compare the verdict
 * with the number of runs that the target counted.
 */
#include "unit/SocketFixture.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;

namespace {

constexpr std::size_t maxRequestBytes = 800;
constexpr std::size_t maxReplyBytes = 500;
// A host accepts keys only after its lease and the clock offset bound have passed.
constexpr Duration timeUntilHome = HomeLease::leaseDuration + std::chrono::milliseconds(200);

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
    // A run that has started completes even if its connection is closed.
    fixture.runFor(std::chrono::milliseconds(2));
    const auto &runs = fixture.target->record().runsByKey;
    const auto found = runs.find(key);
    return {verdictIn(reply.body), found == runs.end() ? 0 : found->second};
}

void requireConsistentVerdict(const Outcome &outcome)
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

TEST_CASE("submit: a connection cut at any byte of the request never yields a false verdict", "[submit]")
{
    SocketFixture fixture(21'000);
    fixture.runFor(timeUntilHome);
    unsigned unknownVerdicts = 0;
    for (std::size_t bytes = 0; bytes < maxRequestBytes; bytes += 3) {
        INFO("cut after " << bytes << " bytes of the request");
        fixture.relay->breakAfterRequestBytes(bytes);
        fixture.relay->set("refuse", {});
        fixture.relay->set("heal", {});
        const Outcome outcome = submitOnce(fixture, bytes);
        requireConsistentVerdict(outcome);
        unknownVerdicts += outcome.verdict == "may_have_run" ? 1 : 0;
    }
    // The cuts must also hit the submit itself, not only the status requests that verify a connection.
    REQUIRE(unknownVerdicts > 10);
}

TEST_CASE("submit: a connection cut at any byte of the response never yields a false verdict", "[submit]")
{
    SocketFixture fixture(21'010);
    fixture.runFor(timeUntilHome);
    unsigned unknownVerdicts = 0;
    for (std::size_t bytes = 0; bytes < maxReplyBytes; bytes += 2) {
        INFO("cut after " << bytes << " bytes of the response");
        fixture.relay->set("refuse", {});
        fixture.relay->breakAfterReplyBytes(bytes);
        fixture.relay->set("heal", {});
        const Outcome outcome = submitOnce(fixture, bytes);
        requireConsistentVerdict(outcome);
        unknownVerdicts += outcome.verdict == "may_have_run" ? 1 : 0;
    }
    REQUIRE(unknownVerdicts > 10);
}
