/*
 * Unit tests: hosts that receive few requests each, as in a large deployment, while some replicas are slow.
 */
#include "ForwardFixture.h"
#include "forward/LatencyEstimate.h"

#include <catch2/catch.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr LatencyBaseline baseline{milliseconds(30), seconds(2)};

TimePoint at(Duration time)
{
    return TimePoint(seconds(10)) + time;
}

} // namespace

TEST_CASE("forward: latency estimate, one pause is an outlier, two late responses further apart are not")
{
    LatencyEstimate estimate;
    for (int second = 0; second < 5; ++second) {
        estimate.add(milliseconds(30), at(seconds(second)));
    }
    SECTION("several late responses within one pause")
    {
        for (int sample = 0; sample < 3; ++sample) {
            estimate.add(milliseconds(300), at(seconds(5) + milliseconds(50 * sample)));
        }
        CHECK(estimate.expected(baseline, at(seconds(5) + milliseconds(200))) < milliseconds(110));
    }
    SECTION("a second late response when a pause would have ended")
    {
        estimate.add(milliseconds(300), at(seconds(5)));
        estimate.add(milliseconds(240), at(seconds(6)));
        CHECK(estimate.expected(baseline, at(seconds(6))) >= milliseconds(200));
    }
    SECTION("a second late response after an ordinary one")
    {
        estimate.add(milliseconds(300), at(seconds(5)));
        estimate.add(milliseconds(30), at(milliseconds(5'500)));
        estimate.add(milliseconds(300), at(seconds(6)));
        CHECK(estimate.expected(baseline, at(seconds(6))) < milliseconds(110));
    }
}

TEST_CASE("forward: pattern slow third at a low rate, a slow replica receives at most one request in ten")
{
    ForwardFixture fixture;
    for (const std::string id : {"t1", "t2", "t3"}) {
        fixture.addTarget(id, {"s", "here", 1}).work = milliseconds(30);
    }
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    // Three concurrent requests, so that each replica is needed.
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
    SECTION("it is used again once it is as fast as the others")
    {
        slow.work = milliseconds(30);
        rounds(60);
        const unsigned recovered = slow.arrivals;
        rounds(30);
        CHECK(slow.arrivals - recovered >= 20);
    }
}

TEST_CASE("forward: pattern slow third at a low rate, the slack of extra sends is refilled over time")
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
    // In ten seconds: a fifth of the requests, and ten as this host's share of the slack.
    const int extra = extraIn(10);
    CHECK(extra >= 4);
    CHECK(extra <= 12);
}
