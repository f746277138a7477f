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
    // Loses a connection to a target whose address refuses connections from then on.
    void loseTarget(const std::string &id, Fingerprint fingerprint = request)
    {
        loseConnection(id, fingerprint);
        guard.recordTargetGone(target(id));
        advance(milliseconds(50));
    }

    void loseConnection(const std::string &id, Fingerprint fingerprint = request)
    {
        guard.recordTargetLoss(fingerprint, target(id), time.now(), false);
    }

    void advance(Duration duration)
    {
        time.runUntil(time.now() + duration);
        guard.tick();
    }

    CrashGuardFixture()
    {
        time.runUntil(TimePoint(seconds(10)));
        guard.onReport([this](const CrashReport &report) { reports.push_back(report); });
    }

    ManualTime time;
    Journal journal{time, [](std::string_view) {}, 10};
    Counters counters;
    std::vector<CrashReport> reports;
    CrashGuard guard{time, time, journal, counters};
};

CrashReport peerLoss(std::uint64_t instance, Duration sent, Duration ended)
{
    return {{CrashReportKind::Loss, request, instance}, 3, CrashReportAges{sent, ended}};
}

} // namespace

TEST_CASE("crashes: three losses in a row refuse a request until its record expires, then one trial is allowed")
{
    CrashGuardFixture fixture;
    fixture.loseTarget("t1");
    fixture.loseTarget("t2");
    CHECK_FALSE(fixture.guard.refusedUntil(request));
    fixture.loseTarget("t3");
    CHECK(fixture.guard.refusedUntil(request));
    CHECK(fixture.guard.acquireSend(request).decision == SendDecision::Refused);
    CHECK_FALSE(fixture.guard.refusedUntil(Fingerprint{43}));
    fixture.advance(minutes(11));
    CHECK_FALSE(fixture.guard.refusedUntil(request));
    const SendPermit trial = fixture.guard.acquireSend(request);
    CHECK(trial.trial);
    CHECK(fixture.guard.acquireSend(request).decision == SendDecision::Deferred);
    fixture.advance(minutes(11));
    CHECK_FALSE(fixture.guard.acquireSend(request).trial);
}

TEST_CASE("crashes: targets lost by concurrent attempts of one request count once")
{
    CrashGuardFixture fixture;
    for (const std::string id : {"t1", "t2", "t3", "t4"}) {
        fixture.guard.recordTargetLoss(request, target(id), fixture.time.now() - milliseconds(5), false);
        fixture.guard.recordTargetGone(target(id));
    }
    CHECK_FALSE(fixture.guard.refusedUntil(request));
}

TEST_CASE("crashes: a target that ran the request to its end refutes the losses of its service, not of another")
{
    CrashGuardFixture fixture;
    TargetEntry other = target("o1");
    other.service = "other";
    fixture.loseTarget("t1");
    fixture.loseTarget("t2");
    SECTION("its service")
    {
        fixture.guard.recordSurvival(request, "");
        fixture.loseTarget("t3");
        CHECK_FALSE(fixture.guard.refusedUntil(request));
    }
    SECTION("another service")
    {
        fixture.guard.recordSurvival(request, "other");
        fixture.loseTarget("t3");
        CHECK(fixture.guard.refusedUntil(request));
    }
}

TEST_CASE("crashes: a response to an exchange that began after the loss of a target withdraws it")
{
    CrashGuardFixture fixture;
    fixture.loseTarget("t1");
    fixture.loseTarget("t2");
    SECTION("within a second")
    {
        fixture.loseConnection("t3");
        fixture.advance(milliseconds(50));
        fixture.guard.recordTargetAlive(target("t3"), fixture.time.now());
        fixture.advance(seconds(2));
        CHECK_FALSE(fixture.guard.refusedUntil(request));
        fixture.loseTarget("t4");
        CHECK(fixture.guard.refusedUntil(request));
    }
    SECTION("not one that was on its way when the target was lost")
    {
        const TimePoint before = fixture.time.now();
        fixture.advance(milliseconds(1));
        fixture.loseConnection("t3");
        fixture.guard.recordTargetAlive(target("t3"), before);
        fixture.advance(seconds(2));
        CHECK(fixture.guard.refusedUntil(request));
    }
    SECTION("not after more than a second, when it may have been restarted")
    {
        fixture.loseConnection("t3");
        fixture.advance(seconds(2));
        fixture.guard.recordTargetAlive(target("t3"), fixture.time.now());
        CHECK(fixture.guard.refusedUntil(request));
    }
}

TEST_CASE("crashes: a new connection that was reset counts only if the target is gone")
{
    CrashGuardFixture fixture;
    for (const std::string id : {"t1", "t2", "t3"}) {
        fixture.guard.recordTargetLoss(request, target(id), fixture.time.now(), true);
        fixture.advance(milliseconds(50));
    }
    CHECK(fixture.guard.acquireSend(request).decision == SendDecision::Allowed);
    SECTION("full targets")
    {
        fixture.advance(seconds(3));
        CHECK_FALSE(fixture.guard.refusedUntil(request));
        CHECK_FALSE(fixture.guard.acquireSend(request).trial);
    }
    SECTION("lost targets")
    {
        for (const std::string id : {"t1", "t2", "t3"}) {
            fixture.guard.recordTargetGone(target(id));
        }
        CHECK(fixture.guard.refusedUntil(request));
    }
}

TEST_CASE("crashes: losses observed by several hosts are added up, the same loss counts once")
{
    CrashGuardFixture fixture;
    fixture.loseTarget("t1");
    CHECK(fixture.reports.empty());
    fixture.advance(milliseconds(150));
    REQUIRE(fixture.reports.size() == 1);
    fixture.guard.mergeFromPeer(fixture.reports.front());
    fixture.advance(milliseconds(200));
    fixture.guard.mergeFromPeer(peerLoss(77, milliseconds(80), milliseconds(60)));
    CHECK_FALSE(fixture.guard.refusedUntil(request));
    fixture.advance(milliseconds(200));
    fixture.guard.mergeFromPeer(peerLoss(78, milliseconds(80), milliseconds(60)));
    CHECK(fixture.guard.refusedUntil(request));
}

TEST_CASE("crashes: pattern one query at many hosts, losses at the same time count once however many hosts saw them")
{
    CrashGuardFixture fixture;
    for (std::uint64_t instance = 1; instance <= 6; ++instance) {
        fixture.guard.mergeFromPeer(peerLoss(instance, milliseconds(100 + instance), milliseconds(60 - instance)));
    }
    CHECK_FALSE(fixture.guard.refusedUntil(request));
    CHECK(fixture.guard.acquireSend(request).trial);
    fixture.guard.mergeFromPeer({{CrashReportKind::Survival, request, 3}, 3, CrashReportAges{}});
    CHECK_FALSE(fixture.guard.acquireSend(request).trial);
}

TEST_CASE("crashes: losses beside which more other targets went are neither reported nor enough to refuse a request early")
{
    CrashGuardFixture fixture;
    unsigned others = 0;
    const auto loseInCompany = [&fixture, &others](const std::string &id) {
        for (int count = 0; count < 2; ++count) {
            fixture.guard.recordTargetGone(target("other" + std::to_string(++others)));
        }
        fixture.loseTarget(id);
        fixture.advance(seconds(1));
    };
    for (const std::string id : {"t1", "t2", "t3", "t4"}) {
        loseInCompany(id);
    }
    CHECK_FALSE(fixture.guard.refusedUntil(request));
    CHECK(fixture.reports.empty());
    SECTION("a trial that ends well refutes all of them")
    {
        fixture.guard.recordSurvival(request, "another service");
        CHECK_FALSE(fixture.guard.acquireSend(request).trial);
    }
    SECTION("a fifth is enough")
    {
        loseInCompany("t5");
        CHECK(fixture.guard.refusedUntil(request));
    }
}

// Guards against a full record that drops each further loss, so that the request goes on reaching targets.
TEST_CASE("crashes: pattern query of death over many shards, losses after many at once are counted")
{
    CrashGuardFixture fixture;
    const TimePoint sentAt = fixture.time.now() - milliseconds(5);
    constexpr int targetsAtOnce = 200;
    SECTION("seen by this host")
    {
        for (int index = 0; index < targetsAtOnce; ++index) {
            const TargetEntry lost = target("s" + std::to_string(index));
            fixture.guard.recordTargetLoss(request, lost, sentAt, false);
            fixture.guard.recordTargetGone(lost);
        }
    }
    SECTION("reported by other hosts")
    {
        for (std::uint64_t index = 0; index < targetsAtOnce; ++index) {
            fixture.guard.mergeFromPeer(peerLoss(1'000 + index, milliseconds(5), Duration::zero()));
        }
    }
    fixture.advance(seconds(2));
    CHECK_FALSE(fixture.guard.refusedUntil(request));
    fixture.loseTarget("t1");
    CHECK_FALSE(fixture.guard.refusedUntil(request));
    fixture.loseTarget("t2");
    CHECK(fixture.guard.refusedUntil(request));
}

TEST_CASE("crashes: targets lost beside an innocent request are its company, however many were lost before")
{
    CrashGuardFixture fixture;
    fixture.loseTarget("own");
    for (int index = 0; index < 100; ++index) {
        fixture.loseConnection("early" + std::to_string(index), Fingerprint{43});
        fixture.guard.recordTargetGone(target("early" + std::to_string(index)));
    }
    for (int loss = 0; loss < 3; ++loss) {
        fixture.advance(seconds(5));
        fixture.loseTarget("t" + std::to_string(loss));
        fixture.loseTarget("u" + std::to_string(loss), Fingerprint{44});
        fixture.loseTarget("v" + std::to_string(loss), Fingerprint{44});
        CHECK_FALSE(fixture.guard.refusedUntil(request));
    }
}

TEST_CASE("crashes: trials of a suspect request run one at a time, then two, until no loss is left")
{
    CrashGuardFixture fixture;
    for (const std::string id : {"a", "b", "c"}) {
        TargetEntry lost = target(id);
        lost.service = id;
        fixture.guard.recordTargetLoss(request, lost, fixture.time.now() - milliseconds(5), false);
    }
    SendPermit first = fixture.guard.acquireSend(request);
    REQUIRE(first.trial);
    CHECK(fixture.guard.acquireSend(request).decision == SendDecision::Deferred);
    unsigned resumed = 0;
    fixture.guard.waitForTrials(request, [&resumed] { ++resumed; });
    fixture.guard.recordSurvival(request, "a");
    first.trial.reset();
    fixture.advance(milliseconds(1));
    CHECK(resumed == 1);
    const SendPermit second = fixture.guard.acquireSend(request);
    const SendPermit third = fixture.guard.acquireSend(request);
    CHECK(second.trial);
    CHECK(third.trial);
    CHECK(fixture.guard.acquireSend(request).decision == SendDecision::Deferred);
    fixture.guard.recordSurvival(request, "b");
    fixture.guard.recordSurvival(request, "c");
    CHECK(fixture.guard.acquireSend(request).decision == SendDecision::Allowed);
}

TEST_CASE("crashes: pattern flood of losses, a refused request stays refused")
{
    CrashGuardFixture fixture;
    for (const std::string id : {"t1", "t2", "t3"}) {
        fixture.loseTarget(id);
    }
    fixture.advance(seconds(10));
    for (std::uint64_t number = 0; number < 5'000; ++number) {
        fixture.loseConnection("t4", Fingerprint{1'000 + number});
    }
    CHECK(fixture.guard.refusedUntil(request));
    CHECK(fixture.counters.value("magnoliaspan_crash_records_evicted_total") > 0);
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
