/*
 * Unit tests: requests that crash each target that runs them.
 */
#include "ForwardFixture.h"

#include <catch2/catch.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr Fingerprint request{42};

TargetEntry target(const std::string &id)
{
    TargetEntry entry;
    entry.id = id;
    entry.startedAt = 1;
    return entry;
}

struct GuardFixture {
    void lose(const std::string &id)
    {
        guard.lost(request, target(id), time.now());
        time.runUntil(time.now() + milliseconds(50));
    }

    void pass(Duration duration)
    {
        time.runUntil(time.now() + duration);
        guard.tick();
    }

    GuardFixture()
    {
        time.runUntil(TimePoint(seconds(10)));
    }

    ManualTime time;
    Journal journal{time, [](std::string_view) {}, 10};
    Counters counters;
    CrashGuard guard{time, journal, counters};
};

} // namespace

TEST_CASE("crashes: a request that was lost three times in a row is refused for a while")
{
    GuardFixture fixture;
    fixture.lose("t1");
    fixture.lose("t2");
    CHECK_FALSE(fixture.guard.refusedUntil(request));
    fixture.lose("t3");
    CHECK(fixture.guard.refusedUntil(request));
    CHECK_FALSE(fixture.guard.refusedUntil(Fingerprint{43}));
    fixture.pass(minutes(11));
    CHECK_FALSE(fixture.guard.refusedUntil(request));
}

TEST_CASE("crashes: targets that fail together under one request count once")
{
    GuardFixture fixture;
    for (const std::string id : {"t1", "t2", "t3", "t4"}) {
        fixture.guard.lost(request, target(id), fixture.time.now() - milliseconds(5));
    }
    CHECK_FALSE(fixture.guard.refusedUntil(request));
}

TEST_CASE("crashes: an answer clears the request")
{
    GuardFixture fixture;
    fixture.lose("t1");
    fixture.lose("t2");
    fixture.guard.completed(request);
    fixture.lose("t3");
    CHECK_FALSE(fixture.guard.refusedUntil(request));
}

TEST_CASE("crashes: a target that answers soon after lost only a connection")
{
    GuardFixture fixture;
    fixture.lose("t1");
    fixture.lose("t2");
    fixture.guard.answered(target("t2"));
    fixture.lose("t3");
    CHECK_FALSE(fixture.guard.refusedUntil(request));
    fixture.pass(seconds(2));
    fixture.guard.answered(target("t3"));
    fixture.lose("t4");
    CHECK(fixture.guard.refusedUntil(request));
}

TEST_CASE("crashes: losses that three hosts saw are added up, one that two saw counts once")
{
    GuardFixture fixture;
    std::vector<CrashReport> told;
    fixture.guard.onLoss([&told](const CrashReport &report) { told.push_back(report); });
    fixture.lose("t1");
    CHECK(told.empty());
    fixture.pass(milliseconds(1'100));
    REQUIRE(told.size() == 1);
    fixture.guard.heard(told.front());
    fixture.guard.heard({request, 77});
    CHECK_FALSE(fixture.guard.refusedUntil(request));
    fixture.guard.heard({request, 78});
    CHECK(fixture.guard.refusedUntil(request));
}

TEST_CASE("crashes: pattern query of death, the fourth send of a request that crashes its targets is not made")
{
    ForwardFixture fixture;
    fixture.limits.extraSendSlack = 100;
    for (int number = 0; number < 6; ++number) {
        fixture.addTarget("t" + std::to_string(number), {"s", "here", 1}).work = milliseconds(100);
    }
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    // Connections stand before the bad request comes, so that a reset is no refusal to take one.
    for (int round = 0; round < 12; ++round) {
        fixture.call("a");
    }
    fixture.run(milliseconds(500));
    for (const auto &[id, target] : fixture.targets) {
        target->each = [](unsigned) { return Behaviour::Crash; };
    }
    unsigned before = fixture.arrivals();
    const auto first = fixture.call("a");
    fixture.run(milliseconds(200));
    const auto second = fixture.call("a");
    fixture.run(milliseconds(200));
    CHECK(first->status == 502);
    CHECK(fixture.arrivals() - before == 3);
    before = fixture.arrivals();
    const auto third = fixture.call("a");
    fixture.run(milliseconds(200));
    CHECK(third->status == 503);
    CHECK_FALSE(third->header("Retry-After").empty());
    CHECK(fixture.arrivals() == before);
}
