/*
 * Unit tests of the mean load of all hosts: convergence, partitions, lost datagrams, and samples of other hosts that are wrong.
 */
#include "FakeDatagrams.h"
#include "Fuzzing.h"
#include "core/Hmac.h"
#include "membership/GossipController.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <numeric>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned zoneCount = 6;

class LoadedHosts
{
public:
    explicit LoadedHosts(unsigned count)
        : journal(
            time,
            [](std::string_view) {},
            10)
    {
        for (unsigned host = 0; host < count; ++host) {
            ports.push_back(datagrams.bind(addressOf(host)));
            GossipSettings settings;
            settings.self = {fmt::format("h{}", host), zoneOf(host), addressOf(host), 1'000, HostState::Alive};
            settings.seeds = {addressOf(0), addressOf(1), addressOf(2)};
            settings.key = "key";
            hosts.push_back(
                std::make_unique<GossipController>(time, time, journal, counters, *ports.back(), std::move(settings), host + 1));
            hosts.back()->start();
        }
    }

    static Endpoint addressOf(unsigned host)
    {
        return {fmt::format("10.0.{}.{}", host / 200, host % 200 + 1), 7741};
    }

    static std::string zoneOf(unsigned host)
    {
        return fmt::format("z{}", host % zoneCount);
    }

    // One host in four has ten requests, the others have none, as behind a balancer that selects a host by a hash of the caller.
    void setSkewedLoad()
    {
        for (unsigned host = 0; host < hosts.size(); ++host) {
            hosts[host]->setLoad(host % 4 == 0 ? 11 : 1);
        }
    }

    void run(Duration duration)
    {
        time.runUntil(time.now() + duration);
    }

    double weightSum() const
    {
        return std::accumulate(hosts.begin(), hosts.end(), 0.0, [](double sum, const auto &host) { return sum + host->loadWeight(); });
    }

    ManualTime time;
    FakeDatagrams datagrams{time};
    Journal journal;
    Counters counters;
    std::vector<std::unique_ptr<DatagramPort>> ports;
    std::vector<std::unique_ptr<GossipController>> hosts;
};

} // namespace

TEST_CASE("load average: pattern traffic on few hosts, weights follow the load and add up to the number of hosts")
{
    const unsigned count = GENERATE(7U, 90U, 300U);
    LoadedHosts fixture(count);
    fixture.run(seconds(15));
    CHECK(fixture.hosts.at(0)->loadWeight() == Approx(1));
    fixture.setSkewedLoad();
    fixture.run(seconds(10));
    CHECK(fixture.weightSum() <= 1.1 * count);
    CHECK(fixture.weightSum() >= 0.8 * count);
    for (unsigned host = 0; host < count; ++host) {
        const double expected = (host % 4 == 0 ? 11 : 1) / (count == 7 ? 27.0 / 7 : 3.5);
        CHECK(fixture.hosts[host]->loadWeight() >= 0.6 * expected);
        CHECK(fixture.hosts[host]->loadWeight() <= 1.6 * expected);
    }
}

TEST_CASE("load average: weights add up to the number of hosts while datagrams are lost")
{
    const unsigned count = 90;
    LoadedHosts fixture(count);
    fixture.run(seconds(15));
    unsigned number = 0;
    fixture.datagrams.shouldDeliver = [&number](const Endpoint &, const Endpoint &) { return ++number % 10 != 0; };
    fixture.setSkewedLoad();
    for (int second = 0; second < 20; ++second) {
        fixture.run(seconds(1));
        CHECK(fixture.weightSum() <= 1.2 * count);
    }
    CHECK(fixture.hosts.at(0)->loadWeight() > 2);
}

TEST_CASE("load average: the weights of all hosts stay within the number of hosts while a zone is partitioned")
{
    const unsigned count = 90;
    LoadedHosts fixture(count);
    fixture.run(seconds(15));
    fixture.setSkewedLoad();
    fixture.run(seconds(10));
    const auto zoneAt
        = [](const Endpoint &address) { return (std::stoul(address.address.substr(address.address.rfind('.') + 1)) - 1) % zoneCount; };
    fixture.datagrams.shouldDeliver
        = [zoneAt](const Endpoint &from, const Endpoint &to) { return (zoneAt(from) == 0) == (zoneAt(to) == 0); };
    for (int second = 0; second < 20; ++second) {
        fixture.run(seconds(1));
        CHECK(fixture.weightSum() <= 1.15 * count);
    }
}

TEST_CASE("load average: a host that hears of no other gives up a weight above one")
{
    LoadedHosts fixture(30);
    fixture.run(seconds(15));
    fixture.setSkewedLoad();
    fixture.run(seconds(10));
    REQUIRE(fixture.hosts.at(0)->loadWeight() > 1.5);
    fixture.datagrams.shouldDeliver
        = [](const Endpoint &from, const Endpoint &to) { return from != LoadedHosts::addressOf(0) && to != LoadedHosts::addressOf(0); };
    fixture.run(seconds(15));
    CHECK(fixture.hosts.at(0)->loadWeight() <= 1);
}

TEST_CASE("load average: a suspended host gives up a weight above one when it resumes")
{
    struct BootClock : Clock {
        TimePoint now() const override
        {
            return steady;
        }
        WallTime wallNow() const override
        {
            return {};
        }
        TimePoint bootNow() const override
        {
            return steady + suspended;
        }
        TimePoint steady{seconds(100)};
        Duration suspended{};
    };
    BootClock clock;
    LoadAverage average(clock);
    average.setLoad(8);
    for (int exchange = 0; exchange < 40; ++exchange) {
        clock.steady += milliseconds(250);
        const LoadSample sample = average.startExchange();
        average.completeExchange({sample.epoch, 2});
    }
    REQUIRE(average.weight() > 1.5);
    clock.suspended = seconds(20);
    CHECK(average.weight() <= 1);
}

TEST_CASE("load average: an exchange is not mixed with another, and estimates of other epochs are not merged")
{
    ManualTime time;
    LoadAverage first(time);
    LoadAverage second(time);
    first.setLoad(9);
    second.setLoad(3);
    time.runUntil(time.now() + seconds(4));
    const LoadSample sample = first.startExchange();
    CHECK_FALSE(first.answerExchange({sample.epoch, 5}));
    const auto answer = second.answerExchange(sample);
    REQUIRE(answer);
    CHECK(answer->epoch == sample.epoch);
    first.completeExchange(*answer);
    CHECK(first.startExchange().estimate == Approx(6));
    CHECK(second.startExchange().estimate == Approx(6));
    second.completeExchange({sample.epoch - 1, 100});
    CHECK(second.startExchange().estimate == Approx(6));
}

TEST_CASE("load average: samples outside their range are refused")
{
    const PeerDatagramCodec codec("key");
    PeerDatagram datagram;
    datagram.type = DatagramType::LoadExchange;
    datagram.sender = {"h1", "z1", LoadedHosts::addressOf(1), 1'000, HostState::Alive};
    std::string reason;
    datagram.load = LoadSample{7, 3.5};
    const auto read = codec.decode(codec.encode(datagram), reason);
    REQUIRE(read);
    REQUIRE(read->load);
    CHECK(read->load->epoch == 7);
    CHECK(read->load->estimate == Approx(3.5));
    const auto wrong = GENERATE(LoadSample{7, 0.5}, LoadSample{7, -4}, LoadSample{7, 1e12}, LoadSample{~0ULL, 2});
    datagram.load = wrong;
    CHECK_FALSE(codec.decode(codec.encode(datagram), reason));
    CHECK_FALSE(reason.empty());
    datagram.load.reset();
    CHECK_FALSE(codec.decode(codec.encode(datagram), reason));
}

TEST_CASE("load average: mutated exchanges with a valid hash are refused or decoded within their ranges", "[fuzz]")
{
    const PeerDatagramCodec codec("key");
    PeerDatagram datagram;
    datagram.type = DatagramType::LoadAnswer;
    datagram.sender = {"h1", "z1", LoadedHosts::addressOf(1), 1'000, HostState::Alive};
    datagram.load = LoadSample{7, 3.5};
    unsigned readable = 0;
    fuzz(codec.encode(datagram).substr(33), 22, [&](const std::string &changed) {
        std::string reason;
        const auto read = codec.decode(hmacSha256("key", changed).substr(0, 32) + " " + changed, reason);
        REQUIRE(read.has_value() == reason.empty());
        if (!read) {
            return;
        }
        ++readable;
        const bool exchangesLoad = read->type == DatagramType::LoadExchange || read->type == DatagramType::LoadAnswer;
        REQUIRE(read->load.has_value() == exchangesLoad);
        if (read->load) {
            REQUIRE(read->load->estimate >= LoadAverage::minLoad);
            REQUIRE(read->load->estimate <= LoadAverage::maxLoad);
        }
    });
    CHECK(readable > 0);
}
