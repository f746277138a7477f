/*
 * Unit tests of entries of other writers in the store, under names and with contents that no target has: forwarding hosts with a
 * store, targets and callers on the manual clock, without sockets.
 */
#include "FakeDatagrams.h"
#include "app/ForwardHost.h"
#include "platform/Adapter.h"
#include "scenario/FakeNetwork.h"
#include "standins/StoreModel.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <memory>
#include <nlohmann/json.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Endpoint storeAddress{"10.0.1.1", 1};

std::string headerOf(const std::vector<WireHeader> &headers, std::string_view name)
{
    for (const WireHeader &header : headers) {
        if (sameHeader(header.name, name)) {
            return header.value;
        }
    }
    return "";
}

std::string entryOf(const Endpoint &address)
{
    return fmt::format(R"({{"service":"s","address":"{}","zone":"z","version":"v1","capacity":4,"state":"ready",)"
                       R"("warmup_left_ms":0,"sequence":1,"born":1}})",
                       address.toString());
}

/// \returns a configuration with one route, called \p route, to the service "s".
std::string configurationOf(int version, const std::string &route = "r")
{
    return fmt::format(R"({{"version":{},"routes":[{{"name":{},"host":"h","prefix":"/r/","type":"non_idempotent","timeout_ms":2000,)"
                       R"("latency_goal_ms":500,"priority":1,"service":"s","max_attempts":2,"allowed_regions":[]}}],)"
                       R"("services":[{{"name":"s","max_connections":60,"warmup_s":0,"warmup_per_s":0}}]}})",
                       version,
                       nlohmann::json(route).dump());
}

/// A target that runs requests for its own identifier only.
class IdentifiedTarget : public Service
{
public:
    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override
    {
        requests.push_back(request);
        const std::string requestId = headerOf(request.headers, "X-Magnoliaspan-Request-Id");
        const bool isWanted = headerOf(request.headers, "X-Magnoliaspan-Target-Instance") == id;
        handler({isWanted ? 200U : 421U,
                 "",
                 "done",
                 false,
                 {{"X-Magnoliaspan-Request-Id", requestId}, {"X-Magnoliaspan-Response-Signature", "s." + requestId}}});
        return {};
    }

    std::string id;
    std::vector<ServiceRequest> requests;
};

/// A host as one start of its process.
struct HostProcess {
    HostProcess(ManualTime &time, FakeNetwork &network, FakeDatagrams &datagrams, unsigned number)
        : process(time, {})
        , transport(network, process, nameOf(number), "z")
        , port(datagrams.bind(addressOf(number)))
        , source(platform::makeDiscovery(process, process, transport, storeAddress))
        , host({process,
                process,
                transport,
                *source,
                *port,
                *decoder,
                *codec,
                [this](std::string_view line) { log.emplace_back(line); },
                number + 1},
               settingsOf(number))
    {
        Node node;
        node.name = nameOf(number);
        node.service = &host.peerService();
        node.time = &process;
        node.zone = "z";
        network.place(addressOf(number).toString(), node);
        host.start();
    }

    static std::string nameOf(unsigned number)
    {
        return fmt::format("host{}", number);
    }

    static Endpoint addressOf(unsigned number)
    {
        return {fmt::format("10.0.0.{}", number + 1), 7741};
    }

    static ForwardSettings settingsOf(unsigned number)
    {
        ForwardSettings settings;
        settings.host = nameOf(number);
        settings.zone = "z";
        settings.regionOfZone = {{"z", "home"}};
        settings.peerAddress = addressOf(number);
        settings.peerKey = "key";
        settings.seeds = {addressOf(0), addressOf(1)};
        settings.shutdownAnnounce = seconds(2);
        settings.shutdownLimit = seconds(5);
        settings.watchTime = seconds(5);
        settings.journalLines = 1'000;
        settings.limits.hosts = 1;
        settings.limits.extraSendRatio = 1;
        settings.limits.extraSendSlack = 100;
        return settings;
    }

    /// \returns whether some line of the log contains \p text.
    bool hasLogged(std::string_view text) const
    {
        return std::any_of(log.begin(), log.end(), [text](const std::string &line) { return line.find(text) != std::string::npos; });
    }

    ProcessTime process;
    FakeTransport transport;
    std::unique_ptr<DatagramPort> port;
    std::unique_ptr<DiscoverySource> source;
    std::unique_ptr<ItemDecoder> decoder = platform::makeDecoder();
    std::unique_ptr<ForwardCodec> codec = platform::makeCodec();
    std::vector<std::string> log;
    ForwardHost host;
};

/// Two hosts, a store with a configuration, and two targets "i-1" and "i-2" of the service that its route names.
class OddEntryFixture
{
public:
    OddEntryFixture()
    {
        Node node;
        node.name = "store";
        node.service = &store;
        node.time = &storeTime;
        node.zone = "z";
        network.place(storeAddress.toString(), node);
        store.put("op/config", configurationOf(1));
        addTarget("i-1");
        addTarget("i-2");
    }

    /// Publishes a target under \p id, which is UTF-8.
    IdentifiedTarget &addTarget(const std::string &id)
    {
        const Endpoint address{"10.0.2.1", static_cast<std::uint16_t>(targets_.size() + 1)};
        targets_.push_back(std::make_unique<IdentifiedTarget>());
        targets_.back()->id = id;
        Node node;
        node.name = fmt::format("target{}", targets_.size());
        node.service = targets_.back().get();
        node.time = &storeTime;
        node.zone = "z";
        network.place(address.toString(), node);
        store.put("servers/" + id, entryOf(address));
        return *targets_.back();
    }

    /// Kills all hosts and starts them again.
    void restartHosts()
    {
        hosts.resize(2);
        restartHost(0);
        restartHost(1);
    }

    void restartHost(unsigned number)
    {
        if (hosts[number]) {
            hosts[number]->process.freeze(true);
            stopped_.push_back(std::move(hosts[number]));
        }
        hosts[number] = std::make_unique<HostProcess>(time, network, datagrams, number);
    }

    void run(Duration duration)
    {
        time.runUntil(time.now() + duration);
    }

    /// \returns the status that each of \p count requests to \p host got, in order; 0 for none.
    std::vector<unsigned> call(HostProcess &host, unsigned count = 10)
    {
        std::vector<unsigned> statuses(count, 0);
        for (unsigned number = 0; number < count; ++number) {
            ServiceRequest request;
            request.method = "GET";
            request.target = "/r/x";
            request.headers = {{"Host", "h"},
                               {"X-Magnoliaspan-Request-Id", fmt::format("q{}", ++lastRequest_)},
                               {"X-Magnoliaspan-Request-Deadline", "1500"}};
            host.host.forwardService().handle(std::move(request), [&](const ServiceReply &reply) { statuses[number] = reply.status; });
            run(milliseconds(1'600));
        }
        return statuses;
    }

    /// Checks that all hosts are ready and serve each request.
    void checkServing()
    {
        for (const auto &host : hosts) {
            CHECK(host->host.notReadyReason().empty());
            CHECK(call(*host) == std::vector<unsigned>(10, 200));
        }
    }

    /// \returns the version of the configuration in force on \p host.
    static std::string versionOn(const HostProcess &host)
    {
        constexpr std::string_view name = "magnoliaspan_table_version ";
        const std::string metrics = host.host.metrics();
        const auto start = metrics.find(name) + name.size();
        return metrics.substr(start, metrics.find('\n', start) - start);
    }

    ManualTime time;
    FakeNetwork network{time};
    FakeDatagrams datagrams{time};
    ProcessTime storeTime{time, {}};
    StoreModel store{storeTime, storeTime};
    std::vector<std::unique_ptr<HostProcess>> hosts;

private:
    std::vector<std::unique_ptr<IdentifiedTarget>> targets_;
    std::vector<std::unique_ptr<HostProcess>> stopped_; // Their events may still be under way.
    unsigned lastRequest_ = 0;
};

/// \returns \p line without what stands in quotes, in which a backslash escapes the character behind it.
std::string withoutQuotedValues(std::string_view line)
{
    std::string rest;
    bool isQuoted = false;
    for (std::size_t index = 0; index < line.size(); ++index) {
        if (isQuoted && line[index] == '\\') {
            ++index;
        } else if (line[index] == '"') {
            isQuoted = !isQuoted;
        } else if (!isQuoted) {
            rest += line[index];
        }
    }
    return rest;
}

// Of names that contain characters with a meaning in a query, ones that cannot stand there, and harmless ones.
const std::vector<std::string> oddNames = {"a&b",
                                           "a+b",
                                           "a#b",
                                           "a%41b",
                                           "a%",
                                           "a%zz",
                                           "a b",
                                           " a",
                                           "a ",
                                           "a\tb",
                                           "a\rb",
                                           "a\nb",
                                           std::string("a\0b", 3),
                                           "a\x7f",
                                           "a\x01",
                                           "a\xc3\xa9",
                                           "a\xf0\x9f\x98\x80",
                                           "a&prefix=op/",
                                           "a&after=op/",
                                           "a&stale_ok=1",
                                           "a HTTP/1.1\r\nX-Injected: 1\r\n\r\n",
                                           "a=b?c/d;e,f:g@h~'!$()*-._",
                                           "a\"<>\\^`{|}[]",
                                           std::string(192, 'a')};

// Elements of a list that have no key.
const std::vector<std::string> keylessElements = {"7",
                                                  "null",
                                                  "\"servers/i-15\"",
                                                  "[]",
                                                  "{}",
                                                  R"({"value":"e30=","rev":$REV})",
                                                  R"({"key":"","value":"e30=","rev":$REV})",
                                                  R"({"key":7,"value":"e30=","rev":$REV})",
                                                  R"({"key":null,"value":"e30=","rev":$REV})",
                                                  R"({"key":["servers/i-15"],"value":"e30=","rev":$REV})"};

/// An element that cannot be parsed, with the key under which the store has it.
struct MalformedElement {
    std::string key;
    std::string text;
};

const std::string deeplyNested = std::string(60'000, '[') + std::string(60'000, ']');

const std::vector<MalformedElement> malformedElements = {
    {"op/\xed\xa0\x80", R"({"key":"op/\ud800","value":"e30=","rev":$REV})"},
    {"op/\xed\xb2\x80x", R"({"rev":$REV,"value":"e30=","key":"op/\udc80x"})"},
    {"op/\xff", "{\"key\":\"op/\xff\",\"value\":\"e30=\",\"rev\":$REV}"},
    {"op/\xc3", "{\"key\":\"op/\xc3\",\"value\":\"e30=\",\"rev\":$REV}"},
    {"op/\n", "{\"key\":\"op/\n\",\"value\":\"e30=\",\"rev\":$REV}"},
    {"op/v", "{\"key\":\"op/v\",\"value\":\"\xff\",\"rev\":$REV}"},
    {"op/w", "{\"key\":\"op/w\",\"value\":" + deeplyNested + ",\"rev\":$REV}"},
    {"op/x", R"({"key":"op/x","value":"e30=","rev":1e999})"},
    {"op/y", R"({"key":"op/y","value":nothing,"rev":$REV})"},
    {"op/z", R"({"key":"op/z","value":"\ud800]},{[","rev":$REV})"},
};

} // namespace

// Guards against a host that asks for the same page again and again, or for none that the store accepts, because a name in the
// list became a part of the query for the next page.
TEST_CASE("store: an entry under an odd name at the end of a page keeps no host from serving when all restart")
{
    for (const std::string &name : oddNames) {
        for (const std::string &key : {"servers/" + name, "n" + name, "op/evacuate/" + name}) {
            if (key.size() > 200) {
                continue;
            }
            INFO(key);
            OddEntryFixture fixture;
            fixture.store.pageItems = 1;
            fixture.restartHosts();
            fixture.run(seconds(3));
            fixture.store.put(key, "{}");
            fixture.run(seconds(3));
            fixture.store.calls = 0;
            fixture.restartHosts();
            fixture.run(seconds(8));
            // Two hosts that read four pages and then wait for changes.
            CHECK(fixture.store.calls < 2 * (4 + 5));
            CHECK(fixture.store.malformedCalls == 0);
            for (const auto &host : fixture.hosts) {
                CHECK(host->host.notReadyReason().empty());
                CHECK(fixture.call(*host, 2) == std::vector<unsigned>(2, 200));
            }
        }
    }
}

TEST_CASE("store: a list of more than one page of 500 is read whole, whatever name ends the first page")
{
    for (const std::string name : {"a&b", "a b", "a%", "a+", "a\n"}) {
        INFO(name);
        OddEntryFixture fixture;
        // Sorts behind them, and before the targets.
        for (int number = 0; number < 498; ++number) {
            fixture.store.put(fmt::format("servers/0{:03}", number), "{}");
        }
        fixture.store.put("servers/" + name, "{}");
        fixture.restartHosts();
        fixture.run(seconds(8));
        CHECK(fixture.store.malformedCalls == 0);
        fixture.checkServing();
    }
}

// Guards against a store, or something between it and the host, that does not understand where the next page is to begin.
TEST_CASE("store: a list that does not move on is an error with backoff, and changes nothing")
{
    OddEntryFixture fixture;
    fixture.restartHosts();
    fixture.run(seconds(3));
    fixture.store.pageItems = 2;
    fixture.store.repeatsPages = true;
    fixture.store.dropHistory();
    fixture.run(seconds(2));
    for (const auto &host : fixture.hosts) {
        CHECK(host->hasLogged("discovery lost"));
    }
    const unsigned before = fixture.store.calls;
    fixture.run(seconds(10));
    // Two hosts, each with two pages every 0.75 s, the least backoff after some failures.
    CHECK(fixture.store.calls - before <= 2 * 2 * 14);
    fixture.checkServing();
    fixture.store.repeatsPages = false;
    fixture.store.put("op/config", configurationOf(2));
    fixture.run(seconds(3));
    for (const auto &host : fixture.hosts) {
        CHECK(fixture.versionOn(*host) == "2");
    }
}

// Guards against a page that was taken for the last one because its last element has no key.
TEST_CASE("store: an element without a key at the end of a page hides none of those that follow")
{
    for (const std::string &element : keylessElements) {
        INFO(element);
        OddEntryFixture fixture;
        fixture.store.remove("servers/i-1");
        fixture.store.putElement("op/x", element);
        fixture.store.pageItems = 2;
        fixture.restartHosts();
        fixture.run(seconds(8));
        CHECK(fixture.store.calls < 2 * (4 + 5));
        fixture.checkServing();
    }
}

// Guards against targets that are removed because a list ends before them.
TEST_CASE("store: a list that cannot be continued is an error, and removes nobody")
{
    for (const std::string &element : keylessElements) {
        INFO(element);
        OddEntryFixture fixture;
        fixture.restartHosts();
        fixture.run(seconds(3));
        fixture.store.pageItems = 1;
        fixture.store.putElement("op/x", element);
        fixture.store.dropHistory();
        fixture.run(seconds(4));
        const unsigned before = fixture.store.calls;
        fixture.run(seconds(10));
        CHECK(fixture.store.calls - before <= 2 * 2 * 14);
        for (const auto &host : fixture.hosts) {
            CHECK(host->hasLogged("discovery lost"));
            CHECK_FALSE(host->hasLogged("entry removed"));
            CHECK_FALSE(host->hasLogged("entry lapsed"));
        }
        fixture.checkServing();
    }
}

TEST_CASE("store: a host that starts serves by the part of a list that it could read, and goes on reading")
{
    for (const std::string &element : keylessElements) {
        INFO(element);
        OddEntryFixture fixture;
        fixture.store.pageItems = 1;
        fixture.store.putElement("servers/i-15", element);
        fixture.restartHosts();
        fixture.run(seconds(8));
        fixture.checkServing();
        fixture.store.put("op/config", configurationOf(2));
        fixture.run(seconds(3));
        for (const auto &host : fixture.hosts) {
            CHECK(fixture.versionOn(*host) == "2");
            CHECK_FALSE(host->hasLogged("target=i-2"));
        }
        fixture.store.remove("servers/i-15");
        fixture.run(seconds(3));
        for (const auto &host : fixture.hosts) {
            CHECK(host->hasLogged("target=i-2"));
            CHECK(host->hasLogged("discovery regained"));
        }
    }
}

// Guards against a part of a list that is passed on as the whole.
TEST_CASE("store: a host that cannot read a list to its end reads it from another host")
{
    OddEntryFixture fixture;
    fixture.restartHosts();
    fixture.run(seconds(3));
    fixture.store.pageItems = 1;
    fixture.store.putElement("servers/i-15", "7");
    fixture.restartHost(1);
    fixture.run(seconds(8));
    CHECK(fixture.hosts[1]->hasLogged("target entry applied target=i-2"));
    fixture.restartHost(0);
    fixture.run(seconds(8));
    for (const auto &host : fixture.hosts) {
        CHECK(host->hasLogged("target entry applied target=i-2"));
        CHECK_FALSE(host->hasLogged("entry removed"));
        CHECK_FALSE(host->hasLogged("entry lapsed"));
    }
    fixture.checkServing();
}

// Guards against a response that is refused as a whole for one of its elements.
TEST_CASE("store: an element of a list that cannot be parsed hides no other one")
{
    for (const std::size_t pageItems : {1, 2, 500}) {
        for (const MalformedElement &element : malformedElements) {
            INFO(pageItems << " " << element.text.substr(0, 80));
            OddEntryFixture fixture;
            fixture.store.putElement(element.key, element.text);
            fixture.store.pageItems = pageItems;
            fixture.store.refusesRawBytes = pageItems > 1;
            fixture.restartHosts();
            fixture.run(seconds(8));
            CHECK(fixture.store.calls < 2 * (4 + 5));
            CHECK(fixture.store.malformedCalls == 0);
            for (const auto &host : fixture.hosts) {
                CHECK(host->hasLogged("target=i-2"));
                CHECK_FALSE(host->hasLogged("discovery lost"));
            }
            fixture.checkServing();
        }
    }
}

TEST_CASE("store: the key of an element that cannot be parsed does not decide whether a list moves on")
{
    for (const std::size_t pageItems : {2, 500}) {
        OddEntryFixture fixture;
        fixture.store.putElement("op/x", R"({"key":"a","value":nothing,"rev":$REV})");
        fixture.store.pageItems = pageItems;
        fixture.restartHosts();
        fixture.run(seconds(8));
        for (const auto &host : fixture.hosts) {
            CHECK_FALSE(host->hasLogged("discovery lost"));
        }
        fixture.checkServing();
    }
}

TEST_CASE("store: an event that cannot be parsed or names nothing hides no other one, nor a later one")
{
    std::vector<MalformedElement> elements = malformedElements;
    for (const std::string &element : keylessElements) {
        elements.push_back({"op/x", element});
    }
    for (const MalformedElement &element : elements) {
        INFO(element.text.substr(0, 80));
        OddEntryFixture fixture;
        fixture.restartHosts();
        fixture.run(seconds(3));
        fixture.store.putElement(element.key, element.text);
        fixture.store.put("op/config", configurationOf(2));
        fixture.run(seconds(1));
        fixture.store.put("op/config", configurationOf(3));
        fixture.addTarget("i-3");
        fixture.run(seconds(2));
        for (const auto &host : fixture.hosts) {
            CHECK(fixture.versionOn(*host) == "3");
            CHECK(host->hasLogged("target=i-3"));
            CHECK_FALSE(host->hasLogged("discovery lost"));
        }
        fixture.checkServing();
    }
}

// Guards against fields and requests that a target gets and nobody sent, and against an identifier that arrives as another one.
TEST_CASE("store: a target whose identifier cannot be sent in a header field gets no requests")
{
    const std::vector<std::string> ids = {"a\r\nX-Injected: 1",
                                          "a\r\n\r\nPOST /evil HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
                                          "a\nX-Injected: 1",
                                          "a\rb",
                                          std::string("a\0b", 3),
                                          "a\x01",
                                          "a\x1b[2J",
                                          "a\x7f",
                                          " a",
                                          "a ",
                                          "\ta",
                                          "a\t",
                                          " ",
                                          ""};
    for (const std::string &id : ids) {
        INFO(id);
        OddEntryFixture fixture;
        fixture.restartHosts();
        fixture.run(seconds(3));
        const IdentifiedTarget &byWatch = fixture.addTarget(id);
        fixture.run(seconds(2));
        fixture.checkServing();
        CHECK(byWatch.requests.empty());
        fixture.restartHosts();
        fixture.run(seconds(3));
        fixture.checkServing();
        CHECK(byWatch.requests.empty());
    }
}

TEST_CASE("store: a target gets its identifier as it stands in the store, whatever characters a field can hold")
{
    for (const std::string id :
         {"a&b", "a+b", "a#b", "a%41b", "a%", "a b", "a\tb", "a=b?c/d;e,f:g@h", "a\"b\\c", "a\xc3\xa9", "\xf0\x9f\x98\x80"}) {
        INFO(id);
        OddEntryFixture fixture;
        fixture.store.remove("servers/i-1");
        fixture.store.remove("servers/i-2");
        const IdentifiedTarget &target = fixture.addTarget(id);
        fixture.restartHosts();
        fixture.run(seconds(3));
        fixture.checkServing();
        REQUIRE_FALSE(target.requests.empty());
        for (const ServiceRequest &request : target.requests) {
            CHECK(headerOf(request.headers, "X-Magnoliaspan-Target-Instance") == id);
        }
    }
}

// Guards against a line of the log that somebody else wrote, and against fields of a line that were part of a name.
TEST_CASE("store: names and values of entries stay values of log fields")
{
    const std::vector<std::string> names = {"a\nroute: request ended",
                                            "a\r\nroute: request ended",
                                            "a\x1b[2J",
                                            "a\xc2\x85route: request ended",
                                            "a\xe2\x80\xa8route: request ended",
                                            "a forged=1",
                                            "a\" forged=1 b=\"",
                                            "a\\"};
    for (const std::string &name : names) {
        INFO(name);
        OddEntryFixture fixture;
        fixture.restartHosts();
        fixture.run(seconds(3));
        fixture.store.put("servers/bad" + name, "{}");
        fixture.store.put("op/evacuate/" + name, "{}");
        fixture.addTarget(name);
        std::string entry = entryOf({"10.0.3.1", 1});
        const std::string text = nlohmann::json(name).dump();
        fixture.store.put("servers/zone", entry.replace(entry.find("\"z\""), 3, text));
        fixture.store.put("servers/service", entry.replace(entry.find("\"s\""), 3, text));
        fixture.run(seconds(2));
        fixture.store.remove("servers/" + name);
        fixture.store.remove("op/evacuate/" + name);
        fixture.run(seconds(2));
        for (const auto &host : fixture.hosts) {
            fixture.call(*host, 2);
            CHECK(host->hasLogged("zone evacuated zone="));
            CHECK(host->hasLogged("key=\"servers/bada"));
            for (const std::string &line : host->log) {
                CHECK(std::all_of(line.begin(), line.end(), [](char character) { return character >= ' ' && character <= '~'; }));
                CHECK(withoutQuotedValues(line).find("forged=1") == std::string::npos);
            }
        }
    }
}

// Guards against metrics that somebody else wrote, and against an exposition that no scraper can read.
TEST_CASE("store: the name of a route stays the value of a label")
{
    OddEntryFixture fixture;
    fixture.store.put("op/config", configurationOf(2, "a\"} 1\nforged{b=\"c\\"));
    fixture.restartHosts();
    fixture.run(seconds(3));
    fixture.checkServing();
    for (const auto &host : fixture.hosts) {
        const std::string metrics = host->host.metrics();
        CHECK(metrics.find("\nforged") == std::string::npos);
        CHECK(metrics.find(R"(magnoliaspan_request_seconds_count{route="a\"} 1\nforged{b=\"c\\",status="200"} 10)") != std::string::npos);
        CHECK(metrics.find(R"(magnoliaspan_send_seconds_count{route="a\"} 1\nforged{b=\"c\\"} 10)") != std::string::npos);
    }
}

// Guards against calls without a pause for the same events, or for none.
TEST_CASE("store: a watch that neither waits nor moves on is repeated with a pause")
{
    for (const char *key : {"n/other", "servers/i-1", "op/config"}) {
        INFO(key);
        OddEntryFixture fixture;
        fixture.restartHosts();
        fixture.run(seconds(3));
        fixture.store.repeatsEvents = true;
        fixture.store.put(key, "{}");
        fixture.run(seconds(2));
        const unsigned before = fixture.store.calls;
        fixture.run(seconds(10));
        // Two hosts, each with a call every 300 ms.
        CHECK(fixture.store.calls - before <= 2 * 34);
        fixture.store.repeatsEvents = false;
        fixture.store.put("op/config", configurationOf(2));
        fixture.run(seconds(2));
        for (const auto &host : fixture.hosts) {
            CHECK(fixture.versionOn(*host) == "2");
        }
    }
}

// Each host that cannot reach the store has all of the state from the other one, as that host has it.
TEST_CASE("store: odd entries are passed on to another host without harm")
{
    OddEntryFixture fixture;
    for (const std::string &name : oddNames) {
        fixture.store.put("servers/bad" + name.substr(0, 180), "{}");
        fixture.store.put("n" + name, "{}");
        fixture.store.put("op/evacuate/" + name.substr(0, 180), "{}");
    }
    const IdentifiedTarget &target = fixture.addTarget("a\r\nX-Injected: 1");
    fixture.store.putElement("servers/i-15", "7");
    for (const MalformedElement &element : malformedElements) {
        fixture.store.putElement(element.key, element.text);
    }
    fixture.restartHosts();
    fixture.run(seconds(3));
    fixture.network.link("host1", "store").cut = true;
    SECTION("a host that runs") { }
    SECTION("a host that starts")
    {
        fixture.restartHost(1);
    }
    fixture.run(seconds(10));
    fixture.checkServing();
    fixture.store.put("op/config", configurationOf(2));
    fixture.store.put("servers/later\r\n&", "{}");
    fixture.store.putElement("servers/later\xff", "{\"key\":\"servers/later\xff\",\"value\":\"e30=\",\"rev\":$REV}");
    fixture.addTarget("i-3");
    fixture.store.remove("servers/i-2");
    fixture.store.remove("n" + oddNames.front());
    fixture.run(seconds(10));
    for (const auto &host : fixture.hosts) {
        CHECK(fixture.versionOn(*host) == "2");
        CHECK(host->hasLogged("target=i-3"));
    }
    CHECK(fixture.hosts[0]->hasLogged("target entry removed target=i-2"));
    // What is missing while the store is lost may only have lapsed.
    CHECK(fixture.hosts[1]->hasLogged("target entry lapsed, kept during the grace period target=i-2"));
    fixture.checkServing();
    CHECK(target.requests.empty());
}

TEST_CASE("store: a list that is read again after a lost history is read past odd entries")
{
    for (const std::string &name : oddNames) {
        INFO(name);
        OddEntryFixture fixture;
        fixture.restartHosts();
        fixture.run(seconds(3));
        fixture.store.pageItems = 1;
        fixture.store.put("op/" + name, "{}");
        fixture.store.put("servers/" + name, "{}");
        fixture.run(seconds(2));
        fixture.store.calls = 0;
        fixture.store.dropHistory();
        fixture.run(seconds(4));
        CHECK(fixture.store.calls < 2 * (5 + 5));
        CHECK(fixture.store.malformedCalls == 0);
        fixture.checkServing();
        for (const auto &host : fixture.hosts) {
            CHECK_FALSE(host->hasLogged("discovery lost"));
            CHECK_FALSE(host->hasLogged("entry removed"));
        }
    }
}
