/*
 * Unit tests of the controllers, with a manual clock.
 */
#include "control/ColdShare.h"
#include "control/ConcurrencyLimit.h"
#include "control/ConfigurationController.h"
#include "control/IdempotencyKeyStore.h"
#include "control/LatencyTracker.h"
#include "control/PauseDetector.h"
#include "control/QuarantineController.h"
#include "control/ServingStateMachine.h"
#include "control/TargetStateMachine.h"
#include "control/TokenBucket.h"
#include "core/Endpoint.h"
#include "peer/PeerAuthenticator.h"
#include "scenario/ManualTime.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using namespace std::chrono_literals;

TEST_CASE("target state machine: events lead to the states of the transition table", "[target]")
{
    using E = TargetEvent;
    struct Path {
        std::vector<TargetEvent> events;
        TargetState end;
    };
    const std::vector<Path> paths = {
        {{}, TargetState::Unknown},
        {{E::ReportedWarm}, TargetState::Warm},
        {{E::ReportedCold}, TargetState::Cold},
        {{E::ReportedWarm, E::ConnectionLost}, TargetState::Unknown},
        {{E::ReportedWarm, E::BootIdChanged}, TargetState::Cold},
        {{E::ReportedWarm, E::BootIdChanged, E::ReportedWarm}, TargetState::Cold},
        {{E::ReportedCold, E::ColdStartEnded}, TargetState::Warming},
        {{E::ReportedCold, E::ColdStartEnded, E::FullShareReached}, TargetState::Warm},
        {{E::ReportedCold, E::ColdStartEnded, E::ReportedCold}, TargetState::Cold},
        {{E::ConnectFailed}, TargetState::Lost},
        {{E::ConnectFailed, E::ReportedWarm}, TargetState::Lost},
        {{E::ConnectFailed, E::Connected}, TargetState::Unknown},
        {{E::ReportedWarm, E::ReportedLeaving}, TargetState::Leaving},
        {{E::ReportedLeaving, E::Connected, E::ReportedWarm, E::ConnectionLost}, TargetState::Leaving},
        {{E::ReportedLeaving, E::Returned}, TargetState::Unknown},
    };
    for (const Path &path : paths) {
        TargetStateMachine machine;
        for (const TargetEvent event : path.events) {
            machine.process(event);
        }
        REQUIRE(toString(machine.state()) == toString(path.end));
    }
}

TEST_CASE("serving state machine: a graceful shutdown passes through all stages", "[shutdown]")
{
    ServingStateMachine machine;
    REQUIRE(machine.stage() == ServingStage::Starting);
    REQUIRE(machine.process(ServingEvent::ConfigurationAccepted));
    REQUIRE_FALSE(machine.process(ServingEvent::ConfigurationAccepted));
    REQUIRE(machine.process(ServingEvent::StopRequested));
    REQUIRE(machine.stage() == ServingStage::Announcing);
    REQUIRE(machine.process(ServingEvent::AnnouncementElapsed));
    REQUIRE(machine.stage() == ServingStage::Draining);
    REQUIRE(machine.process(ServingEvent::LastRequestCompleted));
    REQUIRE(machine.stage() == ServingStage::Stopped);
    REQUIRE_FALSE(machine.process(ServingEvent::StopRequested));
}

TEST_CASE("cold share: the permits of all seats never exceed the cold concurrency", "[cold]")
{
    for (unsigned seats = 1; seats <= 7; ++seats) {
        for (unsigned coldConcurrency = 0; coldConcurrency <= 9; ++coldConcurrency) {
            unsigned maxPermits = 0;
            for (int ms = 0; ms < 1'000 * static_cast<int>(seats); ms += 7) {
                unsigned total = 0;
                for (unsigned seat = 0; seat < seats; ++seat) {
                    // The seats' clocks differ by up to the bound.
                    const ColdShareInput input{seat, seats, coldConcurrency, 12'345, 1s, 50ms};
                    const int offset = seat % 2 == 0 ? 0 : 50;
                    const WallTime now{std::chrono::milliseconds(1'700'000'000'000 + ms + offset)};
                    const ColdTimeSlot timeSlot = coldTimeSlot(input, now);
                    total += timeSlot.permits;
                    maxPermits = std::max(maxPermits, timeSlot.permits);
                    if (timeSlot.until) {
                        REQUIRE(*timeSlot.until > now);
                    }
                }
                REQUIRE(total <= coldConcurrency);
            }
            REQUIRE((maxPermits > 0) == (coldConcurrency > 0));
        }
    }
}

TEST_CASE("concurrency limit: successes raise it and shed requests lower it", "[limit]")
{
    const TimePoint start{1s};
    ConcurrencyLimit limit(4, 10);
    for (int i = 0; i < 200; ++i) {
        limit.recordSuccess(true);
    }
    REQUIRE(limit.current() == 10);
    limit.recordShed(start);
    limit.recordShed(start + 1ms);
    REQUIRE(limit.current() == 7);
    for (int i = 1; i < 20; ++i) {
        limit.recordShed(start + i * 1s);
    }
    REQUIRE(limit.current() == 1);
    limit.recordSuccess(false);
    REQUIRE(limit.current() == 1);
}

TEST_CASE("token bucket: extra requests are limited to the ratio", "[budget]")
{
    TokenBucket bucket(0.05, 10);
    unsigned spent = 0;
    for (int i = 0; i < 10'000; ++i) {
        bucket.recordRequest();
        spent += bucket.tryAcquire() ? 1 : 0;
    }
    REQUIRE(spent >= 500);
    REQUIRE(spent <= 511);
    TokenBucket empty(0, 10);
    empty.recordRequest();
    REQUIRE_FALSE(empty.tryAcquire());
}

TEST_CASE("latency tracker: quantiles cover the last complete window", "[latency]")
{
    LatencyTracker tracker;
    REQUIRE(tracker.p95() == Duration::zero());
    for (int i = 0; i < 512; ++i) {
        tracker.add(Duration(1'000 + i % 100));
    }
    REQUIRE(tracker.median().count() == Approx(1'050).margin(15));
    REQUIRE(tracker.p95().count() == Approx(1'095).margin(15));
}

TEST_CASE("pause detector: state is stale after a pause until a read requested after it", "[pause]")
{
    const TimePoint start{1s};
    PauseDetector pause(start);
    REQUIRE(pause.isStateFresh(start + 400ms));
    // observe() has not been called since the gap.
    REQUIRE_FALSE(pause.isStateFresh(start + 3s));
    REQUIRE(pause.observe(start + 3s));
    REQUIRE_FALSE(pause.isStateFresh(start + 3s + 10ms));
    pause.recordRead(start + 2s);
    REQUIRE_FALSE(pause.isStateFresh(start + 3s + 20ms));
    pause.recordRead(start + 3s);
    REQUIRE(pause.isStateFresh(start + 3s + 20ms));
}

TEST_CASE("quarantine: only a loss during a single run quarantines a request", "[quarantine]")
{
    ManualTime time;
    Counters counters;
    Journal journal(time, {}, 100);
    QuarantineController quarantine(time, journal, counters);
    const Fingerprint request = fingerprintOf("catalog", "x");
    REQUIRE(quarantine.suspicion(request) == Suspicion::None);
    // The failure of a rack: several targets are lost at once while they run the same request.
    for (const char *target : {"t1", "t2", "t3"}) {
        quarantine.recordTargetLoss(request, target, "boot", false);
    }
    REQUIRE(quarantine.suspicion(request) == Suspicion::Suspect);
    REQUIRE(quarantine.tryAcquireSingleRun(request));
    REQUIRE_FALSE(quarantine.tryAcquireSingleRun(request));
    SECTION("a response clears a suspect")
    {
        quarantine.recordCompletion(request, true);
        REQUIRE(quarantine.suspicion(request) == Suspicion::None);
    }
    SECTION("losses are withdrawn when only connections were lost")
    {
        quarantine.recordTargetLoss(request, "t4", "boot", true);
        quarantine.withdrawTargetLoss("t4", "older boot");
        REQUIRE(quarantine.suspicion(request) == Suspicion::Quarantined);
        quarantine.withdrawTargetLoss("t4", "boot");
        REQUIRE(quarantine.suspicion(request) == Suspicion::Suspect);
        quarantine.withdrawTargetLoss("t1", "boot");
        REQUIRE(quarantine.suspicion(request) == Suspicion::None);
    }
    SECTION("a loss during the single run quarantines it until it expires")
    {
        quarantine.recordTargetLoss(request, "t4", "boot", true);
        REQUIRE(quarantine.suspicion(request) == Suspicion::Quarantined);
        REQUIRE(quarantine.suspicion(fingerprintOf("catalog", "y")) == Suspicion::None);
        time.runUntil(time.now() + QuarantineController::lifetime);
        REQUIRE(quarantine.suspicion(request) == Suspicion::None);
    }
}

TEST_CASE("idempotency key store: a key runs once and is refused outside its issue time window", "[keys]")
{
    ManualTime time;
    const auto unixMs = [&time](int offset) { return time.wallNow().time_since_epoch().count() + offset; };
    const WallTime start = time.wallNow();
    IdempotencyKeyStore store(time, [&time, start]() -> std::optional<HomeLease::KeyWindow> {
        return HomeLease::KeyWindow{start, time.wallNow() + 1h};
    });
    store.configure(100ms, 10min);
    time.runUntil(time.now() + 1s);
    std::vector<SubmitResult> results;
    const auto admit = [&](const std::string &key, std::uint64_t content) {
        return store.admit(*IdempotencyKey::parse(key), content, Verdict::MayHaveRun, [&results](const SubmitResult &result) {
            results.push_back(result);
        });
    };
    const std::string key = fmt::format("{}-a", unixMs(0));
    REQUIRE(admit(key, 1) == IdempotencyKeyStore::Admission::Run);
    REQUIRE(admit(key, 1) == IdempotencyKeyStore::Admission::Waiting);
    REQUIRE(admit(key, 2) == IdempotencyKeyStore::Admission::Ended);
    REQUIRE(results.back().code == "key_reused");
    store.complete(key, {Verdict::Ran, 200, "", "", "done"});
    REQUIRE(results.size() == 3);
    REQUIRE(admit(key, 1) == IdempotencyKeyStore::Admission::Ended);
    REQUIRE(results.back().result == "done");

    const std::string retriedKey = fmt::format("{}-b", unixMs(0));
    REQUIRE(admit(retriedKey, 1) == IdempotencyKeyStore::Admission::Run);
    store.complete(retriedKey, {Verdict::NotRun, 503, "x", "", ""});
    REQUIRE(admit(retriedKey, 1) == IdempotencyKeyStore::Admission::Run);

    admit(fmt::format("{}-c", unixMs(-950)), 1);
    REQUIRE(results.back().code == "key_older_than_host");
    REQUIRE(results.back().verdict == Verdict::MayHaveRun);
    admit(fmt::format("{}-d", unixMs(150)), 1);
    REQUIRE(results.back().verdict == Verdict::MayHaveRun);
    admit(fmt::format("{}-e", unixMs(250)), 1);
    REQUIRE(results.back().verdict == Verdict::NotRun);
    time.runUntil(time.now() + 11min);
    admit(key, 1);
    REQUIRE(results.back().verdict == Verdict::MayHaveRun);
    for (const char *bad : {"", "-", "12", "12-", "-x", "1x-y", "12-a b", "999999999999999999999-x"}) {
        REQUIRE_FALSE(IdempotencyKey::parse(bad));
    }
}

TEST_CASE("configuration: documents are accepted in the order of their generations", "[config]")
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

TEST_CASE("home lease: two processes of one seat never accept the same key", "[keys]")
{
    const WallTime zero{1'800'000'000s};
    HomeLease older;
    older.setSeatCount(3, zero);
    REQUIRE_FALSE(older.keyWindow(zero));
    older.recordConfirmation("n2", zero + 90ms, zero + 100ms);
    REQUIRE(older.keyWindow(zero + 100ms)->upTo == zero + 90ms + HomeLease::leaseDuration);
    // A successor starts; one peer confirms the older process before it knows of the successor.
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

TEST_CASE("peer authenticator: an authorization is accepted once, for its request and within its window", "[peer]")
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

TEST_CASE("endpoint: only IP addresses with a port are parsed", "[core]")
{
    REQUIRE(Endpoint::parse("127.0.0.1:80")->toString() == "127.0.0.1:80");
    for (const char *bad :
         {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x", "host:80", "1.2.3:80", "127.0.0.1:-1"}) {
        REQUIRE_FALSE(Endpoint::parse(bad));
    }
}
