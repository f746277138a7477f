/*
 * Unit tests: one forwarding host with fake targets on the manual clock, without the wire format.
 */
#pragma once

#include "FakeDatagrams.h"
#include "app/ForwardHost.h"
#include "scenario/FakeNetwork.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace magnoliaspan::testing {

/// Codec with header names that only these tests use.
class FakeCodec : public ForwardCodec
{
public:
    ForwardRequest decodeRequest(ServiceRequest request) const override;
    WireRequest encodeRequest(const ForwardRequest &request, std::string_view targetId, Duration timeLeft) const override;
    TargetResponse decodeResponse(WireReply reply) const override;
    ServiceReply encodeMergedResponse(std::span<const std::string> signatures, std::size_t missing, std::string body) const override;

    bool throwing = false; ///< Whether encodeRequest() throws.
};

/// Source that returns prepared results; a call waits until one is published.
class ScriptedDiscovery : public DiscoverySource
{
public:
    explicit ScriptedDiscovery(Scheduler &scheduler, const Clock &clock);

    void readAll(Freshness freshness, Handler handler) override;
    void watch(const StatePosition &after, Duration wait, Handler handler) override;
    void cancel() override;

    /// Completes the running or next call of either kind with \p reading.
    void publish(DiscoveryReadResult reading);

    std::vector<std::string> calls; ///< "all latest", "all old" and "watch REVISION", in order.

private:
    void deliverNext();

    Scheduler &scheduler_;
    const Clock &clock_;
    Handler waiting_;
    bool isFullRead_ = false; // Whether the waiting call reads the whole state.
    std::deque<DiscoveryReadResult> readings_;
};

/// Decoder that ignores all items.
class NullItemDecoder : public ItemDecoder
{
public:
    std::optional<DiscoveryChange> decode(const PublishedItem &item) const override;
};

/// How a fake target handles requests.
enum class Behaviour {
    Answer,
    Shed,            ///< Refuses without running the request.
    Fail,            ///< Runs it and answers 500.
    FailUnavailable, ///< Runs it and answers 503, which looks like a refusal.
    Silent,
    OtherTarget,
    Crash
};

/// A target that works on as many requests at once as it has slots and queues the others.
class FakeTarget : public Service
{
public:
    FakeTarget(ManualTime &time, std::string id, unsigned slots);

    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override;

    std::string id;
    Behaviour behaviour = Behaviour::Answer;
    Duration work = std::chrono::milliseconds(15);
    std::optional<double> limit;                             ///< Stated in each response that is no refusal.
    std::optional<double> pause;                             ///< Seconds, stated in each refusal.
    bool leaving = false;                                    ///< Stated in each response.
    std::function<Behaviour(unsigned arrival)> behaviourFor; ///< Overrides behaviour for each arrival when set.
    std::function<void()> crash;                             ///< Called for Behaviour::Crash.
    std::string crashingPath;                                ///< Requests with this path crash the target when set.
    Duration crashDelay{};                                   ///< Time from the arrival of such a request to the crash.
    unsigned arrivals = 0;
    unsigned cancelled = 0;
    std::map<std::string, unsigned> runs; ///< By request id.
    std::vector<TimePoint> arrivedAt;
    std::vector<Duration> timeLeft; ///< As sent by the host.

private:
    struct Work {
        ReplyHandler handler;
        Duration duration;
    };
    void startWork(std::uint64_t number);
    std::vector<WireHeader> withStatements(std::vector<WireHeader> headers) const;

    ManualTime &time_;
    unsigned slots_;
    unsigned busy_ = 0;
    std::uint64_t lastWork_ = 0;
    std::map<std::uint64_t, Work> work_;
    std::deque<std::uint64_t> queue_;
};

/// Response that a caller received.
struct CallerResponse {
    unsigned status = 0; ///< Zero until it arrived.
    std::vector<WireHeader> headers;
    std::string body;
    Duration took{};

    std::string header(std::string_view name) const;
};

/// Service, zone and size of a target.
struct TargetLocation {
    std::string service;
    std::string zone;
    unsigned slots = 3;
};

/// One host in zone "here" of region "home"; zone "there" of region "away" has a delay of 12 ms.
class ForwardFixture
{
public:
    ForwardFixture();

    /// Registers a target and makes it reachable.
    FakeTarget &addTarget(const std::string &id, const TargetLocation &location);

    /// Adds \p shards services named \p prefix and a number, with \p replicas targets each: the first here, others there.
    /// \returns the names of the services.
    std::vector<std::string> addShards(const std::string &prefix, unsigned shards, unsigned replicas);

    /// Starts the host before anything is published.
    void start();

    /// Publishes all targets and \p routes as one table of \p version, and waits until it is in force.
    void publish(std::vector<Route> routes, std::int64_t version = 1);

    /// Publishes changes.
    void change(std::vector<DiscoveryChange> changes);

    TargetEntry entryOf(const std::string &id) const;

    /// Publishes a new target in place of each of \p ids, which crashed.
    void restart(std::span<const std::string> ids);

    /// Sends one request to host "h", path "/" + \p route + "/x".
    std::shared_ptr<CallerResponse>
    call(const std::string &route, Duration timeout = std::chrono::seconds(2), const std::string &method = "GET");

    /// Closes the connection of the caller of \p response.
    void disconnect(const std::shared_ptr<CallerResponse> &response);

    void run(Duration duration);

    /// \returns a route named \p name with path prefix "/NAME/".
    static Route route(const std::string &name, Destination destination, Repeatability repeatability = Repeatability::Idempotent);

    unsigned arrivals() const;

    ManualTime time;
    ProcessTime process{time, {}};
    FakeNetwork network{time};
    FakeTransport transport{network, process, "host", "here"};
    ProcessTime targetTime{time, {}};
    NullItemDecoder decoder;
    FakeCodec codec;
    ScriptedDiscovery discovery{process, process};
    FakeDatagrams datagrams{time};
    std::unique_ptr<DatagramPort> peers = datagrams.bind({"10.0.0.1", 7741});
    std::vector<std::string> log;
    std::vector<std::string> crashed; ///< Ids of targets, in the order of their crashes.
    ForwardLimits limits;
    std::uint64_t seed = 1; ///< Of the host.
    std::map<std::string, std::unique_ptr<FakeTarget>> targets;
    std::unique_ptr<ForwardHost> host; ///< Made by the first publish().
    std::vector<ServiceSpec> services;
    DiscoveryReadResult published; ///< The last state that publish() published.

private:
    std::map<std::string, TargetEntry> entries_;
    std::map<CallerResponse *, Service::CancelFunction> cancelFunctions_;
    std::uint16_t lastPort_ = 1'000;
    unsigned lastRequest_ = 0;
    std::int64_t revision_ = 0;
};

} // namespace magnoliaspan::testing
