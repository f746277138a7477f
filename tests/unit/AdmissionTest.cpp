/*
 * Unit tests: requests that can not be served in time, and when they are told so.
 */
#include "ForwardFixture.h"

#include <catch2/catch.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("forward: pattern crippled shard, requests that it cannot answer before their deadline are refused at once, and the "
          "other shards are spared")
{
    ForwardFixture fixture;
    fixture.services.push_back({"p2", 5, seconds(3), 0});
    const auto shards = fixture.addShards("p", 4, 1);
    fixture.publish({ForwardFixture::route("g", ShardedDestination{shards, 10, 1.0})});
    fixture.targets["p2-0"]->work = milliseconds(500);
    const auto send = [&fixture](int requests) {
        std::vector<std::shared_ptr<CallerAnswer>> answers;
        for (int request = 0; request < requests; ++request) {
            answers.push_back(fixture.call("g"));
            fixture.run(milliseconds(20));
        }
        return answers;
    };
    // The host learns the pace of the shard.
    send(100);
    const unsigned before = fixture.targets["p1-0"]->arrivals;
    const auto answers = send(100);
    fixture.run(seconds(3));
    unsigned refused = 0;
    unsigned heldLong = 0;
    for (const auto &answer : answers) {
        refused += answer->status == 503 && answer->took <= milliseconds(20) && !answer->header("Retry-After").empty() ? 1 : 0;
        heldLong += answer->status != 200 && answer->took > seconds(1) ? 1 : 0;
    }
    CHECK(refused >= 60);
    CHECK(heldLong <= 10);
    CHECK(fixture.targets["p1-0"]->arrivals - before <= 40);
    SECTION("and once the shard is well again, requests are served again")
    {
        fixture.targets["p2-0"]->work = milliseconds(15);
        send(20);
        fixture.run(seconds(3));
        unsigned served = 0;
        for (const auto &answer : send(20)) {
            served += answer->status == 200 ? 1 : 0;
        }
        CHECK(served >= 18);
    }
}

TEST_CASE("forward: pattern dark target, a request that waits there is sent again once the budget allows it, not held to its deadline")
{
    ForwardFixture fixture;
    fixture.limits.extraSendSlack = 0;
    FakeTarget &dark = fixture.addTarget("t1", {"s", "here", 6});
    fixture.addTarget("t2", {"s", "there"});
    fixture.publish({ForwardFixture::route("a", ServiceDestination{"s"})});
    // Connections stand when the target goes dark.
    for (int request = 0; request < 20; ++request) {
        fixture.call("a");
        fixture.run(milliseconds(request % 5 == 0 ? 100 : 0));
    }
    fixture.run(milliseconds(200));
    dark.behaviour = Behaviour::Silent;
    // They begin at the dark target; the budget holds one extra send.
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    answers.reserve(4);
    for (int request = 0; request < 4; ++request) {
        answers.push_back(fixture.call("a", seconds(2)));
    }
    fixture.run(milliseconds(300));
    const auto served
        = [&answers] { return std::count_if(answers.begin(), answers.end(), [](const auto &answer) { return answer->status == 200; }); };
    CHECK(served() < 4);
    for (int request = 0; request < 24; ++request) {
        fixture.call("a");
        fixture.run(milliseconds(50));
    }
    CHECK(served() == 4);
}
