/*
 * Unit tests: detection of requests that crash each target that runs them.
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

struct CrashGuardFixture {
    void loseTarget(const std::string &id)
    {
        guard.recordTargetLoss(request, target(id), time.now());
        time.runUntil(time.now() + milliseconds(50));
    }

    void advance(Duration duration)
    {
        time.runUntil(time.now() + duration);
        guard.tick();
    }

    CrashGuardFixture()
    {
        time.runUntil(TimePoint(seconds(10)));
    }

    ManualTime time;
    Journal journal{time, [](std::string_view) {}, 10};
    Counters counters;
    CrashGuard guard{time, journal, counters};
};

} // namespace

TEST_CASE("crashes: three losses in a row refuse a request until its record expires")
{
    CrashGuardFixture fixture;
    fixture.loseTarget("t1");
    fixture.loseTarget("t2");
    CHECK_FALSE(fixture.guard.refusedUntil(request));
    fixture.loseTarget("t3");
    CHECK(fixture.guard.refusedUntil(request));
    CHECK_FALSE(fixture.guard.refusedUntil(Fingerprint{43}));
    fixture.advance(minutes(11));
    CHECK_FALSE(fixture.guard.refusedUntil(request));
}

TEST_CASE("crashes: targets lost by concurrent attempts of one request count once")
{
    CrashGuardFixture fixture;
    for (const std::string id : {"t1", "t2", "t3", "t4"}) {
        fixture.guard.recordTargetLoss(request, target(id), fixture.time.now() - milliseconds(5));
    }
    CHECK_FALSE(fixture.guard.refusedUntil(request));
}

TEST_CASE("crashes: a completed run clears the request")
{
    CrashGuardFixture fixture;
    fixture.loseTarget("t1");
    fixture.loseTarget("t2");
    fixture.guard.recordCompletion(request);
    fixture.loseTarget("t3");
    CHECK_FALSE(fixture.guard.refusedUntil(request));
}

TEST_CASE("crashes: a response within a second withdraws the loss of a target")
{
    CrashGuardFixture fixture;
    fixture.loseTarget("t1");
    fixture.loseTarget("t2");
    fixture.guard.recordResponse(target("t2"));
    fixture.loseTarget("t3");
    CHECK_FALSE(fixture.guard.refusedUntil(request));
    fixture.advance(seconds(2));
    fixture.guard.recordResponse(target("t3"));
    fixture.loseTarget("t4");
    CHECK(fixture.guard.refusedUntil(request));
}

TEST_CASE("crashes: losses observed by several hosts are added up, the same loss counts once")
{
    CrashGuardFixture fixture;
    std::vector<CrashReport> reports;
    fixture.guard.onConfirmedLoss([&reports](const CrashReport &report) { reports.push_back(report); });
    fixture.loseTarget("t1");
    CHECK(reports.empty());
    fixture.advance(milliseconds(1'100));
    REQUIRE(reports.size() == 1);
    fixture.guard.mergeFromPeer(reports.front());
    fixture.guard.mergeFromPeer({request, 77});
    CHECK_FALSE(fixture.guard.refusedUntil(request));
    fixture.guard.mergeFromPeer({request, 78});
    CHECK(fixture.guard.refusedUntil(request));
}

TEST_CASE("crashes: pattern query of death, a request that crashed three targets is not sent to a fourth")
{
    ForwardFixture fixture;
    fixture.limits.extraSendSlack = 100;
    for (int number = 0; number < 6; ++number) {
        fixture.addTarget("t" + std::to_string(number), {"s", "here", 1}).work = milliseconds(100);
    }
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    // Connections are open before the bad request arrives, so that a reset does not count as a rejected new connection.
    for (int round = 0; round < 12; ++round) {
        fixture.call("a");
    }
    fixture.run(milliseconds(500));
    for (const auto &[id, target] : fixture.targets) {
        target->behaviourFor = [](unsigned) { return Behaviour::Crash; };
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
