/*
 * Unit tests: the order in which queued attempts are started.
 */
#include "forward/AttemptQueue.h"
#include "ForwardFixture.h"

#include <catch2/catch.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint start{std::chrono::seconds(10)};

} // namespace

TEST_CASE("forward: attempt queue, first in, first out while all can meet their goals")
{
    AttemptQueue queue;
    queue.push(AttemptId{1}, start, start + milliseconds(100));
    queue.push(AttemptId{2}, start + milliseconds(5), start + milliseconds(105));
    CHECK(queue.pop(start + milliseconds(10), milliseconds(20)) == AttemptId{1});
    CHECK(queue.pop(start + milliseconds(10), milliseconds(20)) == AttemptId{2});
    CHECK_FALSE(queue.pop(start + milliseconds(10), milliseconds(20)));
}

TEST_CASE("forward: attempt queue, the newest that can meet its goal is next once the oldest cannot")
{
    AttemptQueue queue;
    for (unsigned attempt = 1; attempt <= 3; ++attempt) {
        queue.push(AttemptId{attempt}, start + attempt * milliseconds(40), start + attempt * milliseconds(40) + milliseconds(100));
    }
    const TimePoint now = start + milliseconds(135);
    CHECK(queue.pop(now, milliseconds(20)) == AttemptId{3});
    CHECK(queue.pop(now, milliseconds(20)) == AttemptId{2});
    // No attempt can meet its goal any more: the oldest is next.
    CHECK(queue.pop(now, milliseconds(20)) == AttemptId{1});
}

TEST_CASE("forward: attempt queue, late attempts expire after the maximum wait")
{
    AttemptQueue queue;
    queue.push(AttemptId{1}, start, start + milliseconds(100));
    queue.push(AttemptId{2}, start, start + milliseconds(900));
    queue.push(AttemptId{3}, start + milliseconds(500), start + milliseconds(550));
    CHECK(queue.expire(start + milliseconds(700), milliseconds(600)) == std::vector<AttemptId>{AttemptId{1}});
    CHECK(queue.size() == 2);
    queue.erase(AttemptId{2});
    CHECK(queue.clear() == std::vector<AttemptId>{AttemptId{3}});
    CHECK(queue.empty());
}

TEST_CASE("forward: pattern persistent overload of the only replica, served requests meet their goals")
{
    ForwardFixture fixture;
    // One slot and 20 ms per request give a capacity of 50 requests per second; 100 arrive, each with a goal of 100 ms.
    fixture.addTarget("t1", {"s", "here", 1}).work = milliseconds(20);
    fixture.publish({ForwardFixture::route("a", ShardedDestination{{"s"}, 5, 1})});
    for (int request = 0; request < 20; ++request) {
        fixture.call("a");
        fixture.run(milliseconds(40));
    }
    std::vector<std::shared_ptr<CallerResponse>> responses;
    constexpr unsigned requests = 300;
    for (unsigned request = 0; request < requests; ++request) {
        responses.push_back(fixture.call("a"));
        fixture.run(milliseconds(10));
    }
    fixture.run(std::chrono::seconds(3));
    unsigned inTime = 0;
    unsigned heldToDeadline = 0;
    for (const auto &response : responses) {
        inTime += response->status == 200 && response->took <= milliseconds(100) ? 1 : 0;
        heldToDeadline += response->took > milliseconds(1'900) ? 1 : 0;
    }
    // The capacity of the replica is half of the requests.
    CHECK(inTime >= requests / 2 * 7 / 10);
    CHECK(heldToDeadline == 0);
}
