/*
 * Benchmarks of an entry host. Measures the CPU time of a subrequest relative
 * to a bare round trip of the same client library, and memory use and control
 * traffic as a function of the number of hosts, targets, shards and changes.
 */
#include "magnoliaspan/entryhost.h"
#include "magnoliaspan/net.h"
#include "peer/PeerCodec.h"
#include "standins/PlatformModel.h"
#include "standins/TargetModel.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <sys/resource.h>
#include <thread>

DEFINE_int32(shards, 58, "number of shards per query (command query)");
DEFINE_int32(queries, 300, "number of measured queries (command query)");

namespace magnoliaspan::bench {

namespace {

using testing::PlatformModel;
using testing::TargetModel;
using testing::TargetTraits;

constexpr std::uint16_t firstPort = 24'000;

/// \returns CPU time used by the calling thread, in seconds.
double threadCpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

std::string targetAddress(unsigned offset)
{
    return fmt::format("127.0.0.1:{}", firstPort + offset);
}

/// Size of an environment with one system, whose seats, targets and shards are distributed evenly.
struct EnvironmentSize {
    unsigned zones = 1;
    unsigned seats = 1;
    unsigned targets = 1;
    unsigned shards = 1;
    unsigned servingTargets = 0; ///< The first targets, which listen on a port; the others get unused addresses.
};

std::string makeDocument(const EnvironmentSize &size, int generation)
{
    std::string text = fmt::format("environment: trial\ngeneration: {}\nzones:\n", generation);
    for (unsigned i = 0; i < size.zones; ++i) {
        text += fmt::format("  - {{name: z{}, region: r{}}}\n", i, i % 3);
    }
    text += "seats:\n";
    for (unsigned i = 0; i < size.seats; ++i) {
        text += fmt::format("  - {{name: s{}, zone: z{}, peer: \"127.0.1.{}:{}\"}}\n", i, i % size.zones, i % 250 + 1, 1'000 + i / 250);
    }
    text += "systems:\n  - name: catalog\n    policy: coverage\n    soft_deadline: 300ms\n    hard_deadline: 2s\n    slots: 64\n    "
            "connections: 128\n"
            "    cold_concurrency: 64\n    warm_after: 1\n    shard_map_generation: 1\n    shards:\n";
    for (unsigned shard = 0; shard < size.shards; ++shard) {
        std::string names;
        for (unsigned target = shard; target < size.targets; target += size.shards) {
            names += (names.empty() ? "t" : ", t") + std::to_string(target);
        }
        if (size.targets < size.shards) {
            names = fmt::format("t{}", shard % size.targets);
        }
        text += fmt::format("      - {{shard: {}, targets: [{}]}}\n", shard, names);
    }
    text += "targets:\n";
    for (unsigned i = 0; i < size.targets; ++i) {
        const std::string address = i < size.servingTargets ? targetAddress(i) : fmt::format("127.0.2.{}:{}", i % 250 + 1, 1'000 + i / 250);
        text += fmt::format("  - {{name: t{}, system: catalog, zone: z{}, address: \"{}\"}}\n", i, i % size.zones, address);
    }
    return text;
}

Settings makeSettings()
{
    Settings settings;
    settings.seat = "s0";
    settings.zone = "z0";
    settings.environment = "trial";
    settings.peerKey = "the key of the trial fleet";
    settings.journalLines = 20'000;
    return settings;
}

/// Runs stand-in targets in a separate thread, so that their CPU time is not counted as that of the entry host.
class TargetThread
{
public:
    explicit TargetThread(unsigned count)
        : loop_(clock_)
        , thread_([this, count] { run(count); })
    {
        while (!ready_) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    ~TargetThread()
    {
        loop_.stop();
        thread_.join();
    }

    TargetThread(const TargetThread &) = delete;
    TargetThread &operator=(const TargetThread &) = delete;

private:
    void run(unsigned count)
    {
        std::vector<std::unique_ptr<TargetModel>> models;
        std::vector<std::unique_ptr<HttpServer>> servers;
        for (unsigned i = 0; i < count; ++i) {
            TargetTraits traits;
            traits.name = fmt::format("t{}", i);
            for (int shard = 0; shard < FLAGS_shards; ++shard) {
                traits.shards.insert(shard);
            }
            traits.slots = 1'000;
            traits.queue = 100'000;
            traits.service = Duration::zero();
            models.push_back(std::make_unique<TargetModel>(clock_, loop_, traits, [] {}));
            servers.push_back(std::make_unique<HttpServer>(loop_, *models.back(), HttpServerLimits{}));
            if (servers.back()->listen(*Endpoint::parse(targetAddress(i)))) {
                std::fprintf(stderr, "cannot listen on %s\n", targetAddress(i).c_str());
            }
        }
        ready_ = true;
        loop_.run();
    }

    SystemClock clock_;
    EventLoop loop_;
    std::atomic<bool> ready_{false};
    std::thread thread_;
};

/// An entry host and a stand-in platform on one event loop.
class HostFixture
{
public:
    explicit HostFixture(const std::string &document)
        : loop(clock)
        , transport(loop)
        , platform(clock, loop)
        , platformServer(loop, platform, {})
    {
        platform.publish(document);
        const Endpoint endpoint{"127.0.0.1", firstPort + 900};
        if (platformServer.listen(endpoint)) {
            std::fprintf(stderr, "cannot listen on %s\n", endpoint.toString().c_str());
        }
        source = std::make_unique<HttpPlatformSource>(clock, loop, transport, endpoint, "trial");
        host = std::make_unique<EntryHost>(EntryHostEnvironment{clock, loop, transport, *source, {}, 1}, makeSettings());
        host->start();
    }

    void runFor(Duration duration)
    {
        loop.callAt(clock.now() + duration, [this] { loop.stop(); });
        loop.run();
    }

    SystemClock clock;
    EventLoop loop;
    HttpTransport transport;
    PlatformModel platform;
    HttpServer platformServer;
    std::unique_ptr<HttpPlatformSource> source;
    std::unique_ptr<EntryHost> host;
};

/// Performs \p count sequential exchanges with the client library alone.
/// \returns CPU time per exchange, in microseconds.
double roundTripMicroseconds(unsigned count)
{
    const SystemClock clock;
    EventLoop loop(clock);
    HttpTransport transport(loop);
    unsigned remaining = count;
    std::unique_ptr<Connection> connection;
    std::function<void()> next = [&] {
        if (remaining-- == 0) {
            loop.stop();
            return;
        }
        connection->exchange({"/v1/state", "", ""}, [&](const WireReply &) { next(); });
    };
    connection = transport.connect(
        *Endpoint::parse(targetAddress(0)), [&](std::error_code) { next(); }, [] {});
    const double begin = threadCpuSeconds();
    loop.run();
    return (threadCpuSeconds() - begin) * 1e6 / count;
}

void searchOnce(HostFixture &fixture, unsigned number, unsigned &complete)
{
    ServiceRequest request;
    request.method = "POST";
    request.target = "/v1/search";
    request.contentType = "application/json";
    request.body = fmt::format(R"({{"system":"catalog","query":"query {}","limit":10}})", number);
    fixture.host->callerService().handle(std::move(request), [&](const ServiceReply &reply) {
        complete += reply.body.find("\"complete\":true") != std::string::npos ? 1 : 0;
        fixture.loop.stop();
    });
    fixture.loop.run();
}

void measureQueries()
{
    const auto shards = static_cast<unsigned>(FLAGS_shards);
    constexpr unsigned targets = 8;
    constexpr unsigned warmUps = 50;
    const TargetThread targetThread(targets);
    HostFixture fixture(makeDocument({1, 1, targets, shards, targets}, 1));
    fixture.runFor(std::chrono::seconds(1));
    unsigned complete = 0;
    for (unsigned i = 0; i < warmUps; ++i) {
        searchOnce(fixture, i, complete);
    }
    complete = 0;
    const double begin = threadCpuSeconds();
    const auto queries = static_cast<unsigned>(FLAGS_queries);
    for (unsigned i = 0; i < queries; ++i) {
        searchOnce(fixture, warmUps + i, complete);
    }
    const double usPerQuery = (threadCpuSeconds() - begin) * 1e6 / queries;
    unsigned connections = 0;
    for (const auto &[name, link] : fixture.host->targets().targets()) {
        connections += link->openConnections();
    }
    const double bareUs = roundTripMicroseconds(queries * 20);
    std::cout << fmt::format("query: shards={} queries={} complete={} cpu_us_per_query={:.0f} cpu_us_per_subrequest={:.1f} "
                             "bare_round_trip_us={:.1f} ratio={:.2f} connections={}\n",
                             shards,
                             queries,
                             complete,
                             usPerQuery,
                             usPerQuery / shards,
                             bareUs,
                             usPerQuery / shards / bareUs,
                             connections);
}

void measureEnvironment(const EnvironmentSize &size)
{
    const std::string document = makeDocument(size, 1);
    const std::size_t before = heapBytes();
    const double cpuBefore = threadCpuSeconds();
    Diagnostics diagnostics;
    const EnvironmentPtr parsed = EnvironmentDocument::parse(document, "bench", diagnostics);
    if (!parsed) {
        std::cout << "memory: " << diagnostics.front().toString() << '\n';
        return;
    }
    const double parseMs = (threadCpuSeconds() - cpuBefore) * 1e3;
    const std::size_t parsedBytes = heapBytes() - before;
    HostFixture fixture(document);
    fixture.runFor(std::chrono::milliseconds(300));
    const std::size_t hostBytes = heapBytes() - before - parsedBytes;
    fixture.runFor(std::chrono::seconds(2));
    const double idleBefore = threadCpuSeconds();
    const std::uint64_t bytesBefore = fixture.host->counters().value("magnoliaspan_peer_bytes_total");
    const std::uint64_t messagesBefore = fixture.host->counters().value("magnoliaspan_peer_messages_total");
    fixture.runFor(std::chrono::seconds(4));
    const double idlePercent = (threadCpuSeconds() - idleBefore) / 4 * 100;
    const auto bytes = static_cast<double>(fixture.host->counters().value("magnoliaspan_peer_bytes_total") - bytesBefore) / 4;
    const auto messages = static_cast<double>(fixture.host->counters().value("magnoliaspan_peer_messages_total") - messagesBefore) / 4;
    std::cout << fmt::format("memory: zones={} seats={} targets={} shards={} document_kb={:.1f} parse_ms={:.1f} parsed_kb={:.0f} "
                             "host_kb={:.0f} idle_core_percent={:.2f} "
                             "peer_bytes_sent_per_s={:.0f} peer_messages_per_s={:.1f}\n",
                             size.zones,
                             size.seats,
                             size.targets,
                             size.shards,
                             static_cast<double>(document.size()) / 1024,
                             parseMs,
                             static_cast<double>(parsedBytes) / 1024,
                             static_cast<double>(hostBytes) / 1024,
                             idlePercent,
                             bytes,
                             messages);
}

void measureMemory()
{
    for (const unsigned targets : {100U, 400U, 1'600U}) {
        measureEnvironment({8, 8, targets, 58});
    }
    for (const unsigned seats : {8U, 32U, 128U, 512U}) {
        measureEnvironment({8, seats, 100, 58});
    }
    for (const unsigned shards : {58U, 232U}) {
        measureEnvironment({1, 1, 232, shards});
    }
}

/// Measures the memory used per idle connection.
void measureConnections()
{
    const TargetThread targetThread(1);
    const SystemClock clock;
    EventLoop loop(clock);
    HttpTransport transport(loop);
    for (const unsigned count : {100U, 200U, 400U}) {
        const std::size_t before = heapBytes();
        std::vector<std::unique_ptr<Connection>> open(count);
        unsigned remaining = count;
        for (auto &connection : open) {
            connection = transport.connect(
                *Endpoint::parse(targetAddress(0)),
                [&](std::error_code error) {
                    if (error) {
                        loop.stop();
                        return;
                    }
                    connection->exchange({"/v1/state", "", ""}, [&](const WireReply &) {
                        if (--remaining == 0) {
                            loop.stop();
                        }
                    });
                },
                [] {});
        }
        loop.run();
        // The figure includes both ends, since the target runs in the same process.
        std::cout << fmt::format(
            "connections: count={} kb_each_both_ends={:.1f}\n", count, static_cast<double>(heapBytes() - before) / 1024 / count);
    }
}

/// Measures size and CPU time of the control messages between hosts.
void measureControlMessages()
{
    PeerState state;
    state.seat = "north-1";
    state.digest = std::string(32, 'a');
    state.startedAt = 1'800'000'000'000;
    state.generation = 123'456;
    PeerDispatcher dispatcher({[&state](const PeerState &) { return state; }, [] { return std::string(); }});
    for (const unsigned systems : {1U, 4U, 16U}) {
        state.snapshots.clear();
        for (unsigned i = 0; i < systems; ++i) {
            state.snapshots[fmt::format("system-{}", i)] = 1'000 + i;
        }
        constexpr int rounds = 2'000;
        const std::string request = PeerCodec::encodeHello(state);
        const std::string reply = dispatcher.dispatch(request);
        const double begin = threadCpuSeconds();
        for (int i = 0; i < rounds; ++i) {
            PeerCodec::decodeState(dispatcher.dispatch(PeerCodec::encodeHello(state)));
        }
        const double usPerExchange = (threadCpuSeconds() - begin) * 1e6 / rounds;
        std::cout << fmt::format("control: systems={} request_bytes={} reply_bytes={} cpu_us_per_exchange_both_ends={:.0f}\n",
                                 systems,
                                 request.size(),
                                 reply.size(),
                                 usPerExchange);
    }
}

int run(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string command = argc == 2 ? argv[1] : "";
    if (command == "query") {
        measureQueries();
    } else if (command == "memory") {
        measureMemory();
    } else if (command == "connections") {
        measureConnections();
    } else if (command == "control") {
        measureControlMessages();
    } else {
        std::cerr << "usage: magnoliaspan-bench query|memory|connections|control\n";
        return 2;
    }
    return 0;
}

} // namespace

} // namespace magnoliaspan::bench

int main(int argc, char **argv)
{
    return magnoliaspan::bench::run(argc, argv);
}
