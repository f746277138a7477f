/*
 * Unit tests of hosts that read the published state from each other, on the manual clock.
 */
#include "ForwardFixture.h"
#include "Fuzzing.h"
#include "core/Hmac.h"
#include "discovery/DiscoveryController.h"
#include "relay/RelayService.h"
#include "relay/RelaySource.h"
#include "transport/TransportError.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Decodes an item with the key "zone:ZONE" as an evacuation and each other one as a target with the item's key as its id.
class TargetDecoder : public ItemDecoder
{
public:
    std::optional<DiscoveryChange> decode(const PublishedItem &item) const override
    {
        constexpr std::string_view zonePrefix = "zone:";
        if (item.key.starts_with(zonePrefix)) {
            return ZoneEvacuation{item.key.substr(zonePrefix.size()), item.encoded.has_value()};
        }
        if (!item.encoded) {
            return TargetRemoved{item.key};
        }
        TargetEntry entry;
        entry.id = item.key;
        entry.service = *item.encoded;
        return TargetPublished{entry};
    }
};

/// The published state.
class Publisher
{
public:
    void put(const std::string &key)
    {
        items_[key] = {key, ++revision, "s"};
    }

    void remove(const std::string &key)
    {
        items_[key] = {key, ++revision, std::nullopt};
    }

    DiscoveryReadResult since(std::int64_t after) const
    {
        DiscoveryReadResult result;
        result.position = {era, revision};
        result.complete = after == 0;
        for (const auto &[key, item] : items_) {
            if (item.revision > after && (after > 0 || item.encoded)) {
                result.items.push_back(item);
                result.changes.push_back(*TargetDecoder().decode(item));
            }
        }
        return result;
    }

    /// Goes back to \p copy, as a new era; the revisions after it are given out again.
    void restore(const Publisher &copy)
    {
        const std::int64_t before = era;
        *this = copy;
        era = before + 1;
    }

    std::int64_t era = 1;
    std::int64_t revision = 1;

private:
    std::map<std::string, PublishedItem> items_;
};

/// A host's own connection to the publisher.
class DirectSource : public DiscoverySource
{
public:
    DirectSource(ProcessTime &time, const Publisher &publisher)
        : time_(time)
        , publisher_(publisher)
    {
    }

    void readAll(Freshness, Handler handler) override
    {
        ++calls;
        if (silent) {
            callLater(responseTimeout, [handler] { handler(failure(TransportError::Silent)); });
            return;
        }
        callLater(milliseconds(5), [this, handler] { handler(failing ? failure() : publisher_.since(0)); });
    }

    void watch(const StatePosition &after, Duration wait, Handler handler) override
    {
        ++calls;
        changesSuppressed_ = false;
        if (silent) {
            callLater(wait + responseTimeout, [handler] { handler(failure(TransportError::Silent)); });
            return;
        }
        poll(after.revision, time_.now() + wait, handler);
    }

    void cancel() override
    {
        ++generation_;
    }

    /// The running watch receives no more changes and times out as if there were none.
    void suppressChanges()
    {
        changesSuppressed_ = true;
    }

    bool failing = false; ///< Whether calls fail.
    bool silent = false;  ///< Whether new calls get no response, until they time out.
    unsigned calls = 0;

private:
    static constexpr Duration responseTimeout = std::chrono::milliseconds(1'500);

    static DiscoveryReadResult failure(std::error_code error = std::make_error_code(std::errc::connection_refused))
    {
        DiscoveryReadResult result;
        result.error = error;
        return result;
    }

    void callLater(Duration delay, const std::function<void()> &action)
    {
        time_.callAt(time_.now() + delay, [this, action, generation = generation_] {
            if (generation == generation_) {
                action();
            }
        });
    }

    void poll(std::int64_t revision, TimePoint until, const Handler &handler)
    {
        callLater(milliseconds(5), [this, revision, until, handler] {
            if (revision > publisher_.revision && !failing) {
                DiscoveryReadResult result;
                result.historyLost = true;
                handler(result);
                return;
            }
            const bool changed = publisher_.revision > revision && !changesSuppressed_;
            if (failing) {
                handler(failure());
            } else if (changed || time_.now() >= until) {
                DiscoveryReadResult result = changed ? publisher_.since(revision) : DiscoveryReadResult();
                result.position = {publisher_.era, changed ? result.position.revision : revision};
                handler(result);
            } else {
                poll(revision, until, handler);
            }
        });
    }

    ProcessTime &time_;
    const Publisher &publisher_;
    unsigned generation_ = 0;        // Of the running call; raised by cancel().
    bool changesSuppressed_ = false; // Whether the running watch receives no more changes.
};

constexpr Duration watchTime = std::chrono::seconds(5);

struct RelayHost {
    RelayHost(ManualTime &time, FakeDatagrams &datagrams, FakeNetwork &network, const Publisher &publisher, unsigned number)
        : process(time, {})
        , transport(network, process, fmt::format("h{}", number), "z")
        , direct(process, publisher)
        , journal(
              process,
              [this](std::string_view line) { log.emplace_back(line); },
              100)
        , registry(journal)
        , mirror(process)
        , port(datagrams.bind(address(number)))
        , gossip(process, process, journal, counters, *port, gossipSettings(number), number + 1)
        , source({process, process, journal, counters, transport, direct, decoder, gossip, mirror}, "key", number + 1)
        , service(process,
                  process,
                  counters,
                  mirror,
                  "key",
                  [this] {
                      return SourceAccess{source.isSourceRecentlyUnavailable(), source.hasSourceFailed()};
                  })
        , controller(process, process, journal, source, registry, watchTime, number + 1)
    {
        Node node;
        node.name = fmt::format("h{}", number);
        node.service = &service;
        node.time = &process;
        node.zone = "z";
        network.place(address(number).toString(), node);
        Registry::Listener listener;
        listener.readApplied = [this] { gossip.setPosition(mirror.position()); };
        listener.targetChanged = [](const TargetEntry &) {};
        listener.targetRemoved = [](const std::string &) {};
        listener.zoneChanged = [](const std::string &, bool) {};
        registry.setListener(std::move(listener));
        gossip.onPeerPosition([this](const StatePosition &position) { controller.handlePeerPosition(position); });
        gossip.start();
        controller.start();
    }

    static Endpoint address(unsigned number)
    {
        return {fmt::format("10.0.0.{}", number + 1), 7741};
    }

    static GossipSettings gossipSettings(unsigned number)
    {
        GossipSettings settings;
        settings.self = {fmt::format("h{}", number), "z", address(number), 1'000, HostState::Alive};
        settings.seeds = {address(0), address(1)};
        settings.key = "key";
        return settings;
    }

    bool hasTarget(const std::string &target) const
    {
        return registry.targets().contains(target);
    }

    ProcessTime process;
    FakeTransport transport;
    DirectSource direct;
    TargetDecoder decoder;
    Counters counters;
    std::vector<std::string> log;
    Journal journal;
    Registry registry;
    Mirror mirror;
    std::unique_ptr<DatagramPort> port;
    GossipController gossip;
    RelaySource source;
    RelayService service;
    DiscoveryController controller;
};

/// Six hosts of one zone, of which three are readers.
class RelayFixture
{
public:
    RelayFixture()
    {
        publisher.put("t1");
        for (unsigned number = 0; number < 6; ++number) {
            hosts.push_back(std::make_unique<RelayHost>(time, datagrams, network, publisher, number));
        }
        run(seconds(10));
        std::vector<unsigned> callsBefore;
        for (const auto &host : hosts) {
            callsBefore.push_back(host->direct.calls);
        }
        run(seconds(12));
        for (std::size_t number = 0; number < hosts.size(); ++number) {
            (hosts[number]->direct.calls > callsBefore[number] ? readers : followers).push_back(hosts[number].get());
        }
    }

    ~RelayFixture()
    {
        // Calls must end before the hosts to which they were made are destroyed.
        for (const auto &host : hosts) {
            host->source.cancel();
        }
    }

    RelayFixture(const RelayFixture &) = delete;
    RelayFixture &operator=(const RelayFixture &) = delete;

    void run(Duration duration)
    {
        time.runUntil(time.now() + duration);
    }

    bool allHaveTarget(const std::string &target) const
    {
        return std::all_of(hosts.begin(), hosts.end(), [&target](const auto &host) { return host->hasTarget(target); });
    }

    ManualTime time;
    FakeDatagrams datagrams{time};
    FakeNetwork network{time};
    Publisher publisher;
    std::vector<std::unique_ptr<RelayHost>> hosts;
    std::vector<RelayHost *> readers;
    std::vector<RelayHost *> followers;
};

} // namespace

TEST_CASE("relay: three hosts of a zone read from the source, the others from them, and all receive changes within a second")
{
    RelayFixture fixture;
    CHECK(fixture.readers.size() == 3);
    CHECK(fixture.followers.size() == 3);
    CHECK(fixture.allHaveTarget("t1"));
    fixture.publisher.put("t2");
    fixture.run(seconds(1));
    CHECK(fixture.allHaveTarget("t2"));
    fixture.publisher.remove("t1");
    fixture.run(seconds(2));
    for (const auto &host : fixture.hosts) {
        CHECK_FALSE(host->hasTarget("t1"));
    }
}

TEST_CASE("relay: pattern rolling restart, hosts that start in a zone with readers call the source once, for the full read")
{
    RelayFixture fixture;
    for (unsigned number = 6; number < 40; ++number) {
        fixture.hosts.push_back(std::make_unique<RelayHost>(fixture.time, fixture.datagrams, fixture.network, fixture.publisher, number));
    }
    fixture.run(seconds(20));
    unsigned calls = 0;
    constexpr unsigned restarted = 10;
    for (unsigned number = 40; number < 40 + restarted; ++number) {
        fixture.hosts.push_back(std::make_unique<RelayHost>(fixture.time, fixture.datagrams, fixture.network, fixture.publisher, number));
        fixture.run(seconds(3));
        CHECK(fixture.hosts.back()->hasTarget("t1"));
        calls += fixture.hosts.back()->direct.calls;
    }
    // One host in ten may have become a reader, which makes a call or two more.
    CHECK(calls <= restarted + 3);
    fixture.publisher.put("t2");
    fixture.run(seconds(2));
    CHECK(fixture.allHaveTarget("t2"));
}

TEST_CASE("relay: a follower whose reader hangs reads from the source within three seconds, the shortest limit on configuration delay")
{
    RelayFixture fixture;
    for (RelayHost *reader : fixture.readers) {
        reader->process.freeze(true);
    }
    fixture.publisher.put("t2");
    fixture.run(seconds(3));
    for (const RelayHost *follower : fixture.followers) {
        CHECK(follower->hasTarget("t2"));
    }
}

TEST_CASE("relay: a host with a silent connection to the source detects by other hosts' revisions that it is behind")
{
    RelayFixture fixture;
    RelayHost &reader = *fixture.readers.front();
    // Wait until a watch has just started, which would otherwise run for almost five seconds.
    const unsigned callsBefore = reader.direct.calls;
    while (reader.direct.calls == callsBefore) {
        fixture.run(milliseconds(10));
    }
    reader.direct.suppressChanges();
    fixture.publisher.put("t2");
    fixture.run(milliseconds(3'500));
    CHECK(fixture.allHaveTarget("t2"));
}

// Guards against a host that knows from others that it is behind but reads by the same silent path again.
TEST_CASE("relay: a host whose own calls to the source get no response has each change within six seconds, from other hosts")
{
    RelayFixture fixture;
    RelayHost &isolated = *fixture.readers.front();
    isolated.direct.suppressChanges();
    isolated.direct.silent = true;
    std::vector<TimePoint> published;
    for (int change = 0; change < 24; ++change) {
        fixture.publisher.put(fmt::format("c{}", change));
        published.push_back(fixture.time.now());
        fixture.run(milliseconds(900));
        for (std::size_t earlier = 0; earlier < published.size(); ++earlier) {
            if (fixture.time.now() - published[earlier] >= seconds(6)) {
                INFO("change " << earlier << " at change " << change);
                CHECK(isolated.hasTarget(fmt::format("c{}", earlier)));
            }
        }
    }
}

// Guards against calls that hang beyond the return of the source, as the time of a watch is longer than what is left then.
TEST_CASE("relay: after an outage in which no call gets a response, changes are in force within the limits from five seconds on")
{
    for (int phase = 0; phase < 14; ++phase) {
        RelayFixture fixture;
        for (const auto &host : fixture.hosts) {
            host->direct.suppressChanges();
            host->direct.silent = true;
        }
        fixture.run(seconds(8) + milliseconds(500) * phase);
        for (const auto &host : fixture.hosts) {
            host->direct.silent = false;
        }
        fixture.run(seconds(2));
        fixture.publisher.put("t2");
        fixture.run(seconds(3));
        INFO("phase " << phase);
        CHECK(fixture.allHaveTarget("t2"));
    }
}

// Guards against a follower that has access to the source but goes by readers that have none.
TEST_CASE("relay: followers have a change within five seconds after all readers of their zone lost the source")
{
    // At whatever time of the readers' calls.
    const int phase = GENERATE(range(0, 5));
    RelayFixture fixture;
    fixture.run(milliseconds(700) * phase);
    for (RelayHost *reader : fixture.readers) {
        reader->direct.suppressChanges();
        reader->direct.silent = true;
    }
    fixture.publisher.put("t2");
    fixture.run(seconds(5));
    for (const RelayHost *follower : fixture.followers) {
        CHECK(follower->hasTarget("t2"));
    }
}

TEST_CASE("relay: followers have a change within four seconds if their readers' calls fail, or hang from the change on")
{
    const bool fails = GENERATE(true, false);
    const int phase = GENERATE(range(0, 5));
    CAPTURE(fails, phase);
    RelayFixture fixture;
    fixture.run(milliseconds(700) * phase);
    for (RelayHost *reader : fixture.readers) {
        reader->direct.failing = fails;
        reader->direct.silent = !fails;
        if (!fails) {
            // The running watch hangs too.
            reader->direct.cancel();
        }
    }
    fixture.publisher.put("t2");
    // The shortest limit on configuration delay among the users' sites that have followers.
    fixture.run(seconds(4));
    for (const RelayHost *follower : fixture.followers) {
        CHECK(follower->hasTarget("t2"));
    }
}

// Guards against followers that all call a source which is lost to them too, as calls are paid for.
TEST_CASE("relay: while the source is lost to all hosts, a follower calls it every three seconds at most")
{
    RelayFixture fixture;
    for (const auto &host : fixture.hosts) {
        host->direct.failing = true;
    }
    std::vector<unsigned> before;
    for (const RelayHost *follower : fixture.followers) {
        before.push_back(follower->direct.calls);
    }
    fixture.run(seconds(10));
    for (std::size_t number = 0; number < before.size(); ++number) {
        CHECK(fixture.followers[number]->direct.calls - before[number] <= 4);
    }
}

TEST_CASE("relay: a follower that lost the source itself makes no calls while its reader has it")
{
    RelayFixture fixture;
    for (const auto &host : fixture.hosts) {
        host->direct.failing = true;
    }
    fixture.run(seconds(8));
    for (RelayHost *reader : fixture.readers) {
        reader->direct.failing = false;
    }
    fixture.run(seconds(6));
    std::vector<unsigned> before;
    for (const RelayHost *follower : fixture.followers) {
        before.push_back(follower->direct.calls);
    }
    fixture.run(seconds(10));
    for (std::size_t number = 0; number < before.size(); ++number) {
        CHECK(fixture.followers[number]->direct.calls == before[number]);
    }
}

// Guards against changes that are lost to the hosts that read from a mirror whose revision is ahead of its content.
TEST_CASE("relay: a full state that is older than the own one is not taken from another host")
{
    RelayFixture fixture;
    for (const auto &host : fixture.hosts) {
        host->direct.failing = true;
    }
    fixture.run(seconds(8));
    RelayHost &ahead = *fixture.hosts.front();
    DiscoveryReadResult newer;
    newer.position = {fixture.publisher.era, fixture.publisher.revision + 5};
    newer.items = {{"t9", newer.position.revision, "s"}};
    ahead.mirror.apply(newer);
    // Calls go to the source and to other hosts by turns.
    for (int call = 0; call < 4; ++call) {
        ahead.source.cancel();
        std::optional<DiscoveryReadResult> result;
        ahead.source.readAll(Freshness::Latest, [&result](const DiscoveryReadResult &read) { result = read; });
        fixture.run(seconds(1));
        REQUIRE(result);
        // Another host may have read the newer state from this one meanwhile.
        CHECK((result->error || result->position >= newer.position));
        CHECK(ahead.mirror.allItems().size() == 2);
    }
}

// Guards against a host that takes a revision of a lost history from another host, and so waits for changes after one that
// the restored source gives out again.
TEST_CASE("relay: pattern source restored from an older copy, a change is in force within the limit at whatever time it follows")
{
    for (int phase = 0; phase < 16; ++phase) {
        RelayFixture fixture;
        const Publisher copy = fixture.publisher;
        fixture.publisher.put("t2");
        fixture.publisher.put("t3");
        fixture.run(seconds(2));
        for (const auto &host : fixture.hosts) {
            host->direct.failing = true;
        }
        fixture.run(seconds(2));
        fixture.publisher.restore(copy);
        fixture.publisher.put("t2");
        for (const auto &host : fixture.hosts) {
            host->direct.failing = false;
        }
        fixture.run(milliseconds(1'500) + milliseconds(250) * phase);
        fixture.publisher.put("t4");
        fixture.run(seconds(3));
        INFO("phase " << phase);
        CHECK(fixture.allHaveTarget("t4"));
    }
}

// Guards against a call that waits for changes after a revision that exists again and means something else.
TEST_CASE("relay: a host that heard nothing of a restore has the new era's state within three seconds, though its revision exists again")
{
    for (const bool isReader : {true, false}) {
        RelayFixture fixture;
        const Publisher copy = fixture.publisher;
        fixture.publisher.put("t2");
        fixture.run(seconds(2));
        RelayHost &host = isReader ? *fixture.readers.front() : *fixture.followers.front();
        // Wait until a watch of a reader has just started, which would otherwise run for almost five seconds.
        const unsigned callsBefore = fixture.readers.front()->direct.calls;
        while (fixture.readers.front()->direct.calls == callsBefore) {
            fixture.run(milliseconds(10));
        }
        fixture.publisher.restore(copy);
        fixture.publisher.put("t3");
        fixture.readers.front()->direct.suppressChanges();
        REQUIRE(host.mirror.position() == StatePosition{1, fixture.publisher.revision});
        // The calls of the other readers are cut by the restore.
        fixture.readers[1]->direct.failing = true;
        fixture.readers[2]->direct.failing = true;
        fixture.run(milliseconds(50));
        fixture.readers[1]->direct.failing = false;
        fixture.readers[2]->direct.failing = false;
        fixture.run(seconds(3));
        INFO("reader " << isReader);
        CHECK(host.hasTarget("t3"));
        CHECK(host.mirror.position().era == 2);
        CHECK(fixture.allHaveTarget("t3"));
    }
}

// Guards against followers whose readers still report the outage, which prolongs the grace period for lapsed entries.
TEST_CASE("relay: pattern restored copy, an evacuation is in force at all hosts within five seconds though an earlier one had ended")
{
    RelayFixture fixture;
    fixture.publisher.put("zone:z");
    fixture.run(seconds(1));
    const Publisher copy = fixture.publisher;
    fixture.publisher.remove("zone:z");
    fixture.run(seconds(2));
    for (const auto &host : fixture.hosts) {
        host->direct.failing = true;
    }
    fixture.run(milliseconds(300));
    fixture.publisher.restore(copy);
    for (const auto &host : fixture.hosts) {
        host->direct.failing = false;
    }
    fixture.run(seconds(5));
    for (const auto &host : fixture.hosts) {
        CHECK(host->registry.isEvacuated("z"));
    }
}

// Guards against hosts that read again for as long as one host keeps a state of a lost history.
TEST_CASE("relay: positions of an older era, however high, cause no calls")
{
    RelayFixture fixture;
    const Publisher copy = fixture.publisher;
    for (int change = 0; change < 50; ++change) {
        fixture.publisher.put("t2");
    }
    fixture.run(seconds(2));
    const StatePosition old = fixture.hosts.front()->mirror.position();
    fixture.publisher.restore(copy);
    for (const auto &host : fixture.hosts) {
        host->controller.refresh();
    }
    fixture.run(seconds(10));
    std::vector<unsigned> lines;
    for (const auto &host : fixture.hosts) {
        CHECK(host->mirror.position().era == 2);
        lines.push_back(host->direct.calls);
    }
    for (int round = 0; round < 100; ++round) {
        for (const auto &host : fixture.hosts) {
            host->controller.handlePeerPosition(old);
        }
        fixture.run(milliseconds(100));
    }
    // Without changes a reader by which others go calls every 1.8 s; a call for each position would be one more every two seconds.
    constexpr unsigned idleCalls = 6;
    for (std::size_t number = 0; number < lines.size(); ++number) {
        CHECK(fixture.hosts[number]->direct.calls <= lines[number] + idleCalls);
    }
}

TEST_CASE("relay: a host of an older era gets the whole state, and one of a newer era no changes")
{
    ManualTime time;
    ProcessTime process(time, {});
    Counters counters;
    Mirror mirror(process);
    RelayService service(process, process, counters, mirror, "key", [] { return SourceAccess(); });
    DiscoveryReadResult state;
    state.position = {2, 5};
    state.complete = true;
    state.items = {{"a", 3, "x"}, {"b", 5, "y"}};
    mirror.apply(state);
    const RelayCodec codec("key");
    const auto ask = [&](const StatePosition &after) {
        ServiceRequest request;
        request.target = RelayCodec::encode({after, seconds(1)});
        request.authorization = codec.sign(request.target);
        std::optional<DiscoveryReadResult> result;
        service.handle(request, [&](const ServiceReply &reply) { result = codec.decode(reply.body, TargetDecoder()); });
        return result;
    };
    REQUIRE(ask({1, 9}));
    CHECK(ask({1, 9})->complete);
    CHECK(ask({1, 9})->items.size() == 2);
    REQUIRE(ask({3, 1}));
    CHECK_FALSE(ask({3, 1})->complete);
    CHECK(ask({3, 1})->items.empty());
    CHECK(ask({3, 1})->position == StatePosition{2, 5});
    CHECK(ask({2, 4})->historyLost);
    CHECK_FALSE(ask({2, 5}));
    time.runUntil(time.now() + seconds(2));
}

TEST_CASE("relay: a host without access to the source reads from others and does not log the source as regained")
{
    RelayFixture fixture;
    RelayHost &isolated = *fixture.readers.front();
    isolated.direct.failing = true;
    fixture.run(seconds(10));
    fixture.publisher.put("t2");
    fixture.run(seconds(4));
    CHECK(isolated.hasTarget("t2"));
    const auto regained = std::count_if(isolated.log.begin(), isolated.log.end(), [](const std::string &line) {
        return line.find("discovery regained") != std::string::npos;
    });
    CHECK(regained == 0);
}

TEST_CASE("relay: a host with a revision older than the others' history does not log the source as regained")
{
    RelayFixture fixture;
    RelayHost &isolated = *fixture.readers.front();
    isolated.direct.failing = true;
    fixture.run(seconds(8));
    // The other hosts apply a full read, so that their history starts after the isolated host's revision.
    fixture.publisher.put("t2");
    fixture.run(milliseconds(50));
    for (const auto &host : fixture.hosts) {
        if (host.get() != &isolated) {
            host->mirror.apply(fixture.publisher.since(0));
        }
    }
    fixture.run(seconds(10));
    CHECK(isolated.hasTarget("t2"));
    CHECK(std::none_of(isolated.log.begin(), isolated.log.end(), [](const std::string &line) {
        return line.find("discovery regained") != std::string::npos;
    }));
}

TEST_CASE("relay: a host that starts without access to the source reads the whole state from others")
{
    RelayFixture fixture;
    RelayHost late(fixture.time, fixture.datagrams, fixture.network, fixture.publisher, 6);
    late.direct.failing = true;
    fixture.run(seconds(6));
    CHECK(late.hasTarget("t1"));
}

TEST_CASE("relay: followers, too, keep entries that lapsed while the source was unavailable for a grace period")
{
    RelayFixture fixture;
    for (const auto &host : fixture.hosts) {
        host->direct.failing = true;
    }
    fixture.run(seconds(4));
    fixture.publisher.remove("t1");
    for (const auto &host : fixture.hosts) {
        host->direct.failing = false;
    }
    fixture.run(seconds(2));
    CHECK(fixture.allHaveTarget("t1"));
    fixture.run(seconds(8));
    for (const auto &host : fixture.hosts) {
        CHECK_FALSE(host->hasTarget("t1"));
    }
}

TEST_CASE("relay: the mirror returns changes since a revision, or none before the start of its history")
{
    ManualTime time;
    Mirror mirror(time);
    CHECK(mirror.empty());
    DiscoveryReadResult result;
    result.position = {1, 5};
    result.complete = true;
    result.items = {{"a", 3, "x"}, {"b", 5, "y"}};
    mirror.apply(result);
    CHECK_FALSE(mirror.changesSince(4));
    CHECK(mirror.changesSince(5)->empty());
    result.position = {1, 7};
    result.complete = false;
    result.items = {{"a", 6, std::nullopt}, {"b", 7, "z"}};
    mirror.apply(result);
    REQUIRE(mirror.changesSince(5)->size() == 2);
    CHECK(mirror.changesSince(5)->front().key == "a");
    CHECK(mirror.changesSince(6)->size() == 1);
    CHECK(mirror.allItems().size() == 1);
    time.runUntil(time.now() + seconds(3));
    CHECK(mirror.age() == seconds(3));
}

TEST_CASE("relay: damaged, malformed or wrongly signed messages are refused")
{
    const RelayCodec codec("key");
    const TargetDecoder decoder;
    DiscoveryReadResult result;
    result.position = {2, 5};
    result.complete = true;
    result.sourceRecentlyUnavailable = true;
    result.age = milliseconds(300);
    result.items = {{"a", 3, "x"}, {"b", 5, std::nullopt}};
    const std::string text = codec.encode(result);
    const auto read = codec.decode(text, decoder);
    REQUIRE(read);
    CHECK(read->changes.size() == 2);
    CHECK(read->position == result.position);
    CHECK(read->complete);
    CHECK(read->sourceRecentlyUnavailable);
    CHECK(read->age == milliseconds(300));
    CHECK_FALSE(read->items.at(1).encoded);
    CHECK_FALSE(RelayCodec("other").decode(text, decoder));
    for (std::size_t at = 0; at < text.size(); ++at) {
        std::string damaged = text;
        damaged[at] = static_cast<char>(damaged[at] ^ 1);
        CHECK_FALSE(codec.decode(damaged, decoder));
        CHECK_FALSE(codec.decode(text.substr(0, at), decoder));
    }
    CHECK(RelayCodec::decodeRequest("/published")->after == std::nullopt);
    const auto request = RelayCodec::decodeRequest(RelayCodec::encode({StatePosition{3, 7}, seconds(2)}));
    CHECK(request->wait == seconds(2));
    CHECK(request->after == StatePosition{3, 7});
    for (const char *bad : {"",
                            "/",
                            "/published?after=",
                            "/published?after=x&era=1&wait_ms=1",
                            "/published?after=1&era=1&wait_ms=-1",
                            "/published?after=1&era=1",
                            "/published?after=1&wait_ms=1",
                            "/published?after=1&wait_ms=1&era=1",
                            "/published?after=1&era=-1&wait_ms=1",
                            "/published?after=1&era=&wait_ms=1"}) {
        CHECK_FALSE(RelayCodec::decodeRequest(bad));
    }
}

TEST_CASE("relay: responses of hosts of release 463ba33 are read, and say nothing of their access to the source")
{
    // As sent by that release.
    const std::string body = R"({"age_ms":300,"complete":false,"era":2,"history_lost":false,)"
                             R"("items":[{"key":"a","revision":3,"value":"x"}],"revision":5,"unsettled":true})";
    const auto read = RelayCodec("key").decode(hmacSha256("key", body) + " " + body, TargetDecoder());
    REQUIRE(read);
    CHECK(read->position == StatePosition{2, 5});
    CHECK(read->sourceRecentlyUnavailable);
    CHECK_FALSE(read->sourceUnreachable);
    CHECK(read->items.size() == 1);
}

TEST_CASE("relay: responses keep the fields that hosts of release 463ba33 read")
{
    DiscoveryReadResult result;
    result.position = {2, 5};
    result.sourceUnreachable = true;
    const std::string text = RelayCodec("key").encode(result);
    const auto fields = nlohmann::json::parse(text.substr(text.find(' ') + 1));
    for (const char *number : {"era", "revision", "age_ms"}) {
        CHECK(fields.at(number).is_number_integer());
    }
    for (const char *flag : {"complete", "history_lost", "unsettled"}) {
        CHECK(fields.at(flag).is_boolean());
    }
    CHECK(fields.at("items").is_array());
    CHECK(RelayCodec("key").decode(text, TargetDecoder())->sourceUnreachable);
}

TEST_CASE("relay: a request with a wrong signature is refused with status 403")
{
    RelayFixture fixture;
    ServiceRequest request;
    request.method = "GET";
    request.target = "/published";
    unsigned status = 0;
    fixture.hosts.front()->service.handle(request, [&status](const ServiceReply &reply) { status = reply.status; });
    CHECK(status == 403);
}

TEST_CASE("relay: mutated responses with a valid hash are refused or decoded")
{
    const RelayCodec codec("key");
    DiscoveryReadResult result;
    result.position = {2, 5};
    result.items = {{"a", 3, "x"}, {"b", 5, std::nullopt}};
    const std::string text = codec.encode(result);
    const std::string body = text.substr(text.find(' ') + 1);
    unsigned refused = 0;
    fuzz(body, 22, [&](const std::string &changed) {
        refused += codec.decode(codec.sign(changed) + " " + changed, TargetDecoder()) ? 0 : 1;
    });
    CHECK(refused > 0);
    CHECK(refused < fuzzRounds);
}
