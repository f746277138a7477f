/*
 * Unit tests: fake discovery source, targets and callers of a forwarding host.
 */
#include "ForwardFixture.h"

#include <fmt/format.h>

namespace magnoliaspan::testing {

namespace {

constexpr Duration awayDelay = std::chrono::milliseconds(12);

std::string headerOf(const std::vector<WireHeader> &headers, std::string_view name)
{
    for (const WireHeader &header : headers) {
        if (sameHeader(header.name, name)) {
            return header.value;
        }
    }
    return "";
}

} // namespace

ForwardRequest FakeCodec::decodeRequest(ServiceRequest request) const
{
    ForwardRequest result;
    result.id = headerOf(request.headers, "id");
    result.host = headerOf(request.headers, "host");
    const std::string left = headerOf(request.headers, "left");
    if (!left.empty()) {
        result.timeLeft = std::chrono::milliseconds(std::stoll(left));
    }
    result.method = request.method;
    result.target = request.target;
    result.body = request.body;
    result.headers = std::move(request.headers);
    return result;
}

WireRequest FakeCodec::encodeRequest(const ForwardRequest &request, std::string_view targetId, Duration timeLeft) const
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count();
    if (throwing) {
        throw std::length_error("cannot be encoded");
    }
    return {request.target,
            request.body,
            "",
            {{"id", request.id}, {"target", std::string(targetId)}, {"left", std::to_string(ms)}},
            request.method};
}

TargetResponse FakeCodec::decodeResponse(WireReply reply) const
{
    TargetResponse response;
    response.status = reply.status;
    response.otherTarget = reply.status == 421;
    response.notRun = !headerOf(reply.headers, "not-run").empty() || response.otherTarget;
    response.signature = headerOf(reply.headers, "signature");
    if (const std::string limit = headerOf(reply.headers, "limit"); !limit.empty()) {
        response.limit = {RequestLimit::Kind::Stated, std::stod(limit)};
    }
    response.leaving = !headerOf(reply.headers, "leaving").empty();
    if (const std::string pause = headerOf(reply.headers, "pause"); !pause.empty()) {
        const std::chrono::duration<double> seconds(std::stod(pause));
        response.pause = {RequestedPause::Kind::Stated, std::chrono::duration_cast<Duration>(seconds), ""};
    }
    response.headers = reply.headers;
    response.body = std::move(reply.body);
    return response;
}

ServiceReply FakeCodec::encodeMergedResponse(std::span<const std::string> signatures, std::size_t missing, std::string body) const
{
    ServiceReply reply;
    reply.headers = {{"signatures", fmt::format("{}", fmt::join(signatures, ","))}, {"missing", std::to_string(missing)}};
    reply.body = std::move(body);
    return reply;
}

std::optional<DiscoveryChange> NullItemDecoder::decode(const PublishedItem &) const
{
    return std::nullopt;
}

ScriptedDiscovery::ScriptedDiscovery(Scheduler &scheduler, const Clock &clock)
    : scheduler_(scheduler)
    , clock_(clock)
{
}

void ScriptedDiscovery::readAll(Freshness freshness, Handler handler)
{
    calls.emplace_back(freshness == Freshness::Latest ? "all latest" : "all old");
    isFullRead_ = true;
    waiting_ = std::move(handler);
    deliverNext();
}

void ScriptedDiscovery::watch(const StatePosition &after, Duration, Handler handler)
{
    calls.push_back(fmt::format("watch {}", after.revision));
    isFullRead_ = false;
    waiting_ = std::move(handler);
    deliverNext();
}

void ScriptedDiscovery::cancel()
{
    waiting_ = nullptr;
}

void ScriptedDiscovery::publish(DiscoveryReadResult reading)
{
    readings_.push_back(std::move(reading));
    deliverNext();
}

void ScriptedDiscovery::deliverNext()
{
    if (!waiting_ || readings_.empty()) {
        return;
    }
    scheduler_.callAt(clock_.now(), [this] {
        if (!waiting_ || readings_.empty()) {
            return;
        }
        const auto handler = std::move(waiting_);
        waiting_ = nullptr;
        DiscoveryReadResult reading = std::move(readings_.front());
        readings_.pop_front();
        reading.complete = isFullRead_;
        handler(reading);
    });
}

FakeTarget::FakeTarget(ManualTime &time, std::string id, unsigned slots)
    : id(std::move(id))
    , time_(time)
    , slots_(slots)
{
}

Service::CancelFunction FakeTarget::handle(ServiceRequest request, ReplyHandler handler)
{
    ++arrivals;
    arrivedAt.push_back(time_.now());
    timeLeft.emplace_back(std::chrono::milliseconds(std::stoll(headerOf(request.headers, "left"))));
    const Behaviour now = behaviourFor ? behaviourFor(arrivals) : behaviour;
    if (now == Behaviour::OtherTarget || headerOf(request.headers, "target") != id) {
        handler({421, "", "", false});
        return {};
    }
    if (now == Behaviour::Shed) {
        std::vector<WireHeader> headers = withStatements({{"not-run", "1"}});
        if (pause) {
            headers.push_back({"pause", fmt::format("{}", *pause)});
        }
        handler({503, "", "", false, std::move(headers)});
        return {};
    }
    ++runs[headerOf(request.headers, "id")];
    if (!crashingPath.empty() && request.target == crashingPath) {
        time_.callAt(time_.now() + crashDelay, crash);
        return {};
    }
    if (now == Behaviour::Fail || now == Behaviour::FailUnavailable) {
        handler({now == Behaviour::Fail ? 500U : 503U, "", "", false, withStatements({{"signature", id}})});
        return {};
    }
    if (now == Behaviour::Crash) {
        crash();
        return {};
    }
    const std::uint64_t number = ++lastWork_;
    if (now == Behaviour::Answer) {
        work_[number] = {std::move(handler), work};
        if (busy_ < slots_) {
            startWork(number);
        } else {
            queue_.push_back(number);
        }
    }
    return [this, number] {
        ++cancelled;
        work_.erase(number);
    };
}

std::vector<WireHeader> FakeTarget::withStatements(std::vector<WireHeader> headers) const
{
    if (leaving) {
        headers.push_back({"leaving", "1"});
    }
    return headers;
}

void FakeTarget::startWork(std::uint64_t number)
{
    ++busy_;
    time_.callAt(time_.now() + work_.at(number).duration, [this, number] {
        const auto found = work_.extract(number);
        if (!found.empty()) {
            // Two records of 16 bytes, the lesser one first.
            std::vector<WireHeader> headers = withStatements({{"signature", id}});
            if (limit) {
                headers.push_back({"limit", fmt::format("{}", *limit)});
            }
            found.mapped().handler({200, "", std::string(16, 'a') + std::string(16, id.back()), false, std::move(headers)});
        }
        --busy_;
        while (!queue_.empty() && busy_ < slots_) {
            const std::uint64_t next = queue_.front();
            queue_.pop_front();
            if (work_.contains(next)) {
                startWork(next);
            }
        }
    });
}

std::string CallerResponse::header(std::string_view name) const
{
    return headerOf(headers, name);
}

ForwardFixture::ForwardFixture()
{
    limits.hosts = 1;
    limits.extraSendRatio = 0.2;
    limits.extraSendSlack = 10;
    limits.coldFactor = 1.5;
    limits.coldSlack = 5;
}

FakeTarget &ForwardFixture::addTarget(const std::string &id, const TargetLocation &location)
{
    auto target = std::make_unique<FakeTarget>(time, id, location.slots);
    TargetEntry entry;
    entry.id = id;
    entry.service = location.service;
    entry.address = {"10.0.0.1", ++lastPort_};
    entry.zone = location.zone;
    entry.slots = location.slots;
    entry.startedAt = 1;
    Node node;
    node.name = id;
    node.service = target.get();
    node.time = &targetTime;
    node.zone = location.zone;
    network.place(entry.address.toString(), node);
    if (location.zone != "here") {
        network.link("host", id).delay = awayDelay;
    }
    target->crash = [this, name = id, address = entry.address.toString()] {
        // A second request that crashes the same instance changes nothing.
        if (network.find(address)->service != nullptr) {
            network.remove(address);
            crashed.push_back(name);
        }
    };
    entries_[id] = entry;
    return *(targets[id] = std::move(target));
}

void ForwardFixture::restart(std::span<const std::string> ids)
{
    std::vector<DiscoveryChange> changes;
    for (const std::string &id : ids) {
        const TargetEntry old = entries_.at(id);
        const FakeTarget &before = *targets.at(id);
        const std::string newId = id + "'";
        FakeTarget &target = addTarget(newId, {old.service, old.zone, old.slots});
        target.work = before.work;
        target.crashingPath = before.crashingPath;
        target.crashDelay = before.crashDelay;
        entries_.erase(id);
        changes.emplace_back(TargetRemoved{id});
        changes.emplace_back(TargetPublished{entries_.at(newId)});
    }
    change(std::move(changes));
}

std::vector<std::string> ForwardFixture::addShards(const std::string &prefix, unsigned shards, unsigned replicas)
{
    std::vector<std::string> names;
    for (unsigned shard = 0; shard < shards; ++shard) {
        names.push_back(fmt::format("{}{}", prefix, shard));
        for (unsigned replica = 0; replica < replicas; ++replica) {
            addTarget(fmt::format("{}-{}", names.back(), replica), {names.back(), replica == 0 ? "here" : "there"});
        }
    }
    return names;
}

TargetEntry ForwardFixture::entryOf(const std::string &id) const
{
    return entries_.at(id);
}

void ForwardFixture::start()
{
    ForwardSettings settings;
    settings.host = "host";
    settings.zone = "here";
    settings.regionOfZone = {{"here", "home"}, {"there", "away"}};
    settings.peerAddress = {"10.0.0.1", 7741};
    settings.peerKey = "key";
    settings.seeds = {{"10.0.0.2", 7741}}; // No host responds there, so that the assumed number of hosts stays in force.
    settings.shutdownAnnounce = std::chrono::seconds(2);
    settings.shutdownLimit = std::chrono::seconds(5);
    settings.watchTime = std::chrono::seconds(5);
    settings.journalLines = 1'000;
    settings.limits = limits;
    host = std::make_unique<ForwardHost>(ForwardHostEnvironment{process,
                                                                process,
                                                                transport,
                                                                discovery,
                                                                *peers,
                                                                decoder,
                                                                codec,
                                                                [this](std::string_view line) { log.emplace_back(line); },
                                                                seed},
                                         settings);
    host->start();
}

void ForwardFixture::publish(std::vector<Route> routes, std::int64_t version)
{
    if (!host) {
        start();
    }
    std::set<std::string> known;
    for (const ServiceSpec &service : services) {
        known.insert(service.name);
    }
    DiscoveryReadResult reading;
    for (const auto &[id, entry] : entries_) {
        if (known.insert(entry.service).second) {
            services.push_back({entry.service, 60, std::chrono::seconds(3), 0});
        }
        reading.changes.emplace_back(TargetPublished{entry});
    }
    reading.changes.emplace_back(TablePublished{std::make_shared<RoutingTable>(version, std::move(routes), services, ListenerLimits{})});
    reading.position.revision = ++revision_;
    published = reading;
    discovery.publish(std::move(reading));
    run(std::chrono::milliseconds(400));
}

void ForwardFixture::change(std::vector<DiscoveryChange> changes)
{
    DiscoveryReadResult reading;
    reading.changes = std::move(changes);
    reading.position.revision = ++revision_;
    discovery.publish(std::move(reading));
    run(std::chrono::milliseconds(1));
}

std::shared_ptr<CallerResponse> ForwardFixture::call(const std::string &route, Duration timeout, const std::string &method)
{
    auto response = std::make_shared<CallerResponse>();
    const TimePoint start = time.now();
    ServiceRequest request;
    request.method = method;
    request.target = "/" + route + "/x";
    request.headers = {{"host", "h"},
                       {"id", fmt::format("r{}", ++lastRequest_)},
                       {"left", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count())}};
    cancelFunctions_[response.get()]
        = host->forwardService().handle(std::move(request), [this, response, start](const ServiceReply &reply) {
              response->status = reply.status;
              response->headers = reply.headers;
              response->body = reply.body;
              response->took = time.now() - start;
          });
    return response;
}

void ForwardFixture::disconnect(const std::shared_ptr<CallerResponse> &response)
{
    cancelFunctions_.at(response.get())();
}

void ForwardFixture::run(Duration duration)
{
    time.runUntil(time.now() + duration);
}

Route ForwardFixture::route(const std::string &name, Destination destination, Repeatability repeatability)
{
    Route route;
    route.name = name;
    route.host = "h";
    route.prefix = "/" + name + "/";
    route.repeatability = repeatability;
    route.timeout = std::chrono::seconds(2);
    route.latencyGoal = std::chrono::milliseconds(100);
    route.maxTargets = 2;
    route.destination = std::move(destination);
    return route;
}

unsigned ForwardFixture::arrivals() const
{
    unsigned count = 0;
    for (const auto &[id, target] : targets) {
        count += target->arrivals;
    }
    return count;
}

} // namespace magnoliaspan::testing
