/*
 * Unit tests: the order in which sends that wait for a replica are served.
 */
#include "forward/SendQueue.h"
#include "ForwardFixture.h"

#include <catch2/catch.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint start{std::chrono::seconds(10)};

} // namespace

TEST_CASE("forward: the queue is first come, first served while all can be in time")
{
    SendQueue queue;
    queue.push(SendId{1}, start, start + milliseconds(100));
    queue.push(SendId{2}, start + milliseconds(5), start + milliseconds(105));
    CHECK(queue.pop(start + milliseconds(10), milliseconds(20)) == SendId{1});
    CHECK(queue.pop(start + milliseconds(10), milliseconds(20)) == SendId{2});
    CHECK_FALSE(queue.pop(start + milliseconds(10), milliseconds(20)));
}

TEST_CASE("forward: the queue serves the newest that can be in time once the oldest cannot")
{
    SendQueue queue;
    for (unsigned send = 1; send <= 3; ++send) {
        queue.push(SendId{send}, start + send * milliseconds(40), start + send * milliseconds(40) + milliseconds(100));
    }
    const TimePoint now = start + milliseconds(135);
    CHECK(queue.pop(now, milliseconds(20)) == SendId{3});
    CHECK(queue.pop(now, milliseconds(20)) == SendId{2});
    // Nothing can be in time any more: the oldest is next, as nobody else waits.
    CHECK(queue.pop(now, milliseconds(20)) == SendId{1});
}

TEST_CASE("forward: what is late and waited long gives way")
{
    SendQueue queue;
    queue.push(SendId{1}, start, start + milliseconds(100));
    queue.push(SendId{2}, start, start + milliseconds(900));
    queue.push(SendId{3}, start + milliseconds(500), start + milliseconds(550));
    CHECK(queue.expire(start + milliseconds(700), milliseconds(600)) == std::vector<SendId>{SendId{1}});
    CHECK(queue.size() == 2);
    queue.erase(SendId{2});
    CHECK(queue.clear() == std::vector<SendId>{SendId{3}});
    CHECK(queue.empty());
}

TEST_CASE("forward: pattern persistent overload of the only replica, what is served is in time")
{
    ForwardFixture fixture;
    // One slot and 20 ms of work bear 50 requests a second; 100 come, each with a goal of 100 ms.
    fixture.addTarget("t1", {"s", "here", 1}).work = milliseconds(20);
    fixture.publish({ForwardFixture::route("a", ShardedDestination{{"s"}, 5, 1})});
    for (int request = 0; request < 20; ++request) {
        fixture.call("a");
        fixture.run(milliseconds(40));
    }
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    constexpr unsigned requests = 300;
    for (unsigned request = 0; request < requests; ++request) {
        answers.push_back(fixture.call("a"));
        fixture.run(milliseconds(10));
    }
    fixture.run(std::chrono::seconds(3));
    unsigned inTime = 0;
    unsigned heldToDeadline = 0;
    for (const auto &answer : answers) {
        inTime += answer->status == 200 && answer->took <= milliseconds(100) ? 1 : 0;
        heldToDeadline += answer->took > milliseconds(1'900) ? 1 : 0;
    }
    // Half of the requests is all that the replica can bear.
    CHECK(inTime >= requests / 2 * 7 / 10);
    CHECK(heldToDeadline == 0);
}
