/*
 * Unit tests of the event loop: exceptions that handlers let out.
 */
#include "magnoliaspan/net.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace magnoliaspan;

// Guards against one failed handler that ends the process and loses every request in flight there.
TEST_CASE("event loop: an exception of a handler is reported, and the other handlers run")
{
    const SystemClock clock;
    EventLoop loop(clock);
    std::vector<std::string> reported;
    loop.onException([&reported](std::string_view reason) { reported.emplace_back(reason); });
    unsigned calls = 0;
    loop.callAt(clock.now(), [] { throw std::runtime_error("first"); });
    loop.callAt(clock.now(), [&calls] { ++calls; });
    loop.callAt(clock.now(), [] { throw std::bad_alloc(); });
    loop.callAt(clock.now() + std::chrono::milliseconds(20), [&] {
        ++calls;
        loop.stop();
    });
    loop.run();
    CHECK(calls == 2);
    REQUIRE(reported.size() == 2);
    CHECK(reported.front() == "first");
}

TEST_CASE("event loop: an exception leaves the loop if nothing is set to report it")
{
    const SystemClock clock;
    EventLoop loop(clock);
    loop.callAt(clock.now(), [] { throw std::runtime_error("first"); });
    CHECK_THROWS_AS(loop.run(), std::runtime_error);
}

TEST_CASE("event loop: a loop that is stopped by the handler that throws ends")
{
    const SystemClock clock;
    EventLoop loop(clock);
    unsigned reports = 0;
    loop.onException([&reports](std::string_view) { ++reports; });
    loop.callAt(clock.now(), [&loop] {
        loop.stop();
        throw std::runtime_error("last");
    });
    loop.run();
    CHECK(reports == 1);
}
