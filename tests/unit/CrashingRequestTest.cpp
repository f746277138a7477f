/*
 * Unit tests: requests that crash the targets that run them, and innocent requests under which targets are lost.
 */
#include "ForwardFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <span>
#include <utility>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned shardCount = 10;
constexpr unsigned replicaCount = 3;
// Crashes that operators accept before a request is refused.
constexpr std::size_t acceptedCrashes = 3;

// Shards of three replicas in one zone; requests of route "bad" crash the targets of the first shards, those of "good" none.
class CrashFixture : public ForwardFixture
{
public:
    CrashFixture(unsigned crashingShards, double minimumCoverage)
    {
        limits.extraSendSlack = 100;
        for (unsigned shard = 0; shard < shardCount; ++shard) {
            shards_.push_back(fmt::format("s{}", shard));
            for (unsigned replica = 0; replica < replicaCount; ++replica) {
                FakeTarget &target = addTarget(fmt::format("{}-{}", shards_.back(), replica), {shards_.back(), "here"});
                target.crashingPath = shard < crashingShards ? "/bad/x" : "";
                target.crashDelay = milliseconds(5 + shard);
            }
        }
        publish({gather("bad", minimumCoverage), gather("good", minimumCoverage)});
    }

    Route gather(const std::string &name, double minimumCoverage) const
    {
        return route(name, ShardedDestination{shards_, 2, minimumCoverage});
    }

    // Returns the requests that targets of shards with at least one crash received at or after an instant.
    unsigned arrivalsSince(TimePoint instant) const
    {
        unsigned count = 0;
        for (const auto &[id, target] : targets) {
            count += target->crashingPath.empty()
                         ? 0U
                         : static_cast<unsigned>(std::count_if(
                             target->arrivedAt.begin(), target->arrivedAt.end(), [instant](TimePoint at) { return at >= instant; }));
        }
        return count;
    }

    void restartCrashed()
    {
        if (restarted_ < crashed.size()) {
            restart(std::span(crashed).subspan(restarted_));
            restarted_ = crashed.size();
        }
    }

private:
    std::vector<std::string> shards_;
    std::size_t restarted_ = 0; // Number of the crashed targets that were restarted.
};

} // namespace

TEST_CASE("crashes: pattern query of death over shards, each shard loses one target and all shards together two more")
{
    const unsigned crashingShards = GENERATE(1U, 2U, 4U, 10U);
    const double minimumCoverage = GENERATE(0.5, 0.75, 0.89);
    CAPTURE(crashingShards, minimumCoverage);
    CrashFixture fixture(crashingShards, minimumCoverage);
    std::optional<TimePoint> thirdCrash;
    std::shared_ptr<CallerResponse> response;
    for (int round = 0; round < 15; ++round) {
        response = fixture.call("bad");
        fixture.run(milliseconds(2'500));
        if (!thirdCrash && fixture.crashed.size() >= acceptedCrashes) {
            thirdCrash = fixture.time.now();
        }
        fixture.restartCrashed();
    }
    // The first try runs on all shards at once; after it one target at a time is risked.
    CHECK(fixture.crashed.size() <= crashingShards + acceptedCrashes - 1);
    REQUIRE(thirdCrash);
    CHECK(fixture.arrivalsSince(*thirdCrash + seconds(5)) == 0);
    CHECK(response->status == 503);
    CHECK_FALSE(response->header("Retry-After").empty());
    CHECK(response->took == Duration::zero());
    const auto innocent = fixture.call("good");
    fixture.run(milliseconds(500));
    CHECK(innocent->status == 200);
    CHECK(innocent->header("missing") == "0");
}

TEST_CASE("crashes: pattern query of death on new connections, a reset within the connect time counts if the target is gone")
{
    ForwardFixture fixture;
    fixture.limits.extraSendSlack = 100;
    for (unsigned number = 0; number < 12; ++number) {
        fixture.addTarget(fmt::format("t{}", number), {"s", "here"}).crashingPath = "/bad/x";
    }
    fixture.publish({ForwardFixture::route("bad", ServiceDestination{"s"})});
    std::shared_ptr<CallerResponse> response;
    for (int round = 0; round < 6; ++round) {
        response = fixture.call("bad");
        fixture.run(milliseconds(500));
    }
    CHECK(fixture.crashed.size() <= acceptedCrashes);
    CHECK(response->status == 503);
}

TEST_CASE("crashes: pattern loss of a whole service, requests that were running are served again when it is back")
{
    const Duration spread = GENERATE(Duration(0), milliseconds(300));
    CrashFixture fixture(0, 0.89);
    std::vector<Route> routes;
    constexpr unsigned routeCount = 30;
    for (unsigned number = 0; number < routeCount; ++number) {
        routes.push_back(fixture.gather(fmt::format("q{}", number), 0.89));
    }
    fixture.publish(routes, 2);
    for (int disaster = 0; disaster < 4; ++disaster) {
        std::vector<std::string> lost;
        for (const auto &[id, target] : fixture.targets) {
            if (std::find(fixture.crashed.begin(), fixture.crashed.end(), id) == fixture.crashed.end()) {
                target->work = milliseconds(40);
                lost.push_back(id);
            }
        }
        // All targets end within the spread, while requests run, and so do the retries of the callers.
        for (std::size_t index = 0; index < lost.size(); ++index) {
            const Duration delay = milliseconds(20) + spread * static_cast<Duration::rep>(index) / static_cast<Duration::rep>(lost.size());
            fixture.time.callAt(fixture.time.now() + delay, fixture.targets.at(lost[index])->crash);
        }
        for (int attempt = 0; attempt < 4; ++attempt) {
            for (unsigned number = 0; number < routeCount; ++number) {
                fixture.call(fmt::format("q{}", number));
            }
            fixture.run(milliseconds(100));
        }
        fixture.run(milliseconds(2'000));
        fixture.restartCrashed();
        fixture.run(seconds(3));
    }
    unsigned served = 0;
    for (unsigned number = 0; number < routeCount; ++number) {
        const auto response = fixture.call(fmt::format("q{}", number));
        fixture.run(milliseconds(400));
        served += response->status == 200 ? 1 : 0;
    }
    CHECK(served == routeCount);
}

TEST_CASE("crashes: pattern resets of connections, requests are served though their connections broke many times")
{
    ForwardFixture fixture;
    fixture.limits.extraSendSlack = 100;
    for (unsigned number = 0; number < 6; ++number) {
        fixture.addTarget(fmt::format("t{}", number), {"s", "here"}).work = milliseconds(30);
    }
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    for (int round = 0; round < 10; ++round) {
        fixture.network.link("host", "*").losesReplies = true;
        fixture.call("a");
        fixture.run(milliseconds(200));
        fixture.network.link("host", "*").losesReplies = false;
        fixture.run(milliseconds(300));
    }
    const auto response = fixture.call("a");
    fixture.run(milliseconds(200));
    CHECK(response->status == 200);
}

TEST_CASE("crashes: pattern targets of several shards lost together, the retries of all shards follow within the latency goal")
{
    CrashFixture fixture(0, 0.89);
    std::map<char, bool> lostOne; // By the digit of the shard.
    for (const auto &[id, target] : fixture.targets) {
        target->work = milliseconds(5);
        target->behaviourFor = [&lostOne, shard = id.at(1)](unsigned) {
            const bool first = shard < '4' && !std::exchange(lostOne[shard], true);
            return first ? Behaviour::Crash : Behaviour::Answer;
        };
    }
    const auto response = fixture.call("good");
    fixture.run(milliseconds(500));
    CHECK(response->status == 200);
    CHECK(response->header("missing") == "0");
    CHECK(response->took < milliseconds(100));
}

TEST_CASE("crashes: pattern a trial that hangs, other shards do not wait for it")
{
    CrashFixture fixture(0, 0.89);
    std::map<char, unsigned> arrivals; // By the digit of the shard.
    for (const auto &[id, target] : fixture.targets) {
        target->work = milliseconds(5);
        target->behaviourFor = [&arrivals, shard = id.at(1)](unsigned) {
            const unsigned number = ++arrivals[shard];
            if (shard < '3' && number == 1) {
                return Behaviour::Crash;
            }
            return shard == '0' ? Behaviour::Silent : Behaviour::Answer;
        };
    }
    const auto response = fixture.call("good");
    fixture.run(milliseconds(500));
    CHECK(response->status == 200);
    CHECK(response->header("missing") == "1");
    CHECK(response->took <= milliseconds(100));
}
