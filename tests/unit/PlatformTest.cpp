/*
 * Unit tests of the platform adapter: decoding of the platform's names, and reasons given for malformed input.
 */
#include "Base64.h"
#include "core/Counters.h"
#include "core/Text.h"
#include "platform/Adapter.h"
#include "platform/StoreSource.h"
#include "platform/StoreValues.h"
#include "scenario/FakeNetwork.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;

namespace {

constexpr std::string_view configuration = R"({"version":7,"routes":[
{"name":"g","host":"a.example","prefix":"/x/","type":"idempotent","timeout_ms":1500,"latency_goal_ms":100,"priority":2,
 "gather":["s1","s2"],"max_attempts":2,"top_k":5,"min_coverage":0.75,"allowed_regions":[]},
{"name":"w","host":"a.example","prefix":"/x/y/","type":"non_idempotent","timeout_ms":8000,"latency_goal_ms":500,"priority":1,
 "traffic_split":[{"service":"s1","weight":3},{"service":"s2","weight":1}],"max_attempts":2,"allowed_regions":["here"]}],
"services":[{"name":"s1","health_path":"/health","max_connections":31,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":0.5}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},"unknown":1})";

constexpr std::string_view target = R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1","capacity":3,
"state":"ready","warmup_left_ms":1200,"sequence":4,"born":1774416614097})";

/// Responds to each call with the next of its bodies, repeating the last one, and records the paths.
class FakeStore : public Service
{
public:
    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override
    {
        paths.push_back(request.target);
        ServiceReply reply;
        reply.status = status;
        reply.body = answers.at(std::min(paths.size(), answers.size()) - 1);
        if (!eras.empty()) {
            reply.headers.push_back({"store-era", eras.at(std::min(paths.size(), eras.size()) - 1)});
        }
        handler(reply);
        return {};
    }

    unsigned status = 200;
    std::vector<std::string> paths;
    std::vector<std::string> answers;
    std::vector<std::string> eras; ///< Of the responses, as answers; none has an era if empty.
};

struct StoreFixture {
    StoreFixture()
    {
        Node node;
        node.name = "store";
        node.service = &store;
        node.time = &process;
        network.place("10.0.0.1:1", node);
    }

    DiscoveryReadResult readAll(Freshness freshness = Freshness::Latest)
    {
        DiscoveryReadResult result;
        result.position.revision = -1;
        source.readAll(freshness, [&result](const DiscoveryReadResult &readResult) { result = readResult; });
        time.runUntil(time.now() + std::chrono::seconds(3));
        return result;
    }

    ManualTime time;
    ProcessTime process{time, {}};
    FakeNetwork network{time};
    FakeTransport transport{network, process, "host", "z"};
    FakeStore store;
    platform::StoreSource source{process, process, transport, {"10.0.0.1", 1}};
};

} // namespace

TEST_CASE("platform: a configuration is decoded into routes, services and limits")
{
    const auto change = platform::decodeItem("op/config", configuration);
    REQUIRE(change);
    const auto *published = std::get_if<TablePublished>(&*change);
    REQUIRE(published != nullptr);
    const RoutingTable &table = *published->table;
    CHECK(table.version() == 7);
    const Route *gather = table.find("a.example", "/x/1");
    REQUIRE(gather != nullptr);
    CHECK(gather->repeatability == Repeatability::Idempotent);
    CHECK(gather->latencyGoal == std::chrono::milliseconds(100));
    REQUIRE(std::holds_alternative<ShardedDestination>(gather->destination));
    CHECK(std::get<ShardedDestination>(gather->destination).minimumCoverage == 0.75);
    const Route *split = table.find("a.example", "/x/y/1");
    REQUIRE(split != nullptr);
    CHECK(split->repeatability == Repeatability::NonIdempotent);
    CHECK(split->allowedRegions == std::vector<std::string>{"here"});
    CHECK(std::get<SplitDestination>(split->destination).services.front().weight == 3);
    CHECK(table.findService("s1")->maxConnections == 31);
    CHECK(table.findService("s1")->coldRequestsPerSecond == 0.5);
    CHECK(table.limits().idleTimeout == std::chrono::seconds(15));
}

TEST_CASE("platform: target entries, evacuations and their removals are decoded")
{
    const auto change = platform::decodeItem("servers/i-1", target);
    REQUIRE(change);
    const TargetEntry entry = std::get<TargetPublished>(*change).entry;
    CHECK(entry.id == "i-1");
    CHECK(entry.address.port == 8080);
    CHECK(entry.slots == 3);
    CHECK(entry.coldLeft == std::chrono::milliseconds(1'200));
    CHECK(entry.startedAt == 1774416614097);
    CHECK(std::get<TargetRemoved>(*platform::decodeItem("servers/i-1", std::nullopt)).id == "i-1");
    CHECK(std::get<ZoneEvacuation>(*platform::decodeItem("op/evacuate/z", "{}")).evacuated);
    CHECK_FALSE(std::get<ZoneEvacuation>(*platform::decodeItem("op/evacuate/z", std::nullopt)).evacuated);
    CHECK_FALSE(platform::decodeItem("someone/else", "{}"));
}

TEST_CASE("platform: malformed entries are decode failures with a reason")
{
    const std::vector<std::string> bad = {"", "\xff\xfe", "[]", "{}", R"({"service":7})", std::string(target).replace(12, 4, "null")};
    for (const std::string &value : bad) {
        const auto change = platform::decodeItem("servers/i-1", value);
        REQUIRE(change);
        REQUIRE(std::holds_alternative<DecodeFailure>(*change));
        CHECK_FALSE(std::get<DecodeFailure>(*change).reason.empty());
    }
    std::string state(target);
    state.replace(state.find("\"ready\""), 7, "\"odd\"");
    CHECK(std::holds_alternative<DecodeFailure>(*platform::decodeItem("servers/i-1", state)));
    std::string missing(configuration);
    missing.replace(missing.find("\"host\""), 6, "\"tsoh\"");
    const auto change = platform::decodeItem("op/config", missing);
    CHECK(std::get<DecodeFailure>(*change).reason.find("routes[0]") != std::string::npos);
}

TEST_CASE("platform: an entry whose address is no IP address and port names no target")
{
    const std::vector<std::string> addresses = {"",
                                                ":",
                                                "10.0.0.9",
                                                "10.0.0.9:",
                                                "10.0.0.9:0",
                                                "10.0.0.9:65536",
                                                "10.0.0.9:-1",
                                                "10.0.0.9:80 ",
                                                " 10.0.0.9:80",
                                                "10.0.0.9\r\n:80",
                                                std::string("10.0.0.9\0:80", 12),
                                                std::string("10.0.0.9\0.example:80", 20),
                                                "010.0.0.9:80",
                                                "10.0.9:80",
                                                "[::1]:80",
                                                "host.example:80"};
    for (const std::string &address : addresses) {
        INFO(address);
        nlohmann::json entry = nlohmann::json::parse(target);
        entry["address"] = address;
        CHECK(std::holds_alternative<DecodeFailure>(*platform::decodeItem("servers/i-1", entry.dump())));
    }
}

TEST_CASE("platform: an entry with a field missing or of another type names no target")
{
    const std::vector<nlohmann::json> others = {nullptr, true, 7, -7.5, "text", nlohmann::json::array(), nlohmann::json::object()};
    const nlohmann::json sound = nlohmann::json::parse(target);
    for (const auto &[name, value] : sound.items()) {
        INFO(name);
        // It stands beside the fields of an entry on the users' pages, not among them.
        if (name != "born") {
            nlohmann::json entry = sound;
            entry.erase(name);
            CHECK(std::holds_alternative<DecodeFailure>(*platform::decodeItem("servers/i-1", entry.dump())));
        }
        for (const nlohmann::json &other : others) {
            const bool isSameType = other.type() == value.type() || (other.is_number_integer() && value.is_number_integer());
            if (isSameType && (name != "address" && name != "state")) {
                continue;
            }
            INFO(other.dump());
            nlohmann::json entry = sound;
            entry[name] = other;
            CHECK(std::holds_alternative<DecodeFailure>(*platform::decodeItem("servers/i-1", entry.dump())));
        }
    }
    CHECK(std::holds_alternative<TargetPublished>(*platform::decodeItem("servers/i-1", sound.dump())));
}

// Guards against a value of the store, or of a host that passes it on, whose padding is counted before it is checked.
TEST_CASE("platform: a value that is not base64 is a decode failure")
{
    const auto decoder = platform::makeDecoder();
    const std::vector<std::string> malformed
        = {"====", "=AAA", "A===", "AA=A", "AAAA====", "AAAA=", "A", "    ====", "AA\n=", "\xff\xff\xff\xff"};
    for (const std::string &value : malformed) {
        INFO(value);
        const auto change = decoder->decode({"servers/i-1", 1, value});
        REQUIRE(change);
        REQUIRE(std::holds_alternative<DecodeFailure>(*change));
        CHECK(std::get<DecodeFailure>(*change).reason == "value is not base64");
    }
    for (const std::string_view text : {"", "a", "ab", "abc", "abcd"}) {
        const auto change = decoder->decode({"servers/i-1", 1, toBase64(text)});
        CHECK(std::get<DecodeFailure>(*change).reason != "value is not base64");
    }
}

// Guards against numbers beyond what a time can hold, and against weights that are no shares.
TEST_CASE("platform: numbers of a configuration that are out of range become the nearest valid ones")
{
    const auto parse = [](std::string_view good, std::string_view bad) {
        std::string text(configuration);
        text.replace(text.find(good), good.size(), bad);
        const auto change = platform::decodeItem("op/config", text);
        return std::get<TablePublished>(*change).table;
    };
    constexpr Duration longest = std::chrono::hours(24);
    const std::string_view timeout = R"("timeout_ms":1500)";
    CHECK(parse(timeout, R"("timeout_ms":9223372036854775807)")->find("a.example", "/x/1")->timeout == longest);
    CHECK(parse(timeout, R"("timeout_ms":-1)")->find("a.example", "/x/1")->timeout == Duration::zero());
    CHECK(parse(R"("latency_goal_ms":100)", R"("latency_goal_ms":9223372036854775807)")->find("a.example", "/x/1")->latencyGoal == longest);
    CHECK(parse(R"("warmup_s":3.0)", R"("warmup_s":1e300)")->findService("s1")->warmUp == longest);
    CHECK(parse(R"("warmup_per_s":0.5)", R"("warmup_per_s":-1)")->findService("s1")->coldRequestsPerSecond == 0);
    CHECK(parse(R"("max_body_bytes":262144)", R"("max_body_bytes":-1)")->limits().maxBodyBytes == ListenerLimits{}.maxBodyBytes);
    const std::string_view weight = R"("weight":3)";
    const auto weightOf = [](const RoutingTablePtr &table) {
        return std::get<SplitDestination>(table->find("a.example", "/x/y/1")->destination).services.front().weight;
    };
    CHECK(weightOf(parse(weight, R"("weight":-3)")) == 0);
    CHECK(std::isfinite(weightOf(parse(weight, R"("weight":1e308)")) * 1e6));
    std::string entry(target);
    entry.replace(entry.find("1200"), 4, "9223372036854775807");
    CHECK(std::get<TargetPublished>(*platform::decodeItem("servers/i-1", entry)).entry.coldLeft == longest);
    std::string immense(configuration);
    immense.replace(immense.find("1500"), 4, "18446744073709551615");
    CHECK(std::holds_alternative<DecodeFailure>(*platform::decodeItem("op/config", immense)));
}

TEST_CASE("platform: mutated values are decoded or a decode failure")
{
    std::mt19937 random(7);
    for (int round = 0; round < 3'000; ++round) {
        std::string value(round % 2 == 0 ? configuration : target);
        for (int change = 0; change < 3; ++change) {
            value[random() % value.size()] = static_cast<char>(random() % 256);
        }
        const auto decoded = platform::decodeItem(round % 2 == 0 ? "op/config" : "servers/i-1", value);
        CHECK(decoded.has_value());
    }
}

TEST_CASE("platform: a full read fetches page after page and returns the first page's revision")
{
    StoreFixture fixture;
    fixture.store.answers = {
        fmt::format(R"({{"items":[{{"key":"servers/i-1","value":"{}","rev":3}}],"truncated":true,"store_revision":9}})", toBase64(target)),
        R"({"items":[{"key":"servers/i-2","value":"!!","rev":3}],"truncated":false,"store_revision":12})"};
    const DiscoveryReadResult readResult = fixture.readAll(Freshness::StaleAllowed);
    CHECK_FALSE(readResult.error);
    CHECK(readResult.position.revision == 9);
    REQUIRE(readResult.changes.size() == 2);
    CHECK(std::get<TargetPublished>(readResult.changes[0]).entry.id == "i-1");
    CHECK(std::holds_alternative<DecodeFailure>(readResult.changes[1]));
    REQUIRE(fixture.store.paths.size() == 2);
    CHECK(fixture.store.paths[0].find("stale_ok=1") != std::string::npos);
    CHECK(fixture.store.paths[1].find("after=servers/i-1") != std::string::npos);
}

// Guards against changes of a restored store that are taken for those that follow the revision of a lost history.
TEST_CASE("platform: responses name the era of their revision")
{
    StoreFixture fixture;
    fixture.store.answers = {R"({"items":[],"truncated":false,"store_revision":9})"};
    CHECK(fixture.readAll().position == StatePosition{0, 9});
    fixture.store.eras = {"3"};
    const DiscoveryReadResult full = fixture.readAll();
    CHECK(full.position == StatePosition{3, 9});
    CHECK(full.complete);
    fixture.store.answers = {R"({"events":[],"store_revision":10})"};
    DiscoveryReadResult changes;
    fixture.source.watch({2, 9}, std::chrono::seconds(1), [&changes](const DiscoveryReadResult &result) { changes = result; });
    fixture.time.runUntil(fixture.time.now() + std::chrono::seconds(1));
    CHECK(changes.position == StatePosition{3, 10});
    CHECK_FALSE(changes.complete);
}

TEST_CASE("platform: a malformed era is an error, and so is a missing one after others")
{
    StoreFixture fixture;
    fixture.store.answers = {R"({"items":[],"truncated":false,"store_revision":9})"};
    for (const char *era : {"", "x", "-1", "1.5", "2 ", "99999999999999999999"}) {
        fixture.store.eras = {era};
        CHECK(fixture.readAll().error);
    }
    fixture.store.eras = {"2"};
    CHECK_FALSE(fixture.readAll().error);
    fixture.store.eras = {};
    CHECK(fixture.readAll().error);
}

// Guards against a state that mixes two histories, of which neither was ever published.
TEST_CASE("platform: a full read whose pages are of two eras fails")
{
    StoreFixture fixture;
    fixture.store.answers = {
        fmt::format(R"({{"items":[{{"key":"servers/i-1","value":"{}","rev":3}}],"truncated":true,"store_revision":9}})", toBase64(target)),
        R"({"items":[],"truncated":false,"store_revision":12})"};
    fixture.store.eras = {"1", "2"};
    CHECK(fixture.readAll().error);
}

TEST_CASE("platform: a full read fails if a page begins at or before the key after which it was to begin")
{
    const auto item = [](const std::string &key) { return fmt::format(R"({{"key":"{}","value":"e30=","rev":3}})", key); };
    const auto page
        = [](const std::string &items) { return fmt::format(R"({{"items":[{}],"truncated":true,"store_revision":9}})", items); };
    for (const char *next : {"servers/b", "servers/a", "op/config"}) {
        INFO(next);
        StoreFixture fixture;
        fixture.store.answers = {page(item("servers/b")), page(item(next) + "," + item("servers/z")), R"({"items":[],"store_revision":9})"};
        CHECK(fixture.readAll().error);
        CHECK(fixture.store.paths.size() == 2);
    }
    StoreFixture fixture;
    fixture.store.answers = {page(item("servers/b")), page(item("servers/ba")), R"({"items":[],"store_revision":9})"};
    CHECK_FALSE(fixture.readAll().error);
    CHECK(fixture.store.paths.size() == 3);
}

// Guards against the cost of decoding each of many large versions, which held up callers while a host caught up.
TEST_CASE("platform: of several events for a key in one response only the last is decoded")
{
    StoreFixture fixture;
    std::string newer(configuration);
    newer.replace(newer.find("\"version\":7"), 11, "\"version\":9");
    fixture.store.answers
        = {fmt::format(R"({{"events":[{{"key":"op/config","value":"{}","rev":3}},{{"key":"servers/i-1","value":"{}","rev":4}},)"
                       R"({{"key":"op/config","value":"{}","rev":5}},{{"key":"servers/i-1","rev":6,"tombstone":true}},7],)"
                       R"("store_revision":6}})",
                       toBase64(configuration),
                       toBase64(target),
                       toBase64(newer))};
    DiscoveryReadResult result;
    fixture.source.watch({0, 2}, std::chrono::seconds(1), [&result](const DiscoveryReadResult &readResult) { result = readResult; });
    fixture.time.runUntil(fixture.time.now() + std::chrono::seconds(1));
    CHECK_FALSE(result.error);
    CHECK(result.position.revision == 6);
    CHECK(result.items.size() == 2);
    REQUIRE(result.changes.size() == 3);
    CHECK(std::get<TablePublished>(result.changes[0]).table->version() == 9);
    CHECK(std::get<TargetRemoved>(result.changes[1]).id == "i-1");
    CHECK(std::holds_alternative<DecodeFailure>(result.changes[2]));
}

// Guards against a field of another type than expected, which ended the process.
TEST_CASE("platform: a page whose end is not stated as true or false is an error")
{
    for (const char *truncated : {"1", "\"true\"", "null", "[]"}) {
        INFO(truncated);
        StoreFixture fixture;
        fixture.store.answers = {fmt::format(R"({{"items":[],"store_revision":6,"truncated":{}}})", truncated)};
        CHECK(fixture.readAll().error);
    }
    StoreFixture fixture;
    fixture.store.answers = {R"({"items":[],"store_revision":6})"};
    CHECK_FALSE(fixture.readAll().error);
}

TEST_CASE("platform: malformed responses are errors, and status 410 is a lost history")
{
    StoreFixture fixture;
    for (const char *body : {"", "{}", "[1]", R"({"items":7,"store_revision":1})", R"({"items":[],"store_revision":"x"})"}) {
        fixture.store.answers = {body};
        CHECK(fixture.readAll().error);
    }
    fixture.store.status = 503;
    CHECK(fixture.readAll().error);
    fixture.store.status = 410;
    bool lost = false;
    fixture.source.watch(
        {0, 5}, std::chrono::seconds(1), [&lost](const DiscoveryReadResult &readResult) { lost = readResult.historyLost; });
    fixture.time.runUntil(fixture.time.now() + std::chrono::seconds(1));
    CHECK(lost);
    fixture.network.link("host", "store").cut = true;
    CHECK(fixture.readAll().error);
}

TEST_CASE("platform: a request is forwarded without forged or hop-by-hop headers, and a response to another request is detected")
{
    const auto codec = platform::makeCodec();
    ServiceRequest incoming;
    incoming.method = "POST";
    incoming.target = "/x/1?q=2";
    incoming.body = "bytes";
    incoming.headers = {{"Host", "a.example"},
                        {"X-Magnoliaspan-Request-Id", "id-1"},
                        {"X-Magnoliaspan-Request-Deadline", "1500"},
                        {"X-Magnoliaspan-Target-Instance", "forged"},
                        {"Connection", "keep-alive, X-Once"},
                        {"X-Once", "1"},
                        {"X-Kept", "2"}};
    const ForwardRequest request = codec->decodeRequest(incoming);
    CHECK(request.id == "id-1");
    CHECK(*request.timeLeft == std::chrono::milliseconds(1'500));
    const WireRequest wire = codec->encodeRequest(request, "i-9", std::chrono::milliseconds(700));
    CHECK(wire.method == "POST");
    CHECK(wire.path == "/x/1?q=2");
    CHECK(wire.body == "bytes");
    std::map<std::string, std::string> headers;
    for (const WireHeader &header : wire.headers) {
        CHECK(headers.emplace(header.name, header.value).second);
    }
    CHECK(headers.at("X-Magnoliaspan-Target-Instance") == "i-9");
    CHECK(headers.at("X-Magnoliaspan-Request-Deadline") == "700");
    CHECK(headers.at("X-Kept") == "2");
    CHECK(headers.count("X-Once") == 0);
    CHECK(headers.count("Connection") == 0);
    WireReply reply;
    reply.status = 200;
    CHECK_FALSE(wire.replyFilter(reply));
    reply.headers = {{"X-Magnoliaspan-Request-Id", "id-2"}};
    CHECK_FALSE(wire.replyFilter(reply));
    reply.headers = {{"X-Magnoliaspan-Request-Id", "id-1"}};
    CHECK(wire.replyFilter(reply));
}

// Guards against undefined behaviour by a caller or target that states a time beyond what a Duration can hold.
TEST_CASE("platform: times in headers that are not finite are ignored, and immense ones are cut")
{
    const auto codec = platform::makeCodec();
    for (const char *text : {"inf", "nan", "1e400"}) {
        ServiceRequest incoming;
        incoming.headers = {{"X-Magnoliaspan-Request-Deadline", text}};
        CHECK_FALSE(codec->decodeRequest(incoming).timeLeft);
    }
    ServiceRequest incoming;
    incoming.headers = {{"X-Magnoliaspan-Request-Deadline", "1e300"}};
    CHECK(codec->decodeRequest(incoming).timeLeft == std::chrono::hours(1));
    WireReply reply;
    reply.headers = {{"Keep-Alive", "timeout=1e300"}};
    CHECK(codec->decodeResponse(reply).keepAlive == std::chrono::hours(1));
}

// Guards against signatures of targets that together exceed what one header field can hold, which ended the process.
TEST_CASE("platform: the signatures of a merged response are spread over as many header fields as they need")
{
    const auto codec = platform::makeCodec();
    constexpr std::size_t maxFieldBytes = 65'000;
    constexpr std::size_t shards = 225;
    std::vector<std::string> signatures;
    signatures.reserve(shards);
    for (std::size_t shard = 0; shard < shards; ++shard) {
        signatures.push_back(fmt::format("{}-{}", shard, std::string(4'000, 's')));
    }
    const ServiceReply reply = codec->encodeMergedResponse(signatures, 0, "");
    std::vector<std::string> sent;
    for (const WireHeader &header : reply.headers) {
        CHECK(header.value.size() < maxFieldBytes);
        if (header.name != "X-Magnoliaspan-Part-Stamps") {
            continue;
        }
        for (const std::string_view part : splitAtCommas(header.value)) {
            sent.emplace_back(part.substr(part.find_first_not_of(' ')));
        }
    }
    CHECK(sent == signatures);
    const ServiceReply usual = codec->encodeMergedResponse(std::vector<std::string>{"a", "b"}, 1, "");
    REQUIRE(usual.headers.size() == 2);
    CHECK(usual.headers[0].value == "a, b");
}

TEST_CASE("platform: headers and status of a target's response are decoded")
{
    const auto codec = platform::makeCodec();
    WireReply shed;
    shed.status = 503;
    shed.headers = {{"X-Magnoliaspan-Not-Executed", "1"}, {"Connection", "close"}};
    CHECK(codec->decodeResponse(shed).notRun);
    CHECK(codec->decodeResponse(shed).closesConnection);
    WireReply other;
    other.status = 421;
    CHECK(codec->decodeResponse(other).otherTarget);
    CHECK(codec->decodeResponse(other).notRun);
    WireReply plain;
    plain.status = 503;
    plain.headers = {{"X-Magnoliaspan-Response-Signature", "s"}, {"Keep-Alive", "timeout=5, max=9"}};
    CHECK_FALSE(codec->decodeResponse(plain).notRun);
    CHECK(codec->decodeResponse(plain).keepAlive == std::chrono::seconds(5));
    CHECK(codec->decodeResponse(plain).limit.kind == RequestLimit::Kind::None);
    for (const char *text : {"", "x", "-1", "inf", "nan"}) {
        WireReply limited;
        limited.headers = {{"Server-Limit", text}};
        CHECK(codec->decodeResponse(limited).limit.kind == RequestLimit::Kind::Malformed);
    }
    WireReply limited;
    limited.headers = {{"server-limit", "17.6"}};
    CHECK(codec->decodeResponse(limited).limit.kind == RequestLimit::Kind::Stated);
    CHECK(codec->decodeResponse(limited).limit.perSecond == 17.6);
    WireReply packed;
    packed.status = 200;
    packed.headers = {{"X-Magnoliaspan-Response-Signature", "s"}, {"Content-Encoding", "gzip"}};
    CHECK_FALSE(isSuccess(codec->decodeResponse(packed)));
}

TEST_CASE("platform: a target that leaves says so with one value only, in any response")
{
    const auto codec = platform::makeCodec();
    for (const unsigned status : {200U, 404U, 421U, 500U, 503U}) {
        WireReply reply;
        reply.status = status;
        reply.headers = {{"server-leaving", "1"}};
        CHECK(codec->decodeResponse(reply).leaving);
        for (const char *text : {"", "0", "true", "11", "1, 1", "-1"}) {
            reply.headers = {{"Server-Leaving", text}};
            CHECK_FALSE(codec->decodeResponse(reply).leaving);
        }
        reply.headers = {};
        CHECK_FALSE(codec->decodeResponse(reply).leaving);
    }
}

TEST_CASE("platform: the pause that a refusal asks for is bounded, and anything but a number of seconds is malformed")
{
    const auto codec = platform::makeCodec();
    const auto pauseOf = [&codec](std::vector<std::string> values, unsigned status = 503) {
        WireReply reply;
        reply.status = status;
        for (std::string &value : values) {
            reply.headers.push_back({"Retry-After", std::move(value)});
        }
        return codec->decodeResponse(reply).pause;
    };
    CHECK(pauseOf({"1.5"}).duration == std::chrono::milliseconds(1'500));
    CHECK(pauseOf({"0"}).kind == RequestedPause::Kind::Stated);
    CHECK(pauseOf({"0"}).duration == Duration::zero());
    CHECK(pauseOf({}).kind == RequestedPause::Kind::None);
    CHECK(pauseOf({"2"}, 200).kind == RequestedPause::Kind::None);
    for (const char *text : {"1e9", "1e308", "99999999999999999999"}) {
        CHECK(pauseOf({text}).duration == std::chrono::hours(1));
    }
    for (const char *text : {"", "-1", "nan", "inf", "1e999", "x", "1,5", "2 s", "Fri, 04 Dec 2026 23:59:59 GMT", "04 Dec 2026"}) {
        CAPTURE(text);
        CHECK(pauseOf({text}).kind == RequestedPause::Kind::Malformed);
        CHECK_FALSE(pauseOf({text}).malformed.empty());
    }
    CHECK(pauseOf({std::string(100'000, '9') + "x"}).malformed.size() <= 40);
    CHECK(pauseOf({"1", "3", "2"}).duration == std::chrono::seconds(3));
    CHECK(pauseOf({"soon", "3"}).kind == RequestedPause::Kind::Stated);
    CHECK(pauseOf({"soon", "3"}).malformed == "soon");
}

TEST_CASE("metrics: histograms keep their labels and have buckets")
{
    Counters counters;
    counters.observe("x_seconds{route=\"a\"}", std::chrono::milliseconds(30));
    const std::string text = counters.exposition();
    CHECK(text.find("x_seconds_bucket{route=\"a\",le=\"0.025\"} 0\n") != std::string::npos);
    CHECK(text.find("x_seconds_bucket{route=\"a\",le=\"0.05\"} 1\n") != std::string::npos);
    CHECK(text.find("x_seconds_count{route=\"a\"} 1\n") != std::string::npos);
}
