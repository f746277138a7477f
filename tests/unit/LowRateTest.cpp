/*
 * Unit tests: hosts with few requests each, as in a large deployment, among replicas some of which are slow.
 */
#include "ForwardFixture.h"
#include "forward/LatencyEstimate.h"

#include <catch2/catch.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr UsualLatency usual{milliseconds(30), seconds(2)};

TimePoint at(Duration time)
{
    return TimePoint(seconds(10)) + time;
}

} // namespace

TEST_CASE("forward: one pause does not make a replica look slow, two late answers some time apart do")
{
    LatencyEstimate estimate;
    for (int second = 0; second < 5; ++second) {
        estimate.add(milliseconds(30), at(seconds(second)));
    }
    SECTION("answers of one pause")
    {
        for (int answer = 0; answer < 3; ++answer) {
            estimate.add(milliseconds(300), at(seconds(5) + milliseconds(50 * answer)));
        }
        CHECK(estimate.expected(usual, at(seconds(5) + milliseconds(200))) < milliseconds(110));
    }
    SECTION("a second one after the first pause must be over")
    {
        estimate.add(milliseconds(300), at(seconds(5)));
        estimate.add(milliseconds(240), at(seconds(6)));
        CHECK(estimate.expected(usual, at(seconds(6))) >= milliseconds(200));
    }
    SECTION("with an ordinary one between")
    {
        estimate.add(milliseconds(300), at(seconds(5)));
        estimate.add(milliseconds(30), at(milliseconds(5'500)));
        estimate.add(milliseconds(300), at(seconds(6)));
        CHECK(estimate.expected(usual, at(seconds(6))) < milliseconds(110));
    }
}

TEST_CASE("forward: pattern slow third at a low rate, a slow replica gets one request in ten at most")
{
    ForwardFixture fixture;
    for (const std::string id : {"t1", "t2", "t3"}) {
        fixture.addTarget(id, {"s", "here", 1}).work = milliseconds(30);
    }
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    // Three at once, so that each replica is needed.
    const auto rounds = [&fixture](int count) {
        for (int round = 0; round < count; ++round) {
            for (int request = 0; request < 3; ++request) {
                fixture.call("a");
            }
            fixture.run(seconds(3));
        }
    };
    rounds(10);
    FakeTarget &slow = *fixture.targets["t1"];
    slow.work = milliseconds(240);
    rounds(10);
    const unsigned before = slow.arrivals;
    rounds(60);
    CHECK(slow.arrivals - before <= 18);
    SECTION("and is used again once it is as fast as the others")
    {
        slow.work = milliseconds(30);
        rounds(60);
        const unsigned recovered = slow.arrivals;
        rounds(30);
        CHECK(slow.arrivals - recovered >= 20);
    }
}

TEST_CASE("forward: pattern slow third at a low rate, the published slack of extra sends is used over time, not only at the start")
{
    ForwardFixture fixture;
    fixture.limits.hosts = 10;
    fixture.limits.extraSendSlack = 100;
    fixture.addTarget("t1", {"s", "here"}).behaviour = Behaviour::Fail;
    fixture.addTarget("t2", {"s", "here"}).behaviour = Behaviour::Fail;
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    const auto extraIn = [&fixture](int requests) {
        const unsigned before = fixture.arrivals();
        for (int request = 0; request < requests; ++request) {
            fixture.call("a");
            fixture.run(milliseconds(1'000));
        }
        return static_cast<int>(fixture.arrivals() - before) - requests;
    };
    extraIn(30);
    // In ten seconds: a fifth of the requests, and this host's share of the slack, ten.
    const int extra = extraIn(10);
    CHECK(extra >= 4);
    CHECK(extra <= 12);
}
