/*
 * Unit tests: connections of a replica and attempts queued for one.
 */
#include "ForwardFixture.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

bool hasCounter(const ForwardFixture &fixture, std::string_view name, unsigned value)
{
    return fixture.host->metrics().find(fmt::format("{} {}\n", name, value)) != std::string::npos;
}

} // namespace

TEST_CASE("forward: a non-idempotent request does not use a long-idle connection")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"}, Repeatability::NonIdempotent)});
    fixture.call("a", seconds(2), "POST");
    fixture.run(milliseconds(100));
    REQUIRE(hasCounter(fixture, "magnoliaspan_target_connects_total", 1));
    SECTION("a connection idle for a short time is reused")
    {
        fixture.run(milliseconds(1'500));
        const auto response = fixture.call("a", seconds(2), "POST");
        fixture.run(milliseconds(100));
        CHECK(response->status == 200);
        CHECK(hasCounter(fixture, "magnoliaspan_target_connects_total", 1));
    }
    SECTION("after a longer time a new one is opened, as the target may be about to close the old one")
    {
        fixture.run(milliseconds(3'000));
        const auto response = fixture.call("a", seconds(2), "POST");
        fixture.run(milliseconds(100));
        CHECK(response->status == 200);
        CHECK(hasCounter(fixture, "magnoliaspan_target_connects_total", 2));
    }
}

TEST_CASE("forward: attempts queued at a target that is removed move to another at once")
{
    ForwardFixture fixture;
    fixture.services.push_back({"s", 5, seconds(3), 0});
    fixture.addTarget("t1", {"s", "here", 1}).work = milliseconds(400);
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"}, Repeatability::NonIdempotent)});
    std::vector<std::shared_ptr<CallerResponse>> responses;
    responses.reserve(6);
    for (int call = 0; call < 6; ++call) {
        responses.push_back(fixture.call("a", seconds(2), "POST"));
    }
    fixture.run(milliseconds(20));
    const unsigned sent = fixture.targets["t1"]->arrivals;
    REQUIRE(sent < 6);
    FakeTarget &other = fixture.addTarget("t2", {"s", "here", 6});
    fixture.change({TargetPublished{fixture.entryOf("t2")}, TargetRemoved{"t1"}});
    fixture.run(milliseconds(40));
    CHECK(other.arrivals == 6 - sent);
    fixture.run(seconds(1));
    for (const auto &response : responses) {
        CHECK(response->status == 200);
    }
}
