/*
 * Unit tests: one forwarding host and targets that state how many requests a second they take from all hosts together.
 */
#include "ForwardFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double requestsPerSecond = 20;
constexpr Duration ruleWindow = std::chrono::seconds(4);
// The published rule, for the share \p share of one host in the requests of all.
double allowedInWindow(double share)
{
    return (1.5 * requestsPerSecond * 4 + 5) * share;
}

void publishService(ForwardFixture &fixture)
{
    for (const char *id : {"t0", "t1", "t2"}) {
        fixture.addTarget(id, {"s", "here", 6});
    }
    Route route = ForwardFixture::route("r", ServiceDestination{"s"});
    route.latencyGoal = milliseconds(200);
    fixture.publish({route});
    fixture.run(seconds(4));
}

/// Sends a request each 7 ms for \p duration.
std::vector<std::shared_ptr<CallerResponse>> sendRequests(ForwardFixture &fixture, Duration duration)
{
    std::vector<std::shared_ptr<CallerResponse>> responses;
    const TimePoint until = fixture.time.now() + duration;
    while (fixture.time.now() < until) {
        responses.push_back(fixture.call("r", milliseconds(500)));
        fixture.run(milliseconds(7));
    }
    fixture.run(seconds(1));
    return responses;
}

std::size_t mostInWindow(const FakeTarget &target, TimePoint from)
{
    std::size_t most = 0;
    for (const TimePoint start : target.arrivedAt) {
        if (start < from) {
            continue;
        }
        most = std::max<std::size_t>(most, std::count_if(target.arrivedAt.begin(), target.arrivedAt.end(), [start](TimePoint at) {
                                         return at >= start && at < start + ruleWindow;
                                     }));
    }
    return most;
}

std::size_t countStatus(const std::vector<std::shared_ptr<CallerResponse>> &responses, unsigned status)
{
    return static_cast<std::size_t>(
        std::count_if(responses.begin(), responses.end(), [status](const auto &response) { return response->status == status; }));
}

} // namespace

// Guards against a target in need that gets far more requests than the limit that it stated.
TEST_CASE("request limit: pattern capped targets, two of three state a limit and get no more, and every caller is served in time")
{
    ForwardFixture fixture;
    publishService(fixture);
    sendRequests(fixture, seconds(2));
    fixture.targets["t0"]->limit = requestsPerSecond;
    fixture.targets["t1"]->limit = requestsPerSecond;
    sendRequests(fixture, milliseconds(500));
    const TimePoint stated = fixture.time.now();
    const auto responses = sendRequests(fixture, seconds(12));
    CHECK(static_cast<double>(mostInWindow(*fixture.targets["t0"], stated)) <= allowedInWindow(1));
    CHECK(static_cast<double>(mostInWindow(*fixture.targets["t1"], stated)) <= allowedInWindow(1));
    CHECK(std::all_of(responses.begin(), responses.end(), [](const auto &response) {
        return response->status == 200 && response->took <= milliseconds(200);
    }));
}

TEST_CASE("request limit: a host keeps to its share of the limit of all hosts")
{
    ForwardFixture fixture;
    constexpr unsigned hosts = 6;
    fixture.limits.hosts = hosts;
    publishService(fixture);
    fixture.targets["t0"]->limit = requestsPerSecond;
    sendRequests(fixture, milliseconds(500));
    const TimePoint stated = fixture.time.now();
    sendRequests(fixture, seconds(12));
    CHECK(static_cast<double>(mostInWindow(*fixture.targets["t0"], stated)) <= allowedInWindow(1.0 / hosts));
    CHECK(mostInWindow(*fixture.targets["t0"], stated) > 0);
}

TEST_CASE("request limit: a target that states no limit any more is used as before")
{
    ForwardFixture fixture;
    publishService(fixture);
    fixture.targets["t0"]->limit = requestsPerSecond;
    sendRequests(fixture, seconds(4));
    fixture.targets["t0"]->limit.reset();
    sendRequests(fixture, seconds(1));
    fixture.targets["t1"]->behaviour = Behaviour::Shed;
    fixture.targets["t2"]->behaviour = Behaviour::Shed;
    const TimePoint lifted = fixture.time.now();
    sendRequests(fixture, seconds(4));
    CHECK(static_cast<double>(mostInWindow(*fixture.targets["t0"], lifted)) > allowedInWindow(1));
}

TEST_CASE("request limit: a target that takes no requests at all is asked now and then, so that the end of the limit is noticed")
{
    ForwardFixture fixture;
    publishService(fixture);
    fixture.targets["t0"]->limit = 0;
    sendRequests(fixture, seconds(1));
    const TimePoint stated = fixture.time.now();
    sendRequests(fixture, seconds(10));
    CHECK(mostInWindow(*fixture.targets["t0"], stated) <= 5);
    CHECK(mostInWindow(*fixture.targets["t0"], stated) > 0);
}

// Guards against callers that wait for their deadline while all targets of a service are at their limits.
TEST_CASE("request limit: what all limits of a service together do not permit is refused early and told when to come back")
{
    ForwardFixture fixture;
    publishService(fixture);
    for (const auto &[id, target] : fixture.targets) {
        target->limit = requestsPerSecond;
    }
    sendRequests(fixture, milliseconds(500));
    const TimePoint stated = fixture.time.now();
    const auto responses = sendRequests(fixture, seconds(12));
    for (const auto &[id, target] : fixture.targets) {
        CHECK(static_cast<double>(mostInWindow(*target, stated)) <= allowedInWindow(1));
    }
    constexpr double sentFor = 12;
    CHECK(static_cast<double>(countStatus(responses, 200)) >= 0.8 * 3 * requestsPerSecond * sentFor);
    CHECK(countStatus(responses, 200) + countStatus(responses, 503) == responses.size());
    CHECK(std::all_of(responses.begin(), responses.end(), [](const auto &response) {
        return response->status == 200 || (response->took <= milliseconds(50) && !response->header("Retry-After").empty());
    }));
}
