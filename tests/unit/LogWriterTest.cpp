/*
 * Unit tests of LogWriter: rate limit, and a reader that stops reading.
 */
#include "net/LogWriter.h"
#include "scenario/ManualTime.h"

#include <catch2/catch.hpp>

#include <spdlog/spdlog.h>
#include <unistd.h>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;

namespace {

struct LogFixture {
    explicit LogFixture(std::size_t linesPerSecond)
    {
        REQUIRE(::pipe(ends) == 0);
        writer = std::make_shared<LogWriter>(time, time, ends[1], linesPerSecond);
        logger = std::make_unique<spdlog::logger>("test", writer);
        logger->set_pattern("%v");
    }

    std::string read()
    {
        char bytes[65'536]; // NOLINT: read() takes an array
        const auto count = ::read(ends[0], bytes, sizeof(bytes));
        return {bytes, count > 0 ? static_cast<std::size_t>(count) : 0};
    }

    int ends[2] = {}; // NOLINT: pipe() takes an array
    ManualTime time;
    std::shared_ptr<LogWriter> writer;
    std::unique_ptr<spdlog::logger> logger;
};

} // namespace

TEST_CASE("log writer: lines beyond the rate limit are dropped and counted")
{
    LogFixture fixture(10);
    for (int line = 0; line < 30; ++line) {
        fixture.logger->info("line {}", line);
    }
    CHECK(fixture.writer->dropped() == 20);
    fixture.time.runUntil(fixture.time.now() + std::chrono::seconds(1));
    fixture.logger->info("later");
    fixture.time.runUntil(fixture.time.now() + std::chrono::seconds(1));
    const std::string text = fixture.read();
    CHECK(text.find("line 9\n") != std::string::npos);
    CHECK(text.find("line 10\n") == std::string::npos);
    CHECK(text.find("lines dropped by rate limit or full buffer count=20") != std::string::npos);
    CHECK(text.find("later\n") != std::string::npos);
}

TEST_CASE("log writer: does not block when the reader stops reading")
{
    LogFixture fixture(1'000'000);
    const std::string line(1'000, 'x');
    for (int count = 0; count < 2'000; ++count) {
        fixture.logger->info(line);
        fixture.time.runUntil(fixture.time.now() + std::chrono::milliseconds(1));
    }
    CHECK(fixture.writer->dropped() > 1'000);
    const std::string first = fixture.read();
    CHECK(first.size() == 65'536);
    fixture.time.runUntil(fixture.time.now() + std::chrono::seconds(1));
    CHECK_FALSE(fixture.read().empty());
}
