/*
 * Unit tests: one forwarding host and targets that say in responses that they leave, or that they want no requests for a while.
 */
#include "ForwardFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <set>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The shortest limit among the users' sites on requests to a target that leaves.
constexpr Duration drainingLimit = seconds(3);
// The published rule on a pause: from this time after the refusal on, two requests at most.
constexpr Duration pauseSlack = milliseconds(500);
constexpr unsigned allowedInPause = 2;

void publishService(ForwardFixture &fixture, unsigned targets)
{
    for (unsigned number = 0; number < targets; ++number) {
        // The first one is the fastest, so that it is chosen while it can be used.
        fixture.addTarget(fmt::format("t{}", number), {"s", "here", 6}).work = milliseconds(number == 0 ? 5 : 25);
    }
    Route route = ForwardFixture::route("r", ServiceDestination{"s"});
    route.latencyGoal = milliseconds(200);
    fixture.publish({route});
    fixture.run(seconds(4));
}

/// Sends a request each 7 ms for \p duration, and waits for the last responses.
std::vector<std::shared_ptr<CallerResponse>> sendRequests(ForwardFixture &fixture, Duration duration)
{
    std::vector<std::shared_ptr<CallerResponse>> responses;
    const TimePoint until = fixture.time.now() + duration;
    while (fixture.time.now() < until) {
        responses.push_back(fixture.call("r", milliseconds(500)));
        fixture.run(milliseconds(7));
    }
    fixture.run(milliseconds(60));
    return responses;
}

unsigned arrivalsBetween(const FakeTarget &target, TimePoint from, TimePoint until)
{
    return static_cast<unsigned>(
        std::count_if(target.arrivedAt.begin(), target.arrivedAt.end(), [&](TimePoint at) { return at >= from && at < until; }));
}

bool areServed(const std::vector<std::shared_ptr<CallerResponse>> &responses)
{
    return std::all_of(responses.begin(), responses.end(), [](const auto &response) { return response->status == 200; });
}

double retryAfter(const CallerResponse &response)
{
    return std::stod(response.header("Retry-After"));
}

} // namespace

// Guards against requests to a target that has told this host that it leaves, while the source still lists it as ready.
TEST_CASE("statements: pattern scale-in while the source is away, a target that says that it leaves gets no further requests")
{
    const Behaviour behaviour = GENERATE(Behaviour::Answer, Behaviour::Fail, Behaviour::Shed, Behaviour::FailUnavailable);
    CAPTURE(static_cast<int>(behaviour));
    ForwardFixture fixture;
    publishService(fixture, 3);
    sendRequests(fixture, seconds(1));
    FakeTarget &target = *fixture.targets["t0"];
    const unsigned before = target.arrivals;
    target.leaving = true;
    target.behaviour = behaviour;
    sendRequests(fixture, milliseconds(20));
    fixture.run(milliseconds(100));
    REQUIRE(target.arrivals > before);
    target.behaviour = Behaviour::Answer;
    const TimePoint said = fixture.time.now();
    // Other ones fail, so that there are retries and hedges too.
    fixture.targets["t1"]->behaviourFor = [](unsigned arrival) { return arrival % 10 == 0 ? Behaviour::Fail : Behaviour::Answer; };
    CHECK(areServed(sendRequests(fixture, seconds(2))));
    fixture.change({TargetRemoved{"t0"}});
    fixture.change({TargetPublished{fixture.entryOf("t0")}});
    CHECK(areServed(sendRequests(fixture, seconds(2))));
    CHECK(arrivalsBetween(target, said, fixture.time.now()) == 0);
}

TEST_CASE("statements: the next instance at the address of a target that left is used")
{
    ForwardFixture fixture;
    publishService(fixture, 1);
    FakeTarget &target = *fixture.targets["t0"];
    target.leaving = true;
    sendRequests(fixture, drainingLimit);
    target.leaving = false;
    TargetEntry entry = fixture.entryOf("t0");
    entry.startedAt = 2;
    fixture.change({TargetPublished{entry}});
    CHECK(areServed(sendRequests(fixture, milliseconds(100))));
}

TEST_CASE("statements: the last target of a service is used for a while after it said that it leaves, then requests are refused at once")
{
    ForwardFixture fixture;
    publishService(fixture, 1);
    FakeTarget &target = *fixture.targets["t0"];
    target.leaving = true;
    const TimePoint said = fixture.time.now();
    CHECK(areServed(sendRequests(fixture, milliseconds(700))));
    const auto responses = sendRequests(fixture, seconds(4));
    CHECK(arrivalsBetween(target, said + drainingLimit, fixture.time.now()) == 0);
    CHECK(responses.back()->status == 503);
    CHECK(responses.back()->took == Duration::zero());
    CHECK_FALSE(responses.back()->header("Retry-After").empty());
}

TEST_CASE("statements: attempts queued at a target that says that it leaves move to another at once")
{
    ForwardFixture fixture;
    fixture.services.push_back({"s", 5, seconds(3), 0});
    FakeTarget &leaving = fixture.addTarget("t0", {"s", "here", 1});
    leaving.work = milliseconds(100);
    fixture.publish({ForwardFixture::route("r", ServiceDestination{"s"}, Repeatability::NonIdempotent)});
    std::vector<std::shared_ptr<CallerResponse>> responses;
    responses.reserve(6);
    for (int call = 0; call < 6; ++call) {
        responses.push_back(fixture.call("r", seconds(2), "POST"));
    }
    fixture.run(milliseconds(20));
    const unsigned sent = leaving.arrivals;
    REQUIRE(sent < 6);
    FakeTarget &other = fixture.addTarget("t1", {"s", "here", 6});
    fixture.change({TargetPublished{fixture.entryOf("t1")}});
    leaving.leaving = true;
    fixture.run(milliseconds(500));
    CHECK(leaving.arrivals == sent);
    CHECK(other.arrivals == 6 - sent);
    CHECK(areServed(responses));
}

// Guards against requests that keep a target overloaded which has asked for a pause.
TEST_CASE(
    "statements: pattern shedding replicas, one that asks for a pause gets no requests until it ends, and callers are served by others")
{
    ForwardFixture fixture;
    publishService(fixture, 3);
    sendRequests(fixture, seconds(1));
    FakeTarget &target = *fixture.targets["t0"];
    target.pause = 2.0;
    target.behaviour = Behaviour::Shed;
    const unsigned before = target.arrivals;
    sendRequests(fixture, milliseconds(7));
    REQUIRE(target.arrivals > before);
    const TimePoint refused = target.arrivedAt.at(before);
    target.behaviour = Behaviour::Answer;
    // What was sent before the refusal arrived is not counted; an entry that lapses and comes back does not end the pause.
    CHECK(areServed(sendRequests(fixture, milliseconds(600))));
    fixture.change({TargetRemoved{"t0"}});
    fixture.change({TargetPublished{fixture.entryOf("t0")}});
    CHECK(areServed(sendRequests(fixture, milliseconds(2'200))));
    CHECK(arrivalsBetween(target, refused + pauseSlack, refused + seconds(2)) <= allowedInPause);
    // It is used again soon.
    CHECK(arrivalsBetween(target, refused + seconds(2), fixture.time.now()) > 0);
}

TEST_CASE(
    "statements: pattern shedding across a service, while all targets ask for a pause callers are refused at once and return spread out")
{
    ForwardFixture fixture;
    publishService(fixture, 3);
    for (const auto &[id, target] : fixture.targets) {
        target->pause = 1.5;
        target->behaviour = Behaviour::Shed;
    }
    fixture.call("r");
    fixture.run(milliseconds(100));
    fixture.call("r");
    fixture.run(milliseconds(100));
    const unsigned before = fixture.arrivals();
    REQUIRE(before == 3);
    std::set<std::string> returns;
    for (int call = 0; call < 20; ++call) {
        const auto response = fixture.call("r", seconds(2));
        fixture.run(milliseconds(1));
        CHECK(response->status == 503);
        CHECK(response->took == Duration::zero());
        CHECK(retryAfter(*response) >= 1.2);
        CHECK(retryAfter(*response) <= 2.0);
        returns.insert(response->header("Retry-After"));
    }
    CHECK(returns.size() > 10);
    CHECK(fixture.arrivals() == before);
    for (const auto &[id, target] : fixture.targets) {
        target->behaviour = Behaviour::Answer;
    }
    fixture.run(milliseconds(1'700));
    CHECK(areServed(sendRequests(fixture, milliseconds(100))));
}

TEST_CASE("statements: hosts do not all return to a target at the instant at which its pause ends")
{
    std::set<Duration> returnedAfter;
    for (unsigned seed = 1; seed <= 8; ++seed) {
        ForwardFixture fixture;
        fixture.seed = seed;
        publishService(fixture, 1);
        FakeTarget &target = *fixture.targets["t0"];
        target.pause = 1.0;
        target.behaviour = Behaviour::Shed;
        fixture.call("r");
        fixture.run(milliseconds(20));
        REQUIRE(target.arrivals == 1);
        target.behaviour = Behaviour::Answer;
        while (target.arrivals == 1 && fixture.time.now() < target.arrivedAt.front() + seconds(2)) {
            fixture.call("r");
            fixture.run(milliseconds(1));
        }
        REQUIRE(target.arrivals > 1);
        returnedAfter.insert(target.arrivedAt.at(1) - target.arrivedAt.front());
    }
    CHECK(*returnedAfter.begin() >= seconds(1));
    CHECK(*returnedAfter.rbegin() <= milliseconds(1'200));
    CHECK(returnedAfter.size() > 4);
}

TEST_CASE("statements: a pause of a week is cut short, and ends with the instance")
{
    ForwardFixture fixture;
    publishService(fixture, 1);
    FakeTarget &target = *fixture.targets["t0"];
    target.pause = 7 * 86'400.0;
    target.behaviour = Behaviour::Shed;
    fixture.call("r");
    fixture.run(milliseconds(100));
    target.behaviour = Behaviour::Answer;
    SECTION("the target is tried again after about a minute")
    {
        fixture.run(std::chrono::minutes(2));
        CHECK(areServed(sendRequests(fixture, milliseconds(20))));
    }
    SECTION("the next instance is used at once")
    {
        const unsigned before = target.arrivals;
        TargetEntry entry = fixture.entryOf("t0");
        entry.startedAt = 2;
        fixture.change({TargetPublished{entry}});
        sendRequests(fixture, milliseconds(20));
        fixture.run(milliseconds(100));
        CHECK(target.arrivals > before);
    }
}

TEST_CASE("statements: pattern shards that ask for a pause, the others answer within the goal, and too few are refused at once")
{
    ForwardFixture fixture;
    const std::vector<std::string> shards = fixture.addShards("shard", 10, 1);
    fixture.publish({ForwardFixture::route("half", ShardedDestination{shards, 2, 0.5}),
                     ForwardFixture::route("most", ShardedDestination{shards, 2, 0.9})});
    for (const char *id : {"shard0-0", "shard1-0", "shard2-0"}) {
        fixture.targets[id]->pause = 3.0;
        fixture.targets[id]->behaviour = Behaviour::Shed;
    }
    fixture.call("half");
    fixture.run(milliseconds(300));
    const auto half = fixture.call("half");
    const auto most = fixture.call("most");
    fixture.run(milliseconds(300));
    CHECK(half->status == 200);
    CHECK(half->header("missing") == "3");
    CHECK(half->took <= milliseconds(100));
    CHECK(most->status == 503);
    CHECK(most->took == Duration::zero());
    CHECK(fixture.targets["shard0-0"]->arrivals == 1);
}
