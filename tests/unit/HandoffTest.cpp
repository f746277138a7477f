/*
 * Unit tests of requests that a host passes to another one because it reaches no target, on the manual clock.
 */
#include "ForwardFixture.h"
#include "Fuzzing.h"
#include "forward/TargetContact.h"
#include "handoff/HandoffController.h"
#include "handoff/HandoffMessages.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// How the links between a host and its targets fail.
enum class Cut {
    Hang,           ///< Nothing arrives in either direction.
    RefuseConnects, ///< New connections are refused, old ones live on.
};

/// The host of the fixture and another one, in its zone or in the other region, with the same targets.
class TwoHosts : public ForwardFixture
{
public:
    explicit TwoHosts(const std::string &peerZone = "here")
        : peerTransport_(network, peerProcess_, "peer", peerZone)
        , peerZone_(peerZone)
    {
    }

    ~TwoHosts()
    {
        // Calls must end before the hosts to which they were made are destroyed.
        host.reset();
        peer.reset();
    }

    TwoHosts(const TwoHosts &) = delete;
    TwoHosts &operator=(const TwoHosts &) = delete;

    void publishToBoth(std::vector<Route> routes)
    {
        publish(std::move(routes));
        ForwardSettings settings;
        settings.host = "peer";
        settings.zone = peerZone_;
        settings.regionOfZone = {{"here", "home"}, {"there", "away"}};
        settings.peerAddress = {"10.0.0.2", 7741};
        settings.peerKey = "key";
        settings.seeds = {{"10.0.0.1", 7741}};
        settings.shutdownAnnounce = seconds(2);
        settings.shutdownLimit = seconds(5);
        settings.watchTime = seconds(5);
        settings.journalLines = 1'000;
        settings.limits = limits;
        peer = std::make_unique<ForwardHost>(
            ForwardHostEnvironment{
                peerProcess_, peerProcess_, peerTransport_, peerDiscovery_, *peerPort_, decoder, codec, [](std::string_view) {}, 2},
            settings);
        peerDiscovery_.publish(published);
        peer->start();
        Node node;
        node.name = "peer";
        node.service = &peer->peerService();
        node.time = &peerProcess_;
        node.zone = peerZone_;
        network.place("10.0.0.2:7741", node);
        Node self;
        self.name = "host";
        self.service = &host->peerService();
        self.time = &process;
        self.zone = "here";
        network.place("10.0.0.1:7741", self);
        run(seconds(3));
    }

    void setCut(const std::string &name, Cut cut, bool active)
    {
        for (const auto &[id, target] : targets) {
            LinkState &link = network.link(name, id);
            (cut == Cut::Hang ? link.cut : link.refused) = active;
        }
    }

    /// Sends a request each \p interval for \p duration, and returns the responses.
    std::vector<std::shared_ptr<CallerResponse>> load(Duration interval, Duration duration)
    {
        std::vector<std::shared_ptr<CallerResponse>> responses;
        for (Duration elapsed{}; elapsed < duration; elapsed += interval) {
            responses.push_back(call("a"));
            run(interval);
        }
        return responses;
    }

    std::unique_ptr<ForwardHost> peer;

private:
    ProcessTime peerProcess_{time, {}};
    FakeTransport peerTransport_;
    std::string peerZone_;
    ScriptedDiscovery peerDiscovery_{peerProcess_, peerProcess_};
    std::unique_ptr<DatagramPort> peerPort_ = datagrams.bind({"10.0.0.2", 7741});
};

/// A host that answers each request that is passed to it, or says that it reaches no target.
class PassedOnService : public Service
{
public:
    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override
    {
        const HandoffCodec codec("key");
        calls += codec.decodeCall(request.body) ? 1 : 0;
        HandoffAnswer answer;
        answer.targetsReachable = reachesTargets;
        answer.reply.status = reachesTargets ? 200 : 503;
        handler({200, "application/octet-stream", codec.encode(answer), true});
        return {};
    }

    bool reachesTargets = true;
    unsigned calls = 0;
};

std::ptrdiff_t countStatus(const std::vector<std::shared_ptr<CallerResponse>> &responses, unsigned status)
{
    return std::count_if(responses.begin(), responses.end(), [status](const auto &response) { return response->status == status; });
}

constexpr Duration requestInterval = std::chrono::milliseconds(40);
// The users' limits hold for a host from this time after the beginning of a cut.
constexpr Duration contactLimit = std::chrono::seconds(5);

} // namespace

// Guards against a host that refuses or loses what another host could serve, for as long as it reaches no target.
TEST_CASE("handoff: pattern host cut off from all targets, callers are served through another host")
{
    const Cut cut = GENERATE(Cut::Hang, Cut::RefuseConnects);
    const bool gather = GENERATE(true, false);
    TwoHosts fixture;
    const auto shards = fixture.addShards("s", 6, 3);
    ShardedDestination toShards;
    toShards.services = shards;
    toShards.topRecords = 5;
    toShards.minimumCoverage = 0.75;
    fixture.publishToBoth({gather ? ForwardFixture::route("a", toShards) : ForwardFixture::route("a", ServiceDestination{"s0"})});
    CHECK(countStatus(fixture.load(requestInterval, seconds(2)), 200) == 50);
    fixture.setCut("host", cut, true);
    fixture.load(requestInterval, contactLimit);
    const auto responses = fixture.load(requestInterval, seconds(4));
    fixture.run(seconds(3));
    // The other host serves all of its own, so that two thirds are the users' limit; all can be served here.
    CHECK(countStatus(responses, 200) == std::ssize(responses));
    fixture.setCut("host", cut, false);
    fixture.run(seconds(1));
    const auto after = fixture.load(requestInterval, seconds(2));
    fixture.run(seconds(1));
    CHECK(countStatus(after, 200) == std::ssize(after));
    if (cut == Cut::Hang) {
        CHECK(fixture.host->metrics().find("magnoliaspan_target_contact_lost_total") != std::string::npos);
    }
}

TEST_CASE("handoff: after the cut the host serves its callers itself again")
{
    TwoHosts fixture;
    fixture.addShards("s", 1, 3);
    fixture.publishToBoth({ForwardFixture::route("a", ServiceDestination{"s0"})});
    fixture.load(requestInterval, seconds(1));
    fixture.setCut("host", Cut::Hang, true);
    fixture.load(requestInterval, seconds(6));
    fixture.setCut("host", Cut::Hang, false);
    fixture.run(seconds(1));
    // Without the other host only this one can serve.
    fixture.setCut("peer", Cut::Hang, true);
    const auto responses = fixture.load(requestInterval, seconds(2));
    fixture.run(seconds(1));
    CHECK(countStatus(responses, 200) == std::ssize(responses));
}

// Guards against callers that wait, or requests that go round, while no host can serve them.
TEST_CASE("handoff: pattern targets unreachable for all hosts, requests are refused at once as not run")
{
    TwoHosts fixture;
    fixture.addShards("s", 4, 3);
    fixture.publishToBoth({ForwardFixture::route("a", ServiceDestination{"s0"})});
    fixture.load(requestInterval, seconds(1));
    fixture.setCut("host", Cut::Hang, true);
    fixture.setCut("peer", Cut::Hang, true);
    fixture.load(requestInterval, contactLimit);
    const auto responses = fixture.load(requestInterval, seconds(2));
    fixture.run(seconds(2));
    unsigned immediate = 0;
    for (const auto &response : responses) {
        CHECK(response->status == 503);
        CHECK_FALSE(response->header("Retry-After").empty());
        immediate += response->took < milliseconds(30) ? 1 : 0;
    }
    // What the other host says is believed for two seconds at most, so that a request now and then asks again.
    CHECK(immediate + 2 >= responses.size());
}

// Guards against work that runs twice, or runs after it was reported as not run.
TEST_CASE("handoff: requests that must not run twice run once at most, and not after a promise that they have not run")
{
    const Cut cut = GENERATE(Cut::Hang, Cut::RefuseConnects);
    TwoHosts fixture;
    fixture.addShards("s", 1, 3);
    fixture.publishToBoth({ForwardFixture::route("a", ServiceDestination{"s0"}, Repeatability::NonIdempotent)});
    fixture.load(requestInterval, seconds(1));
    fixture.setCut("host", cut, true);
    const auto during = fixture.load(requestInterval, seconds(8));
    fixture.setCut("host", cut, false);
    fixture.run(seconds(5));
    std::map<std::string, unsigned> runs;
    for (const auto &[id, target] : fixture.targets) {
        for (const auto &[request, count] : target->runs) {
            runs[request] += count;
        }
    }
    unsigned promised = 0;
    for (const auto &[request, count] : runs) {
        INFO(request);
        CHECK(count == 1);
    }
    for (const auto &response : during) {
        promised += response->status == 503 ? 1 : 0;
    }
    const auto all = during.size() + 25;
    CHECK(runs.size() + promised <= all);
    CHECK(countStatus(during, 200) > std::ssize(during) / 2);
}

TEST_CASE("handoff: a request goes to hosts of the regions that its route allows only")
{
    for (const bool allowed : {true, false}) {
        TwoHosts fixture("there");
        for (const char *id : {"t1", "t2", "t3"}) {
            fixture.addTarget(id, {"s", allowed ? "there" : "here"});
        }
        Route route = ForwardFixture::route("a", ServiceDestination{"s"});
        route.allowedRegions = {allowed ? "away" : "home"};
        fixture.publishToBoth({route});
        fixture.load(requestInterval, seconds(1));
        fixture.setCut("host", Cut::Hang, true);
        fixture.load(requestInterval, contactLimit);
        const auto responses = fixture.load(requestInterval, seconds(2));
        fixture.run(seconds(2));
        CHECK(countStatus(responses, allowed ? 200 : 503) == std::ssize(responses));
    }
}

// Guards against taking slow or silent targets for a cut, and a suspension of the own process for either.
TEST_CASE("handoff: slow targets, some dead targets and a suspended process are no loss of contact")
{
    TwoHosts fixture;
    fixture.addShards("s", 6, 3);
    ShardedDestination toShards;
    toShards.services = {"s0", "s1", "s2", "s3", "s4", "s5"};
    toShards.topRecords = 5;
    toShards.minimumCoverage = 0.75;
    fixture.publishToBoth({ForwardFixture::route("a", toShards)});
    fixture.load(requestInterval, seconds(1));
    SECTION("all targets slow")
    {
        for (const auto &[id, target] : fixture.targets) {
            target->work = milliseconds(400);
        }
        fixture.load(requestInterval, seconds(3));
    }
    SECTION("a third of the targets dead")
    {
        for (const auto &[id, target] : fixture.targets) {
            fixture.network.link("host", id).cut = id.ends_with("-0");
        }
        fixture.load(requestInterval, seconds(5));
    }
    SECTION("process suspended")
    {
        fixture.call("a");
        fixture.run(milliseconds(5));
        fixture.process.freeze(true);
        fixture.run(seconds(3));
        fixture.process.freeze(false);
        fixture.load(requestInterval, seconds(2));
    }
    CHECK(fixture.host->metrics().find("magnoliaspan_target_contact_lost_total") == std::string::npos);
    CHECK(fixture.host->metrics().find("magnoliaspan_handoffs_total") == std::string::npos);
}

// Guards against a host that asks only neighbours, which are cut off like itself.
TEST_CASE("handoff: pattern zone cut off whole, requests are passed to another zone")
{
    ManualTime time;
    ProcessTime process(time, {});
    FakeNetwork network(time);
    FakeTransport transport(network, process, "host", "z");
    FakeDatagrams datagrams(time);
    Counters counters;
    Journal journal(
        process, [](std::string_view) {}, 100);
    const auto port = datagrams.bind({"10.0.0.100", 7741});
    GossipSettings settings;
    settings.self = {"host", "z", {"10.0.0.100", 7741}, 1, HostState::Alive};
    settings.key = "key";
    GossipController gossip(process, process, journal, counters, *port, settings, 1);
    HandoffController handoff({process, process, journal, counters, transport, gossip}, "key", {{"z", "r"}, {"y", "r"}}, 2);
    constexpr unsigned neighbours = 8;
    std::vector<PassedOnService> services(neighbours + 1);
    ProcessTime others(time, {});
    PeerDatagram hello;
    for (unsigned number = 0; number <= neighbours; ++number) {
        services[number].reachesTargets = number == neighbours;
        const Endpoint address{fmt::format("10.0.0.{}", number + 1), 7741};
        hello.members.push_back({fmt::format("h{}", number), number == neighbours ? "y" : "z", address, 1, HostState::Alive});
        Node node;
        node.name = hello.members.back().name;
        node.service = &services[number];
        node.time = &others;
        node.zone = hello.members.back().zone;
        network.place(address.toString(), node);
    }
    hello.sender = hello.members.front();
    datagrams.bind({"10.0.0.50", 7741})->send({"10.0.0.100", 7741}, PeerDatagramCodec("key").encode(hello));
    time.runUntil(time.now() + milliseconds(100));
    REQUIRE(gossip.aliveCount() == neighbours + 1);
    unsigned served = 0;
    constexpr unsigned requests = 20;
    for (unsigned number = 0; number < requests; ++number) {
        HandoffRequest request;
        request.request.id = fmt::format("r{}", number);
        request.goal = time.now() + milliseconds(300);
        request.deadline = time.now() + seconds(2);
        request.services = {"s"};
        handoff.start(request, [&served](const HandoffResult &result) { served += result.reply && result.reply->status == 200 ? 1 : 0; });
        time.runUntil(time.now() + milliseconds(200));
    }
    CHECK(served == requests);
    unsigned inVain = 0;
    for (unsigned number = 0; number < neighbours; ++number) {
        inVain += services[number].calls;
    }
    // Only the first request knows nothing yet.
    CHECK(inVain <= 1);
}

// Guards against a host that stops probing, and so never serves its callers itself again, because of a late response.
TEST_CASE("handoff: contact that is lost is probed until a connect succeeds, whatever responses arrive on old connections")
{
    ManualTime time;
    ProcessTime process(time, {});
    Counters counters;
    Journal journal(
        process, [](std::string_view) {}, 100);
    TargetContact contact(process, process, journal, counters);
    unsigned probes = 0;
    TargetContact::Listener listener;
    listener.probe = [&probes] { ++probes; };
    contact.setListener(std::move(listener));
    for (const char *target : {"t1", "t2", "t3"}) {
        contact.recordSilence(target);
    }
    time.runUntil(time.now() + seconds(1));
    REQUIRE(contact.isLost());
    contact.recordResponse();
    time.runUntil(time.now() + seconds(1));
    const unsigned before = probes;
    time.runUntil(time.now() + seconds(1));
    CHECK(contact.isLost());
    CHECK(probes > before);
    contact.recordConnect();
    CHECK_FALSE(contact.isLost());
    const unsigned last = probes;
    time.runUntil(time.now() + seconds(5));
    CHECK(probes == last);
}

TEST_CASE("handoff: messages keep all bytes, and damaged or wrongly signed ones are refused")
{
    const HandoffCodec codec("key");
    HandoffCall call;
    call.request.id = "r1";
    call.request.method = "POST";
    call.request.target = "/a/x?y=1";
    call.request.host = "h";
    call.request.timeLeft = milliseconds(1'500);
    call.request.headers = {{"X-A", std::string("\xff\x01:5", 4)}, {"X-A", ""}};
    call.request.body = std::string("a\0b:3", 5);
    call.goalLeft = milliseconds(-20);
    const std::string text = codec.encode(call);
    const auto decoded = codec.decodeCall(text);
    REQUIRE(decoded);
    CHECK(decoded->request.body == call.request.body);
    CHECK(decoded->request.timeLeft == call.request.timeLeft);
    CHECK(decoded->goalLeft == call.goalLeft);
    REQUIRE(decoded->request.headers.size() == 2);
    CHECK(decoded->request.headers[0].value == call.request.headers[0].value);
    CHECK_FALSE(HandoffCodec("other").decodeCall(text));
    CHECK_FALSE(codec.decodeAnswer(text));
    for (std::size_t at = 0; at < text.size(); ++at) {
        std::string damaged = text;
        damaged[at] = static_cast<char>(damaged[at] ^ 1);
        CHECK_FALSE(codec.decodeCall(damaged));
        CHECK_FALSE(codec.decodeCall(text.substr(0, at)));
    }
    HandoffAnswer answer;
    answer.reply.status = 200;
    answer.reply.headers = {{"S", "x"}};
    answer.reply.body = "body";
    answer.servicesReachable = false;
    const auto read = codec.decodeAnswer(codec.encode(answer));
    REQUIRE(read);
    CHECK(read->reply.status == 200);
    CHECK(read->reply.body == "body");
    CHECK(read->targetsReachable);
    CHECK_FALSE(read->servicesReachable);
    answer.reply.status = 99;
    CHECK_FALSE(codec.decodeAnswer(codec.encode(answer)));
}
