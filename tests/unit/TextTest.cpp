/*
 * Unit tests of text that is encoded for the place where it is put.
 */
#include "core/Text.h"
#include "core/Journal.h"
#include "scenario/ManualTime.h"

#include <catch2/catch.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;

TEST_CASE("text: the value of a query is percent-encoded but for unreserved characters and slashes")
{
    CHECK(encodeQueryValue("servers/aZ09-._~") == "servers/aZ09-._~");
    CHECK(encodeQueryValue("&+#% =?;") == "%26%2B%23%25%20%3D%3F%3B");
    CHECK(encodeQueryValue(std::string("\0\n\x7f\xc3\xa9\xff", 6)) == "%00%0A%7F%C3%A9%FF");
    CHECK(encodeQueryValue("").empty());
}

TEST_CASE("text: a log value is in quotes if it would not end where it ends, and printable in any case")
{
    CHECK(toLogValue("i-7f3a&%=,;'") == "i-7f3a&%=,;'");
    CHECK(toLogValue("").empty());
    CHECK(toLogValue("a b") == R"("a b")");
    CHECK(toLogValue(R"(a"b\c)") == R"("a\"b\\c")");
    CHECK(toLogValue("a\r\n\xc3\xa9") == R"("a\x0d\x0a\xc3\xa9")");
    CHECK(quoteForLog("a") == R"("a")");
    CHECK(escapeForLog("a \"b\"\n") == R"(a "b"\x0a)");
}

TEST_CASE("journal: a line and the id of its request hold printable characters only")
{
    const ManualTime time;
    std::vector<std::string> lines;
    Journal journal(
        time, [&lines](std::string_view line) { lines.emplace_back(line); }, 10);
    const std::string id = "q\nadmit: x request=1";
    journal.record(LogCategory::Admit, id, "text\r\nwith lines");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0] == R"(admit: text\x0d\x0awith lines request="q\x0aadmit: x request=1" at=0.000ms)");
    CHECK(journal.explain(id) == lines);
    journal.record(LogCategory::Admit, "q-1", "text");
    CHECK(lines[1] == "admit: text request=q-1 at=0.000ms");
}
