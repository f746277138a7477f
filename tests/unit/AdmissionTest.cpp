/*
 * Unit tests: early refusal of requests that cannot be served before their deadline.
 */
#include "ForwardFixture.h"

#include <catch2/catch.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("forward: pattern crippled shard, requests that would miss their deadline are refused at once and use no capacity of the "
          "other shards")
{
    ForwardFixture fixture;
    fixture.services.push_back({"p2", 5, seconds(3), 0});
    const auto shards = fixture.addShards("p", 4, 1);
    fixture.publish({ForwardFixture::route("g", ShardedDestination{shards, 10, 1.0})});
    fixture.targets["p2-0"]->work = milliseconds(500);
    const auto send = [&fixture](int requests) {
        std::vector<std::shared_ptr<CallerResponse>> responses;
        for (int request = 0; request < requests; ++request) {
            responses.push_back(fixture.call("g"));
            fixture.run(milliseconds(20));
        }
        return responses;
    };
    // The host measures the latency of the shard.
    send(100);
    const unsigned before = fixture.targets["p1-0"]->arrivals;
    const auto responses = send(100);
    fixture.run(seconds(3));
    unsigned refused = 0;
    unsigned heldPastSecond = 0;
    for (const auto &response : responses) {
        refused += response->status == 503 && response->took <= milliseconds(20) && !response->header("Retry-After").empty() ? 1 : 0;
        heldPastSecond += response->status != 200 && response->took > seconds(1) ? 1 : 0;
    }
    CHECK(refused >= 60);
    CHECK(heldPastSecond <= 10);
    CHECK(fixture.targets["p1-0"]->arrivals - before <= 40);
    SECTION("requests are served again once the shard has recovered")
    {
        fixture.targets["p2-0"]->work = milliseconds(15);
        send(20);
        fixture.run(seconds(3));
        unsigned served = 0;
        for (const auto &response : send(20)) {
            served += response->status == 200 ? 1 : 0;
        }
        CHECK(served >= 18);
    }
}

TEST_CASE("forward: pattern dark target, a pending request is hedged once the budget allows it, before its deadline")
{
    ForwardFixture fixture;
    fixture.limits.extraSendSlack = 0;
    fixture.limits.extraSendRatio = 0.1;
    FakeTarget &dark = fixture.addTarget("t1", {"s", "here", 6});
    fixture.addTarget("t2", {"s", "there"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    // Connections are open when the target goes dark.
    for (int request = 0; request < 20; ++request) {
        fixture.call("a");
        fixture.run(milliseconds(request % 5 == 0 ? 100 : 0));
    }
    fixture.run(milliseconds(200));
    dark.behaviour = Behaviour::Silent;
    // First attempts go to the dark target; the requests of the last ten seconds allow three extra sends.
    std::vector<std::shared_ptr<CallerResponse>> responses;
    responses.reserve(4);
    for (int request = 0; request < 4; ++request) {
        responses.push_back(fixture.call("a", seconds(2)));
    }
    fixture.run(milliseconds(300));
    const auto served = [&responses] {
        return std::count_if(responses.begin(), responses.end(), [](const auto &response) { return response->status == 200; });
    };
    CHECK(served() < 4);
    for (int request = 0; request < 24; ++request) {
        fixture.call("a");
        fixture.run(milliseconds(50));
    }
    CHECK(served() == 4);
}
