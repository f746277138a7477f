/*
 * Unit tests of a host that follows the platform's store through DiscoveryController, on the manual clock.
 */
#include "Base64.h"
#include "discovery/DiscoveryController.h"
#include "platform/StoreSource.h"
#include "scenario/FakeNetwork.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A store that holds one key, the configuration. It ends the response to a watch once that holds a megabyte of values.
class ConfigurationStore : public Service
{
public:
    explicit ConfigurationStore(ManualTime &time)
        : time_(time)
    {
    }

    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override
    {
        ++calls;
        if (!available) {
            handler({503, "application/json", "{}"});
            return {};
        }
        if (request.target.starts_with("/api/kv-range")) {
            const std::string item = published_.empty() ? "" : itemOf(lastRevision());
            const std::string body = fmt::format(R"({{"items":[{}],"truncated":false,"store_revision":{}}})", item, lastRevision());
            const std::vector<WireHeader> era{{"Store-Era", "1"}};
            send({200, "application/json", body, false, namesOtherEraInWatches ? era : std::vector<WireHeader>()}, std::move(handler));
            return {};
        }
        constexpr std::string_view after = "after=";
        const std::int64_t revision = std::stoll(request.target.substr(request.target.find(after) + after.size()));
        if (namesOtherEraInWatches) {
            send({200, "application/json", R"({"events":[],"store_revision":9})", false, {{"Store-Era", "2"}}}, std::move(handler));
            return {};
        }
        if (revision < lastRevision()) {
            send(changesSince(revision), std::move(handler));
            return {};
        }
        waiting_ = {revision, std::move(handler)};
        return [this] { waiting_.second = nullptr; };
    }

    /// Publishes a version with \p routeCount routes and notes the time.
    void publish(unsigned routeCount)
    {
        const std::size_t version = published_.size() + 1;
        std::string routes;
        for (unsigned route = 0; route < routeCount; ++route) {
            routes += fmt::format(R"({}{{"name":"r{}","host":"a.example","prefix":"/p{}/","type":"idempotent","timeout_ms":1500,)"
                                  R"("latency_goal_ms":100,"priority":2,"service":"s","max_attempts":2,"allowed_regions":[]}})",
                                  route == 0 ? "" : ",",
                                  route,
                                  route);
        }
        const std::string value = fmt::format(R"({{"version":{},"routes":[{}],"services":[]}})", version, routes);
        published_.push_back({time_.now(), toBase64(value)});
        if (waiting_.second && available) {
            const auto handler = std::move(waiting_.second);
            waiting_.second = nullptr;
            send(changesSince(waiting_.first), handler);
        }
    }

    /// \returns the newest version published at \p instant or before, zero if there is none.
    std::int64_t versionAt(TimePoint instant) const
    {
        return std::count_if(published_.begin(), published_.end(), [instant](const Version &version) { return version.at <= instant; });
    }

    bool available = true;
    bool namesOtherEraInWatches = false; ///< Whether watches are answered at once, and of another era than full reads.
    unsigned calls = 0;
    double bytesPerSecond = 1e9; ///< Of the link on which the responses arrive.

private:
    struct Version {
        TimePoint at;
        std::string value;
    };

    static constexpr std::size_t maxResponseBytes = 1'048'576;

    /// The empty store has revision 1; each version raises it by one.
    std::int64_t lastRevision() const
    {
        return 1 + static_cast<std::int64_t>(published_.size());
    }

    std::string itemOf(std::int64_t revision) const
    {
        constexpr std::int64_t firstRevision = 2;
        const std::string &value = published_.at(static_cast<std::size_t>(revision - firstRevision)).value;
        return fmt::format(R"({{"key":"op/config","value":"{}","rev":{}}})", value, revision);
    }

    void send(ServiceReply reply, ReplyHandler handler)
    {
        const std::chrono::duration<double> transfer(static_cast<double>(reply.body.size()) / bytesPerSecond);
        time_.callAt(time_.now() + std::chrono::duration_cast<Duration>(transfer),
                     [reply = std::move(reply), handler = std::move(handler)] { handler(reply); });
    }

    ServiceReply changesSince(std::int64_t revision) const
    {
        std::string events;
        while (revision < lastRevision() && events.size() < maxResponseBytes) {
            ++revision;
            events += (events.empty() ? "" : ",") + itemOf(revision);
        }
        return {200, "application/json", fmt::format(R"({{"events":[{}],"store_revision":{}}})", events, revision)};
    }

    ManualTime &time_;
    std::vector<Version> published_;
    std::pair<std::int64_t, ReplyHandler> waiting_; // The call that waits for changes after a revision.
};

struct DiscoveryFixture {
    DiscoveryFixture()
    {
        Node node;
        node.name = "store";
        node.service = &store;
        node.time = &process;
        network.place("10.0.0.1:1", node);
        controller.start();
    }

    ~DiscoveryFixture()
    {
        source.cancel();
    }

    DiscoveryFixture(const DiscoveryFixture &) = delete;
    DiscoveryFixture &operator=(const DiscoveryFixture &) = delete;

    void run(Duration duration)
    {
        time.runUntil(time.now() + duration);
    }

    std::int64_t versionInForce() const
    {
        return registry.table() ? registry.table()->version() : 0;
    }

    ManualTime time;
    ProcessTime process{time, {}};
    FakeNetwork network{time};
    FakeTransport transport{network, process, "host", "z"};
    ConfigurationStore store{time};
    std::vector<std::string> log;
    Journal journal{process, [this](std::string_view line) { log.emplace_back(line); }, 100};
    Registry registry{journal};
    platform::StoreSource source{process, process, transport, {"10.0.0.1", 1}};
    DiscoveryController controller{process, process, journal, source, registry, seconds(5), 1};
};

// The shortest limits among the users' sites: on the time until a confirmed version is in force, and on the time after the
// store's return from which on that holds again.
constexpr Duration configurationDelayLimit = std::chrono::seconds(3);
constexpr Duration recoveryLimit = std::chrono::seconds(5);
constexpr Duration publishInterval = std::chrono::milliseconds(700);
// A version of this many routes has about 200 KB, so that five of them fill a response.
constexpr unsigned manyRoutes = 1'400;

} // namespace

// Publishes versions during an outage and after it, and checks the configuration delay from the recovery limit on.
void checkDelayAfterOutage(DiscoveryFixture &fixture, unsigned routeCount)
{
    fixture.store.publish(1);
    fixture.run(seconds(3));
    REQUIRE(fixture.versionInForce() == 1);
    fixture.store.available = false;
    constexpr int versionsDuringOutage = 26;
    for (int version = 0; version < versionsDuringOutage; ++version) {
        fixture.store.publish(routeCount);
        fixture.run(publishInterval);
    }
    fixture.store.available = true;
    const TimePoint returned = fixture.time.now();
    while (fixture.time.now() < returned + seconds(12)) {
        fixture.store.publish(routeCount);
        fixture.run(publishInterval);
        if (fixture.time.now() < returned + recoveryLimit) {
            continue;
        }
        CHECK(fixture.versionInForce() >= fixture.store.versionAt(fixture.time.now() - configurationDelayLimit));
    }
}

// Guards against a host that takes the first part of the pending changes for all of them and falls behind the operator.
TEST_CASE("discovery: pattern large versions after an outage, a confirmed version is in force within the configuration delay")
{
    DiscoveryFixture fixture;
    checkDelayAfterOutage(fixture, manyRoutes);
}

// Guards against a host that reads each version of a backlog over a link on which the newest one arrives in time.
TEST_CASE("discovery: pattern large versions after an outage, a slow link carries the newest version and not each of them")
{
    DiscoveryFixture fixture;
    // The slowest link of the users' hosts has 20 Mbit/s; a version of this many routes has 0.8 MB.
    fixture.store.bytesPerSecond = 2.5e6;
    constexpr unsigned routesOfLargestVersions = 4'000;
    checkDelayAfterOutage(fixture, routesOfLargestVersions);
}

// Guards against calls without a pause while a part of the source is behind.
TEST_CASE("discovery: a source whose responses disagree on the era is not called more than ten times a second")
{
    DiscoveryFixture fixture;
    fixture.store.publish(1);
    fixture.run(seconds(3));
    fixture.store.namesOtherEraInWatches = true;
    fixture.store.publish(1);
    fixture.run(seconds(7));
    const unsigned before = fixture.store.calls;
    fixture.run(seconds(10));
    constexpr unsigned maxCalls = 100;
    CHECK(fixture.store.calls - before > 0);
    CHECK(fixture.store.calls - before <= maxCalls);
}
