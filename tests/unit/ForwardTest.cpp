/*
 * Unit tests: requests, failures and load on a forwarding host. A test case for a load pattern names the pattern.
 */
#include "ForwardFixture.h"
#include "forward/CallerTimeouts.h"
#include "forward/GreatestRecords.h"

#include <catch2/catch.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

unsigned totalRuns(const ForwardFixture &fixture, const std::string &request)
{
    unsigned runs = 0;
    for (const auto &[id, target] : fixture.targets) {
        const auto found = target->runs.find(request);
        runs += found == target->runs.end() ? 0 : found->second;
    }
    return runs;
}

bool logged(const ForwardFixture &fixture, std::string_view text)
{
    return std::any_of(
        fixture.log.begin(), fixture.log.end(), [text](const std::string &line) { return line.find(text) != std::string::npos; });
}

} // namespace

TEST_CASE("forward: a request is sent to one target and its response is returned")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    const auto response = fixture.call("a");
    fixture.run(milliseconds(100));
    CHECK(response->status == 200);
    CHECK(response->header("signature") == "t1");
    CHECK(fixture.arrivals() == 1);
    REQUIRE(fixture.targets["t1"]->timeLeft.size() == 1);
    CHECK(fixture.targets["t1"]->timeLeft.front() <= seconds(2));
    CHECK(logged(fixture, "request ended"));
    CHECK(logged(fixture, "request=r1"));
}

TEST_CASE("forward: a path without a route is answered 404 once a table is known")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    CHECK(fixture.call("b")->status == 404);
}

TEST_CASE("forward: a host without a routing table refuses with 503 after a short wait, never with 404")
{
    ForwardFixture fixture;
    fixture.start();
    const auto response = fixture.call("a");
    fixture.run(milliseconds(99));
    CHECK(response->status == 0);
    fixture.run(milliseconds(2));
    CHECK(response->status == 503);
    CHECK_FALSE(response->header("Retry-After").empty());
}

TEST_CASE("forward: pattern herd restart, requests that arrive before the first read are served after it")
{
    ForwardFixture fixture;
    FakeTarget &target = fixture.addTarget("t1", {"s", "here"});
    fixture.start();
    const auto served = fixture.call("a");
    const auto left = fixture.call("a");
    fixture.run(milliseconds(30));
    fixture.disconnect(left);
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    CHECK(served->status == 200);
    CHECK(served->took < milliseconds(60));
    CHECK(left->status == 0);
    CHECK(target.arrivals == 1);
}

TEST_CASE("forward: the route with the longest prefix is selected")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"});
    fixture.addTarget("t2", {"u", "here"});
    Route inner = ForwardFixture::route("b", ServiceDestination{"u"});
    inner.prefix = "/a/x/";
    const Route outer = ForwardFixture::route("a", ServiceDestination{"s"});
    const RoutingTable table(1, {outer, inner}, {}, {});
    CHECK(table.find("H:80", "/a/x/y")->name == "b");
    CHECK(table.find("h", "/a/y")->name == "a");
    CHECK(table.find("h", "/c/") == nullptr);
    CHECK(table.find("g", "/a/") == nullptr);
}

TEST_CASE("forward: a weighted split keeps its shares")
{
    WeightedRoundRobin choice;
    const std::vector<WeightedService> parts = {{"x", 7}, {"y", 2}, {"z", 1}};
    std::map<std::string, int> counts;
    for (int request = 0; request < 1'000; ++request) {
        ++counts[choice.next("r", parts, 0.5)];
    }
    CHECK(std::abs(counts["x"] - 700) <= 1);
    CHECK(std::abs(counts["y"] - 200) <= 1);
    CHECK(std::abs(counts["z"] - 100) <= 1);
}

// Guards against a request that ends the host, and with it all other requests in flight, since it cannot be encoded.
TEST_CASE("forward: a request whose handling throws is answered as failed, and others are served")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    const auto first = fixture.call("a");
    fixture.run(milliseconds(300));
    CHECK(first->status == 200);
    fixture.codec.throwing = true;
    const auto failed = fixture.call("a");
    fixture.codec.throwing = false;
    const auto next = fixture.call("a");
    fixture.run(milliseconds(300));
    CHECK(failed->status == 500);
    CHECK(next->status == 200);
    CHECK(fixture.host->metrics().find("magnoliaspan_requests_in_flight 0\n") != std::string::npos);
    CHECK(fixture.host->metrics().find("magnoliaspan_request_exceptions_total 1\n") != std::string::npos);
}

// Guards against credits of earlier weights that send requests to a service that was taken out of its split.
TEST_CASE("forward: a service whose weight becomes zero gets no further request, whatever the scale of the weights")
{
    const std::vector<WeightedService> before = {{"x", 95}, {"y", 5}};
    for (const double smaller : {0.001, 1.0, 100.0}) {
        for (int requests = 0; requests < 40; ++requests) {
            INFO("weight " << smaller << " after " << requests << " requests");
            WeightedRoundRobin choice;
            for (int request = 0; request < requests; ++request) {
                choice.next("r", before, 0.3);
            }
            const std::vector<WeightedService> after = {{"x", smaller}, {"y", 0}};
            for (int request = 0; request < 200; ++request) {
                REQUIRE(choice.next("r", after, 0.3) == "x");
            }
        }
    }
}

TEST_CASE("forward: a split whose weights change keeps its new shares from the first request on")
{
    const std::vector<std::vector<WeightedService>> splits = {{{"x", 95}, {"y", 5}},
                                                              {{"x", 0.5}, {"y", 0.5}},
                                                              {{"y", 3'000}, {"x", 1'000}},
                                                              {{"x", 1}, {"y", 1}, {"z", 2}},
                                                              {{"z", 9}, {"x", 1}}};
    WeightedRoundRobin choice;
    for (const auto &split : splits) {
        double total = 0;
        for (const WeightedService &part : split) {
            total += part.weight;
        }
        std::map<std::string, int> counts;
        constexpr int requests = 60;
        for (int request = 0; request < requests; ++request) {
            ++counts[choice.next("r", split, 0.7)];
        }
        for (const WeightedService &part : split) {
            INFO(part.service << " of weight " << part.weight << " got " << counts[part.service]);
            CHECK(std::abs(counts[part.service] - requests * part.weight / total) <= 1);
        }
    }
}

TEST_CASE("forward: hosts that start a split together reach its small part at different requests")
{
    const std::vector<WeightedService> split = {{"x", 95}, {"y", 5}};
    std::map<int, int> firstAt;
    constexpr int hosts = 250;
    for (int host = 0; host < hosts; ++host) {
        WeightedRoundRobin choice;
        int request = 0;
        while (choice.next("r", split, static_cast<double>(host) / hosts) != "y") {
            ++request;
        }
        ++firstAt[request];
    }
    // The cycle has 20 requests.
    CHECK(firstAt.size() == 20);
    for (const auto &[request, count] : firstAt) {
        CHECK(count <= hosts / 10);
    }
}

TEST_CASE("forward: the state of a split goes with its route")
{
    const Route kept = ForwardFixture::route("a", SplitDestination{{{"s", 1}, {"u", 1}}});
    const Route dropped = ForwardFixture::route("b", SplitDestination{{{"s", 1}, {"u", 1}}});
    WeightedRoundRobin choice;
    for (const Route &route : {kept, dropped}) {
        choice.next(route.name, std::get<SplitDestination>(route.destination).services, 0);
    }
    choice.retainRoutes(RoutingTable(2, {kept}, {}, {}));
    CHECK(choice.size() == 1);
    CHECK(choice.next("a", std::get<SplitDestination>(kept.destination).services, 0) == "u");
}

TEST_CASE("forward: a non-idempotent request is not sent again when its response and its timer are due at once")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"}).work = milliseconds(121);
    fixture.addTarget("t2", {"s", "here"}).work = milliseconds(121);
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"}, Repeatability::NonIdempotent)});
    const auto response = fixture.call("a", seconds(2), "POST");
    fixture.run(milliseconds(100));
    // The response arrives, then the time limit for queued attempts expires, and the process handles both at once.
    fixture.process.freeze(true);
    fixture.run(milliseconds(60));
    fixture.process.freeze(false);
    fixture.run(milliseconds(300));
    CHECK(response->status == 200);
    CHECK(totalRuns(fixture, "r1") == 1);
}

TEST_CASE("forward: a non-idempotent request is retried only after the target states that it did not run")
{
    ForwardFixture fixture;
    FakeTarget &first = fixture.addTarget("t1", {"s", "here"});
    fixture.addTarget("t2", {"s", "there"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"}, Repeatability::NonIdempotent)});
    SECTION("shed: retried at another target")
    {
        first.behaviour = Behaviour::Shed;
        const auto response = fixture.call("a", seconds(2), "POST");
        fixture.run(milliseconds(300));
        CHECK(response->status == 200);
        CHECK(totalRuns(fixture, "r1") == 1);
    }
    SECTION("address of another target: retried elsewhere, and the address is not used again")
    {
        first.behaviour = Behaviour::OtherTarget;
        const auto response = fixture.call("a", seconds(2), "POST");
        fixture.run(milliseconds(300));
        CHECK(response->status == 200);
        const auto second = fixture.call("a", seconds(2), "POST");
        fixture.run(milliseconds(300));
        CHECK(second->status == 200);
        CHECK(first.arrivals == 1);
    }
    SECTION("connection lost: 502 without a retry")
    {
        first.behaviour = Behaviour::Crash;
        const auto response = fixture.call("a", seconds(2), "POST");
        fixture.run(milliseconds(300));
        CHECK(response->status == 502);
        CHECK(response->header("Retry-After").empty());
        CHECK(fixture.arrivals() == 1);
    }
    SECTION("silent: 504 at the deadline without a retry")
    {
        first.behaviour = Behaviour::Silent;
        const auto response = fixture.call("a", milliseconds(500), "POST");
        fixture.run(milliseconds(490));
        CHECK(response->status == 0);
        fixture.run(milliseconds(20));
        CHECK(response->status == 504);
        CHECK(fixture.arrivals() == 1);
    }
}

TEST_CASE("forward: a request that every target shed is refused as not run")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"}).behaviour = Behaviour::Shed;
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"}, Repeatability::NonIdempotent)});
    const auto response = fixture.call("a", seconds(2), "POST");
    fixture.run(milliseconds(100));
    CHECK(response->status == 503);
    CHECK_FALSE(response->header("Retry-After").empty());
    CHECK(response->took < milliseconds(50));
    CHECK(totalRuns(fixture, "r1") == 0);
}

TEST_CASE("forward: a target's failure response is forwarded, not replaced by a refusal")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"}).behaviour = Behaviour::Fail;
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"}, Repeatability::NonIdempotent)});
    const auto response = fixture.call("a", seconds(2), "POST");
    fixture.run(milliseconds(100));
    CHECK(response->status == 500);
    CHECK(response->header("signature") == "t1");
}

TEST_CASE("forward: a target's own 503 is replaced by 502, because callers take a 503 for not run")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"}).behaviour = Behaviour::FailUnavailable;
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"}, Repeatability::NonIdempotent)});
    const auto response = fixture.call("a", seconds(2), "POST");
    fixture.run(milliseconds(100));
    CHECK(response->status == 502);
    CHECK(response->header("signature").empty());
    CHECK(totalRuns(fixture, "r1") == 1);
}

TEST_CASE("forward: merge, greatest records of all shards with duplicates kept")
{
    const std::string low(16, 'a');
    const std::string high(16, '\xff');
    const std::string first = low + high + low;
    const std::string second = high + "short";
    const std::vector<std::string_view> bodies = {first, second};
    CHECK(greatestRecords(bodies, 3) == high + high + low);
    CHECK(greatestRecords(bodies, 10) == high + high + low + low);
    CHECK(greatestRecords(bodies, 0).empty());
}

TEST_CASE("forward: gather step, waits, responds or gives up")
{
    // total, succeeded, pending, minimum coverage, goal expired
    CHECK(gatherStep({10, 10, 0, 0.9, false}) == GatherStep::Respond);
    CHECK(gatherStep({10, 9, 1, 0.9, false}) == GatherStep::Wait);
    CHECK(gatherStep({10, 9, 1, 0.9, true}) == GatherStep::Respond);
    CHECK(gatherStep({10, 8, 2, 0.9, true}) == GatherStep::Wait);
    CHECK(gatherStep({10, 8, 1, 0.9, true}) == GatherStep::Wait);
    CHECK(gatherStep({10, 8, 1, 0.95, false}) == GatherStep::GiveUp);
    CHECK(gatherStep({10, 9, 0, 0.9, false}) == GatherStep::Respond);
    CHECK(gatherStep({10, 0, 0, 0.0, true}) == GatherStep::GiveUp);
}

TEST_CASE("forward: pattern straggler shard, a partial response is sent at the latency goal")
{
    ForwardFixture fixture;
    const auto shards = fixture.addShards("s", 10, 1);
    fixture.targets["s3-0"]->work = milliseconds(900);
    fixture.publish({ForwardFixture::route("g", ShardedDestination{shards, 5, 0.9})});
    const auto response = fixture.call("g");
    fixture.run(milliseconds(200));
    CHECK(response->status == 200);
    CHECK(response->header("missing") == "1");
    CHECK(response->took < milliseconds(100));
    CHECK(response->body.size() == 5 * recordBytes);
}

// Guards against one caller with a long time-out after which all others of the route count as retries past their latency goal.
TEST_CASE("forward: requests wait for their latency goal after one with a much longer time-out")
{
    ForwardFixture fixture;
    const auto shards = fixture.addShards("s", 4, 1);
    fixture.publish({ForwardFixture::route("g", ShardedDestination{shards, 5, 0.75})});
    for (int request = 0; request < 4; ++request) {
        fixture.call("g");
        fixture.run(milliseconds(200));
    }
    fixture.call("g", seconds(60));
    fixture.run(milliseconds(200));
    // Late enough for a partial response without it, early enough for the goal.
    fixture.targets["s3-0"]->work = milliseconds(60);
    const auto first = fixture.call("g");
    fixture.run(milliseconds(200));
    CHECK(first->status == 200);
    CHECK(first->header("missing") == "0");
    const auto retry = fixture.call("g", milliseconds(1'900));
    fixture.run(milliseconds(200));
    CHECK(retry->status == 200);
    CHECK(retry->header("missing") == "1");
}

TEST_CASE("forward: the time-out of first attempts is learned beside retries and callers with longer ones")
{
    CallerTimeouts timeouts;
    CHECK(timeouts.ofFirstAttempt() == Duration::zero());
    timeouts.add(seconds(2));
    CHECK(timeouts.ofFirstAttempt() == seconds(2));
    for (int request = 0; request < 30; ++request) {
        timeouts.add(milliseconds(1'000 + request));
        timeouts.add(seconds(2));
        timeouts.add(request % 2 == 0 ? seconds(60) : seconds(2));
    }
    CHECK(timeouts.ofFirstAttempt() == seconds(2));
    // A new version of the route may come with other callers.
    for (int request = 0; request < 64; ++request) {
        timeouts.add(milliseconds(500));
    }
    CHECK(timeouts.ofFirstAttempt() == milliseconds(500));
}

TEST_CASE("forward: pattern shard dark, a request that cannot reach its coverage is refused at once as not run")
{
    ForwardFixture fixture;
    const auto shards = fixture.addShards("s", 4, 1);
    fixture.publish({ForwardFixture::route("g", ShardedDestination{shards, 5, 1})});
    fixture.network.remove(fixture.entryOf("s2-0").address.toString());
    fixture.call("g");
    fixture.run(milliseconds(20));
    const auto response = fixture.call("g");
    fixture.run(milliseconds(1));
    CHECK(response->status == 503);
    CHECK_FALSE(response->header("Retry-After").empty());
}

TEST_CASE("forward: pattern pausing replica, a pause causes a single hedge, not one per request")
{
    ForwardFixture fixture;
    fixture.limits.extraSendRatio = 1;
    fixture.limits.extraSendSlack = 100;
    fixture.addTarget("t1", {"s", "here", 8});
    fixture.addTarget("t2", {"s", "there", 8});
    fixture.publish({ForwardFixture::route("a", ShardedDestination{{"s"}, 5, 1})});
    // Both replicas have a latency estimate and connections.
    for (const char *away : {"t1", "t2"}) {
        TargetEntry entry = fixture.entryOf(away);
        entry.stage = TargetStage::Draining;
        fixture.change({TargetPublished{entry}});
        for (int request = 0; request < 20; ++request) {
            fixture.call("a");
            fixture.run(milliseconds(20));
        }
        fixture.change({TargetPublished{fixture.entryOf(away)}});
        fixture.run(milliseconds(400));
    }
    const unsigned before = fixture.targets["t2"]->arrivals;
    fixture.targets["t1"]->behaviourFor = [&fixture](unsigned) {
        fixture.targets["t1"]->work = milliseconds(200);
        return Behaviour::Answer;
    };
    std::vector<std::shared_ptr<CallerResponse>> responses;
    responses.reserve(400);
    const unsigned pausedFrom = fixture.targets["t1"]->arrivals;
    for (int request = 0; request < 8; ++request) {
        responses.push_back(fixture.call("a"));
        fixture.run(milliseconds(25));
    }
    fixture.run(milliseconds(300));
    for (const auto &response : responses) {
        CHECK(response->took < milliseconds(100));
    }
    CHECK(fixture.targets["t1"]->arrivals - pausedFrom <= 3);
    CHECK(fixture.targets["t2"]->arrivals - before <= 8);
}

TEST_CASE("forward: pattern many failing replicas, extra sends stay within ratio and slack")
{
    ForwardFixture fixture;
    fixture.limits.extraSendRatio = 0.2;
    fixture.limits.extraSendSlack = 10;
    for (const char *id : {"t1", "t2", "t3", "t4"}) {
        fixture.addTarget(id, {"s", "here", 8}).behaviour = Behaviour::Fail;
    }
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    constexpr unsigned requests = 200;
    for (unsigned request = 0; request < requests; ++request) {
        fixture.call("a");
        fixture.run(milliseconds(10));
    }
    CHECK(fixture.arrivals() <= requests + requests / 5 + 10);
    CHECK(fixture.arrivals() > requests);
}

// Guards against resets that are taken for those of a full target, after which a retry does not use the budget.
TEST_CASE("forward: pattern replicas that reset half of their requests at once, extra sends stay within ratio and slack")
{
    ForwardFixture fixture;
    fixture.limits.extraSendRatio = 0.2;
    fixture.limits.extraSendSlack = 10;
    for (const char *id : {"t1", "t2", "t3", "t4"}) {
        FakeTarget &target = fixture.addTarget(id, {"s", "there", 8});
        target.work = milliseconds(1);
        target.behaviourFor = [&link = fixture.network.link("host", id)](unsigned arrival) {
            // The connection breaks instead of the response.
            link.losesReplies = arrival % 2 == 0;
            return link.losesReplies ? Behaviour::Fail : Behaviour::Answer;
        };
    }
    // Each kind is another request, so that none of them is refused.
    constexpr unsigned kinds = 50;
    std::vector<Route> routes;
    for (unsigned kind = 0; kind < kinds; ++kind) {
        routes.push_back(ForwardFixture::route(std::to_string(kind), ServiceDestination{"s"}));
    }
    fixture.publish(std::move(routes));
    constexpr unsigned requests = 400;
    for (unsigned request = 0; request < requests; ++request) {
        fixture.call(std::to_string(request % kinds));
        fixture.run(milliseconds(10));
    }
    CHECK(fixture.arrivals() <= requests + requests / 5 + 10);
    CHECK(fixture.arrivals() > requests);
}

TEST_CASE("forward: pattern moment of overload, a request that every replica shed is retried before its latency goal")
{
    ForwardFixture fixture;
    fixture.limits.extraSendSlack = 100;
    const TimePoint over = fixture.time.now() + milliseconds(440);
    for (const char *id : {"t1", "t2"}) {
        fixture.addTarget(id, {"s", "here"}).behaviourFor
            = [&fixture, over](unsigned) { return fixture.time.now() < over ? Behaviour::Shed : Behaviour::Answer; };
    }
    fixture.addTarget("t3", {"s", "here"});
    fixture.network.remove(fixture.entryOf("t3").address.toString());
    fixture.publish({ForwardFixture::route("a", ShardedDestination{{"s"}, 5, 1})});
    const auto response = fixture.call("a");
    fixture.run(milliseconds(200));
    CHECK(response->status == 200);
    CHECK(response->took < milliseconds(100));
}

TEST_CASE("forward: a queued attempt stays queued when there is no other replica")
{
    ForwardFixture fixture;
    fixture.limits.extraSendRatio = 0;
    FakeTarget &target = fixture.addTarget("t1", {"s", "here", 20});
    target.work = milliseconds(60);
    fixture.publish({ForwardFixture::route("a", ShardedDestination{{"s"}, 5, 1})});
    std::vector<std::shared_ptr<CallerResponse>> responses;
    responses.reserve(400);
    for (int request = 0; request < 20; ++request) {
        responses.push_back(fixture.call("a"));
    }
    fixture.run(seconds(1));
    for (const auto &response : responses) {
        CHECK(response->status == 200);
    }
}

TEST_CASE("forward: pattern grey replica, a replica that fails part of its requests receives few")
{
    ForwardFixture fixture;
    FakeTarget &grey = fixture.addTarget("t1", {"s", "here", 8});
    fixture.addTarget("t2", {"s", "here", 8});
    grey.behaviourFor = [](unsigned arrival) { return arrival % 5 < 2 ? Behaviour::Fail : Behaviour::Answer; };
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    unsigned succeeded = 0;
    std::vector<std::shared_ptr<CallerResponse>> responses;
    responses.reserve(400);
    for (int request = 0; request < 200; ++request) {
        responses.push_back(fixture.call("a"));
        fixture.run(milliseconds(25));
    }
    fixture.run(seconds(2));
    for (const auto &response : responses) {
        succeeded += response->status == 200 ? 1 : 0;
    }
    CHECK(succeeded >= 198);
    CHECK(grey.arrivals < 60);
}

TEST_CASE("forward: pattern dark target, the first silent connect makes it unreachable")
{
    ForwardFixture fixture;
    FakeTarget &dark = fixture.addTarget("t1", {"s", "here"});
    fixture.addTarget("t2", {"s", "there"});
    fixture.network.link("host", "t1").cut = true;
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    const auto first = fixture.call("a");
    fixture.run(milliseconds(500));
    CHECK(first->status == 200);
    const auto second = fixture.call("a");
    fixture.run(milliseconds(100));
    CHECK(second->status == 200);
    CHECK(second->took < milliseconds(60));
    CHECK(dark.arrivals == 0);
}

TEST_CASE("forward: pattern dead connections after a loss of power, a reset new connection diverts requests")
{
    ForwardFixture fixture;
    FakeTarget &full = fixture.addTarget("t1", {"s", "here"});
    fixture.addTarget("t2", {"s", "there"});
    fixture.network.link("host", "t1").losesRequests = true;
    const auto publish = [&fixture](Repeatability repeatability) {
        fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"}, repeatability)});
    };
    SECTION("idempotent requests are retried elsewhere, and the target gets no new connections for a while")
    {
        publish(Repeatability::Idempotent);
        for (int request = 0; request < 5; ++request) {
            const auto response = fixture.call("a");
            fixture.run(milliseconds(80));
            CHECK(response->status == 200);
        }
        CHECK(full.arrivals == 0);
        CHECK(logged(fixture, "target rejects further connections"));
        fixture.network.link("host", "t1").losesRequests = false;
        fixture.run(seconds(2));
        fixture.call("a");
        fixture.run(milliseconds(80));
        CHECK(full.arrivals == 1);
    }
    SECTION("a non-idempotent request may have run: 502 without a retry")
    {
        publish(Repeatability::NonIdempotent);
        const auto response = fixture.call("a", seconds(2), "POST");
        fixture.run(milliseconds(80));
        CHECK(response->status == 502);
        CHECK(fixture.arrivals() == 0);
    }
}

TEST_CASE("forward: pattern cold replica, it receives no requests while a warm one is available")
{
    ForwardFixture fixture;
    FakeTarget &cold = fixture.addTarget("t1", {"s", "here"});
    fixture.addTarget("t2", {"s", "there"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    TargetEntry entry = fixture.entryOf("t1");
    entry.coldLeft = seconds(3);
    entry.startedAt = 2;
    fixture.change({TargetPublished{entry}});
    for (int request = 0; request < 50; ++request) {
        fixture.call("a");
        fixture.run(milliseconds(50));
    }
    CHECK(cold.arrivals == 0);
    fixture.run(seconds(1));
    fixture.call("a");
    fixture.run(milliseconds(100));
    CHECK(cold.arrivals == 1);
}

TEST_CASE("forward: pattern all replicas cold, all hosts together stay within the limit")
{
    constexpr unsigned hosts = 10;
    std::vector<TimePoint> arrivedAt;
    for (unsigned number = 0; number < hosts; ++number) {
        ForwardFixture fixture;
        fixture.seed = number;
        fixture.limits.hosts = 100; // As deployed, since the hosts of this test do not see one another.
        FakeTarget &cold = fixture.addTarget("t1", {"s", "here"});
        fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
        TargetEntry entry = fixture.entryOf("t1");
        entry.coldLeft = seconds(10);
        entry.startedAt = 2;
        fixture.change({TargetPublished{entry}});
        for (int request = 0; request < 200; ++request) {
            fixture.call("a");
            fixture.run(milliseconds(45));
        }
        arrivedAt.insert(arrivedAt.end(), cold.arrivedAt.begin(), cold.arrivedAt.end());
    }
    std::sort(arrivedAt.begin(), arrivedAt.end());
    for (std::size_t first = 0; first < arrivedAt.size(); ++first) {
        std::size_t inSecond = 0;
        for (std::size_t other = first; other < arrivedAt.size() && arrivedAt[other] - arrivedAt[first] < seconds(1); ++other) {
            ++inSecond;
        }
        CHECK(inSecond <= 5);
    }
    CHECK(arrivedAt.size() >= 2);
}

TEST_CASE("forward: draining targets and evacuated zones receive no new requests")
{
    ForwardFixture fixture;
    FakeTarget &here = fixture.addTarget("t1", {"s", "here"});
    fixture.addTarget("t2", {"s", "there"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    SECTION("draining")
    {
        TargetEntry entry = fixture.entryOf("t1");
        entry.stage = TargetStage::Draining;
        fixture.change({TargetPublished{entry}});
    }
    SECTION("removed")
    {
        fixture.change({TargetRemoved{"t1"}});
    }
    SECTION("evacuated")
    {
        fixture.change({ZoneEvacuation{"here", true}});
    }
    const auto response = fixture.call("a");
    fixture.run(milliseconds(200));
    CHECK(response->status == 200);
    CHECK(here.arrivals == 0);
}

TEST_CASE("forward: targets of a zone count as cold after its evacuation ends")
{
    ForwardFixture fixture;
    FakeTarget &here = fixture.addTarget("t1", {"s", "here"});
    fixture.addTarget("t2", {"s", "there"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    fixture.change({ZoneEvacuation{"here", true}});
    fixture.run(seconds(1));
    fixture.change({ZoneEvacuation{"here", false}});
    fixture.call("a");
    fixture.run(milliseconds(100));
    CHECK(here.arrivals == 0);
    fixture.run(seconds(4));
    fixture.call("a");
    fixture.run(milliseconds(100));
    CHECK(here.arrivals == 1);
}

TEST_CASE("forward: only targets of allowed regions are used")
{
    ForwardFixture fixture;
    FakeTarget &here = fixture.addTarget("t1", {"s", "here"});
    FakeTarget &there = fixture.addTarget("t2", {"s", "there"});
    Route route = ForwardFixture::route("a", ServiceDestination{"s"});
    route.allowedRegions = {"away"};
    fixture.publish({route});
    fixture.call("a");
    fixture.run(milliseconds(200));
    CHECK(here.arrivals == 0);
    CHECK(there.arrivals == 1);
}

TEST_CASE("forward: attempts are cancelled at once when the caller disconnects")
{
    ForwardFixture fixture;
    FakeTarget &target = fixture.addTarget("t1", {"s", "here"});
    target.work = seconds(1);
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    const auto response = fixture.call("a");
    fixture.run(milliseconds(50));
    fixture.disconnect(response);
    fixture.run(milliseconds(50));
    CHECK(target.cancelled == 1);
    CHECK(response->status == 0);
}

TEST_CASE("forward: a routing table never replaces one of a higher version")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})}, 7);
    fixture.publish({ForwardFixture::route("b", ServiceDestination{"s"})}, 5);
    CHECK(fixture.call("b")->status == 404);
    const auto response = fixture.call("a");
    fixture.run(milliseconds(100));
    CHECK(response->status == 200);
    CHECK(logged(fixture, "older table ignored version=5 in_force=7"));
}

TEST_CASE("discovery: a stale read, then a watch, and a full read when the history is lost")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    DiscoveryReadResult lost;
    lost.historyLost = true;
    fixture.discovery.publish(lost);
    fixture.run(milliseconds(10));
    REQUIRE(fixture.discovery.calls.size() == 3);
    CHECK(fixture.discovery.calls[0] == "all old");
    CHECK(fixture.discovery.calls[1] == "watch 1");
    CHECK(fixture.discovery.calls[2] == "all latest");
}

TEST_CASE("discovery: entries that lapse while the source is unavailable are kept until they had time to return")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    DiscoveryReadResult failure;
    failure.error = std::make_error_code(std::errc::timed_out);
    fixture.discovery.publish(failure);
    fixture.run(seconds(3));
    fixture.change({TargetRemoved{"t1"}});
    fixture.run(seconds(1));
    const auto kept = fixture.call("a");
    fixture.run(milliseconds(100));
    CHECK(kept->status == 200);
    fixture.run(seconds(2));
    CHECK(fixture.call("a")->status == 503);
    CHECK(logged(fixture, "discovery lost"));
    CHECK(logged(fixture, "discovery regained"));
}

// Guards against a target that left and goes on being used because the source seems unavailable again and again.
TEST_CASE("discovery: pattern source that is lost by turns, an entry that was removed is gone after its time to return all the same")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"});
    fixture.addTarget("t2", {"s", "here"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    auto publishUnsettled = [&fixture, revision = std::int64_t{10}](std::vector<DiscoveryChange> changes) mutable {
        DiscoveryReadResult reading;
        reading.changes = std::move(changes);
        reading.sourceRecentlyUnavailable = true;
        reading.position.revision = ++revision;
        fixture.discovery.publish(std::move(reading));
    };
    publishUnsettled({TargetRemoved{"t1"}});
    fixture.run(seconds(1));
    publishUnsettled({});
    fixture.run(seconds(1));
    // Targets that live are published again within two seconds.
    CHECK(logged(fixture, "target entry lapsed, kept during the grace period target=t1"));
    CHECK_FALSE(logged(fixture, "target entry removed target=t1"));
    publishUnsettled({});
    fixture.run(seconds(1));
    CHECK(logged(fixture, "target entry removed target=t1"));
    CHECK_FALSE(logged(fixture, "target entry removed target=t2"));
}

TEST_CASE("discovery: a process that was suspended reads again at once")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    const auto calls = fixture.discovery.calls.size();
    fixture.process.freeze(true);
    fixture.run(seconds(3));
    fixture.process.freeze(false);
    fixture.run(milliseconds(150));
    CHECK(fixture.discovery.calls.size() == calls + 1);
    CHECK(logged(fixture, "process was paused"));
}

TEST_CASE("discovery: a burst of changes causes few calls")
{
    ForwardFixture fixture;
    fixture.addTarget("t1", {"s", "here"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    const auto before = fixture.discovery.calls.size();
    for (int change = 0; change < 30; ++change) {
        TargetEntry entry = fixture.entryOf("t1");
        entry.slots = 3 + static_cast<unsigned>(change);
        fixture.change({TargetPublished{entry}});
        fixture.run(milliseconds(100));
    }
    // Three seconds of changes: delays of 0.3, 0.6 and then 0.9 s between calls.
    CHECK(fixture.discovery.calls.size() - before <= 5);
}
