/*
 * Unit tests: the controllers' rules on a manual clock.
 */
#include "control/Budget.h"
#include "control/ColdShare.h"
#include "control/ConcurrencyLimit.h"
#include "control/ConfigurationController.h"
#include "control/KeyLedger.h"
#include "control/LatencyTracker.h"
#include "control/PauseDetector.h"
#include "control/QuarantineController.h"
#include "control/ShutdownMachine.h"
#include "control/TargetMachine.h"
#include "core/Endpoint.h"
#include "peer/PeerAuthenticator.h"
#include "scenario/ManualTime.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using namespace std::chrono_literals;

TEST_CASE("a target's states follow its table", "[target]")
{
    using E = TargetEvent;
    struct Path {
        std::vector<TargetEvent> events;
        TargetState end;
    };
    const std::vector<Path> paths = {
        {{}, TargetState::Unknown},
        {{E::AnsweredWarm}, TargetState::Warm},
        {{E::AnsweredCold}, TargetState::Cold},
        {{E::AnsweredWarm, E::ConnectionLost}, TargetState::Unknown},
        {{E::AnsweredWarm, E::BootChanged}, TargetState::Cold},
        {{E::AnsweredWarm, E::BootChanged, E::AnsweredWarm}, TargetState::Cold},
        {{E::AnsweredCold, E::ColdStartEnded}, TargetState::Warming},
        {{E::AnsweredCold, E::ColdStartEnded, E::FullShareReached}, TargetState::Warm},
        {{E::AnsweredCold, E::ColdStartEnded, E::AnsweredCold}, TargetState::Cold},
        {{E::ConnectFailed}, TargetState::Lost},
        {{E::ConnectFailed, E::AnsweredWarm}, TargetState::Lost},
        {{E::ConnectFailed, E::Connected}, TargetState::Unknown},
        {{E::AnsweredWarm, E::LeavingHeard}, TargetState::Leaving},
        {{E::LeavingHeard, E::Connected, E::AnsweredWarm, E::ConnectionLost}, TargetState::Leaving},
        {{E::LeavingHeard, E::Returned}, TargetState::Unknown},
    };
    for (const Path &path : paths) {
        TargetMachine machine;
        for (const TargetEvent event : path.events) {
            machine.process(event);
        }
        REQUIRE(toString(machine.state()) == toString(path.end));
    }
}

TEST_CASE("the stages of a shutdown follow their table", "[shutdown]")
{
    ShutdownMachine machine;
    REQUIRE(machine.stage() == ServingStage::Starting);
    REQUIRE(machine.process(ServingEvent::ConfigurationAccepted));
    REQUIRE_FALSE(machine.process(ServingEvent::ConfigurationAccepted));
    REQUIRE(machine.process(ServingEvent::StopAsked));
    REQUIRE(machine.stage() == ServingStage::Announcing);
    REQUIRE(machine.process(ServingEvent::AnnouncedLongEnough));
    REQUIRE(machine.stage() == ServingStage::Draining);
    REQUIRE(machine.process(ServingEvent::LastRequestEnded));
    REQUIRE(machine.stage() == ServingStage::Stopped);
    REQUIRE_FALSE(machine.process(ServingEvent::StopAsked));
}

TEST_CASE("the cold shares of all seats never exceed what the target bears", "[cold]")
{
    for (unsigned seats = 1; seats <= 7; ++seats) {
        for (unsigned bears = 0; bears <= 9; ++bears) {
            unsigned used = 0;
            for (int ms = 0; ms < 1'000 * static_cast<int>(seats); ms += 7) {
                unsigned total = 0;
                for (unsigned seat = 0; seat < seats; ++seat) {
                    // The seats' clocks differ by up to the bound.
                    const ColdShareInput input{seat, seats, bears, 12'345, 1s, 50ms};
                    const int offset = seat % 2 == 0 ? 0 : 50;
                    const WallTime now{std::chrono::milliseconds(1'700'000'000'000 + ms + offset)};
                    const ColdTurn turn = coldTurn(input, now);
                    total += turn.permits;
                    used = std::max(used, turn.permits);
                    if (turn.until) {
                        REQUIRE(*turn.until > now);
                    }
                }
                REQUIRE(total <= bears);
            }
            REQUIRE((used > 0) == (bears > 0));
        }
    }
}

TEST_CASE("a concurrency limit learns from sheds", "[limit]")
{
    const TimePoint start{1s};
    ConcurrencyLimit limit(4, 10);
    for (int i = 0; i < 200; ++i) {
        limit.succeeded(true);
    }
    REQUIRE(limit.current() == 10);
    limit.shed(start);
    limit.shed(start + 1ms);
    REQUIRE(limit.current() == 7);
    for (int i = 1; i < 20; ++i) {
        limit.shed(start + i * 1s);
    }
    REQUIRE(limit.current() == 1);
    limit.succeeded(false);
    REQUIRE(limit.current() == 1);
}

TEST_CASE("a budget bounds extra work to its share", "[budget]")
{
    Budget budget(0.05, 10);
    unsigned spent = 0;
    for (int i = 0; i < 10'000; ++i) {
        budget.earn();
        spent += budget.spend() ? 1 : 0;
    }
    REQUIRE(spent >= 500);
    REQUIRE(spent <= 511);
    Budget none(0, 10);
    none.earn();
    REQUIRE_FALSE(none.spend());
}

TEST_CASE("latency quantiles come from the last window", "[latency]")
{
    LatencyTracker tracker;
    REQUIRE(tracker.p95() == Duration::zero());
    for (int i = 0; i < 512; ++i) {
        tracker.add(Duration(1'000 + i % 100));
    }
    REQUIRE(tracker.median().count() == Approx(1'050).margin(15));
    REQUIRE(tracker.p95().count() == Approx(1'095).margin(15));
}

TEST_CASE("a pause is noticed by whoever asks first", "[pause]")
{
    const TimePoint start{1s};
    PauseDetector pause(start);
    REQUIRE(pause.fresh(start + 400ms));
    // Nobody has observed the gap yet.
    REQUIRE_FALSE(pause.fresh(start + 3s));
    REQUIRE(pause.observe(start + 3s));
    REQUIRE_FALSE(pause.fresh(start + 3s + 10ms));
    pause.confirm(start + 2s);
    REQUIRE_FALSE(pause.fresh(start + 3s + 20ms));
    pause.confirm(start + 3s);
    REQUIRE(pause.fresh(start + 3s + 20ms));
}

TEST_CASE("quarantine needs a loss under a single run", "[quarantine]")
{
    ManualTime time;
    Counters counters;
    Journal journal(time, {}, 100);
    QuarantineController quarantine(time, journal, counters);
    const Fingerprint request = fingerprintOf("catalog", "x");
    REQUIRE(quarantine.suspicion(request) == Suspicion::None);
    // A rack fails under one request: many losses at once.
    for (const char *target : {"t1", "t2", "t3"}) {
        quarantine.targetLost(request, target, "boot", false);
    }
    REQUIRE(quarantine.suspicion(request) == Suspicion::Suspect);
    REQUIRE(quarantine.takeSingleRun(request));
    REQUIRE_FALSE(quarantine.takeSingleRun(request));
    SECTION("an answer clears it")
    {
        quarantine.completed(request, true);
        REQUIRE(quarantine.suspicion(request) == Suspicion::None);
    }
    SECTION("evidence is withdrawn when only connections were lost")
    {
        quarantine.targetLost(request, "t4", "boot", true);
        quarantine.targetSurvived("t4", "older boot");
        REQUIRE(quarantine.suspicion(request) == Suspicion::Quarantined);
        quarantine.targetSurvived("t4", "boot");
        REQUIRE(quarantine.suspicion(request) == Suspicion::Suspect);
        quarantine.targetSurvived("t1", "boot");
        REQUIRE(quarantine.suspicion(request) == Suspicion::None);
    }
    SECTION("another loss confirms it, until it expires")
    {
        quarantine.targetLost(request, "t4", "boot", true);
        REQUIRE(quarantine.suspicion(request) == Suspicion::Quarantined);
        REQUIRE(quarantine.suspicion(fingerprintOf("catalog", "y")) == Suspicion::None);
        time.runUntil(time.now() + QuarantineController::lifetime);
        REQUIRE(quarantine.suspicion(request) == Suspicion::None);
    }
}

TEST_CASE("the ledger answers a key from memory, time or not at all", "[keys]")
{
    ManualTime time;
    const auto unixMs = [&time](int offset) { return time.wallNow().time_since_epoch().count() + offset; };
    const WallTime start = time.wallNow();
    KeyLedger ledger(time, [&time, start]() -> std::optional<HomeLease::KeyWindow> {
        return HomeLease::KeyWindow{start, time.wallNow() + 1h};
    });
    ledger.configure(100ms, 10min);
    time.runUntil(time.now() + 1s);
    std::vector<SubmitResult> results;
    const auto begin = [&](const std::string &key, std::uint64_t content) {
        return ledger.begin(*IdempotencyKey::parse(key), content, Verdict::MayHaveRun, [&results](const SubmitResult &result) {
            results.push_back(result);
        });
    };
    const std::string key = fmt::format("{}-a", unixMs(0));
    REQUIRE(begin(key, 1) == KeyLedger::Entry::Run);
    REQUIRE(begin(key, 1) == KeyLedger::Entry::Waiting);
    REQUIRE(begin(key, 2) == KeyLedger::Entry::Ended);
    REQUIRE(results.back().code == "key_reused");
    ledger.end(key, {Verdict::Ran, 200, "", "", "done"});
    REQUIRE(results.size() == 3);
    REQUIRE(begin(key, 1) == KeyLedger::Entry::Ended);
    REQUIRE(results.back().result == "done");

    const std::string again = fmt::format("{}-b", unixMs(0));
    REQUIRE(begin(again, 1) == KeyLedger::Entry::Run);
    ledger.end(again, {Verdict::NotRun, 503, "x", "", ""});
    REQUIRE(begin(again, 1) == KeyLedger::Entry::Run);

    begin(fmt::format("{}-c", unixMs(-950)), 1);
    REQUIRE(results.back().code == "key_older_than_host");
    REQUIRE(results.back().verdict == Verdict::MayHaveRun);
    begin(fmt::format("{}-d", unixMs(150)), 1);
    REQUIRE(results.back().verdict == Verdict::MayHaveRun);
    begin(fmt::format("{}-e", unixMs(250)), 1);
    REQUIRE(results.back().verdict == Verdict::NotRun);
    time.runUntil(time.now() + 11min);
    begin(key, 1);
    REQUIRE(results.back().verdict == Verdict::MayHaveRun);
    for (const char *bad : {"", "-", "12", "12-", "-x", "1x-y", "12-a b", "999999999999999999999-x"}) {
        REQUIRE_FALSE(IdempotencyKey::parse(bad));
    }
}

TEST_CASE("documents are accepted in the order of generations", "[config]")
{
    ManualTime time;
    Counters counters;
    Journal journal(time, {}, 100);
    ConfigurationController configuration(time, journal, counters, "trial");
    const auto document = [](int generation, const std::string &environment, const std::string &comment) {
        return fmt::format(
            "environment: {}\ngeneration: {}\nzones: [{{name: z, region: r}}]\nseats: [{{name: s, zone: z, peer: \"127.0.0.1:1\"}}]\n"
            "systems: [{{name: c, policy: coverage, soft_deadline: 1ms, hard_deadline: 1ms, slots: 1, connections: 1, "
            "shard_map_generation: 1, "
            "shards: [{{shard: 0, targets: [t]}}]}}]\ntargets: [{{name: t, system: c, zone: z, address: \"127.0.0.1:2\"}}]\n# {}\n",
            environment,
            generation,
            comment);
    };
    REQUIRE(configuration.offer("nonsense: [", "platform") == OfferResult::Invalid);
    REQUIRE(configuration.generation() == 0);
    REQUIRE(configuration.offer(document(5, "trial", ""), "platform") == OfferResult::Accepted);
    REQUIRE(configuration.offer(document(5, "trial", ""), "peer") == OfferResult::Same);
    REQUIRE(configuration.offer(document(5, "trial", "other"), "peer") == OfferResult::Conflict);
    REQUIRE(configuration.offer(document(4, "trial", ""), "platform") == OfferResult::Older);
    REQUIRE(configuration.offer(document(9, "production", ""), "platform") == OfferResult::Invalid);
    REQUIRE(configuration.generation() == 5);
    REQUIRE(configuration.offer(document(6, "trial", ""), "peer") == OfferResult::Accepted);
    REQUIRE(configuration.source() == "peer");
}

TEST_CASE("two processes of one seat never take the same key", "[keys]")
{
    const WallTime zero{1'800'000'000s};
    HomeLease older;
    older.setSeatCount(3, zero);
    REQUIRE_FALSE(older.keyWindow(zero));
    older.recordConfirmation("n2", zero + 90ms, zero + 100ms);
    REQUIRE(older.keyWindow(zero + 100ms)->upTo == zero + 90ms + HomeLease::leaseDuration);
    // A successor starts; one peer still confirms the older process before it hears of the successor.
    older.recordConfirmation("n2", zero + 10s, zero + 10s + 300ms);
    HomeLease newer;
    newer.setSeatCount(3, zero + 10s);
    newer.recordConfirmation("n2", zero + 10s + 310ms, zero + 10s + 320ms);
    REQUIRE(newer.keyWindow(zero + 20s)->after >= older.keyWindow(zero + 20s)->upTo);
    older.markSuperseded();
    REQUIRE_FALSE(older.keyWindow(zero + 20s));
    HomeLease alone;
    alone.setSeatCount(1, zero);
    REQUIRE(alone.keyWindow(zero + 9s)->upTo == zero + 9s + HomeLease::leaseDuration);
}

TEST_CASE("peers prove themselves once a request", "[peer]")
{
    ManualTime time;
    PeerAuthenticator sender(time, "0123456789abcdef", 1);
    PeerAuthenticator receiver(time, "0123456789abcdef", 2);
    PeerAuthenticator stranger(time, "0123456789abcdeX", 3);
    const std::string authorization = sender.sign("/peer/rpc", "body");
    REQUIRE_FALSE(receiver.verify("", "/peer/rpc", "body"));
    REQUIRE_FALSE(receiver.verify(authorization, "/peer/rpc", "other body"));
    REQUIRE_FALSE(receiver.verify(authorization, "/peer/submit", "body"));
    REQUIRE_FALSE(receiver.verify(stranger.sign("/peer/rpc", "body"), "/peer/rpc", "body"));
    REQUIRE(receiver.verify(authorization, "/peer/rpc", "body"));
    REQUIRE_FALSE(receiver.verify(authorization, "/peer/rpc", "body"));
    const std::string late = sender.sign("/peer/rpc", "body");
    time.runUntil(time.now() + PeerAuthenticator::window + 1ms);
    REQUIRE_FALSE(receiver.verify(late, "/peer/rpc", "body"));
}

TEST_CASE("endpoints are IP addresses with ports", "[core]")
{
    REQUIRE(Endpoint::parse("127.0.0.1:80")->toString() == "127.0.0.1:80");
    for (const char *bad :
         {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x", "host:80", "1.2.3:80", "127.0.0.1:-1"}) {
        REQUIRE_FALSE(Endpoint::parse(bad));
    }
}
