/*
 * Applies the statements of a script to the fake processes and network.
 */
#include "scenario/FakeWorld.h"

#include <fmt/format.h>

namespace magnoliaspan::testing {

namespace {

constexpr Duration callerOneWayDelay = std::chrono::milliseconds(1);
constexpr std::string_view platformAddress = "127.0.0.1:7000";
constexpr std::string_view platformName = "platform";

Settings hostSettings(const SeatDeclaration &seat)
{
    Settings settings;
    settings.seat = seat.name;
    settings.zone = seat.zone;
    settings.environment = "trial";
    settings.peerAddress = *Endpoint::parse(seat.peer);
    settings.peerKey = "the key of the trial fleet";
    settings.shutdownAnnounce = std::chrono::seconds(1);
    settings.shutdownLimit = std::chrono::seconds(5);
    settings.journalLines = 10'000;
    return settings;
}

} // namespace

FakeWorld::FakeWorld(std::uint64_t seed)
    : network_(time_)
    , seed_(seed)
    , startedAt_(time_.now())
    , platformTime_(time_, {})
    , platform_(platformTime_, platformTime_)
{
}

FakeWorld::~FakeWorld()
{
    for (auto &[name, host] : hosts_) {
        host.entry.reset();
    }
}

void FakeWorld::start(DocumentBuilder &builder)
{
    unsigned port = 7100;
    for (SeatDeclaration &seat : builder.seats) {
        seat.peer = fmt::format("127.0.0.1:{}", ++port);
    }
    for (TargetDeclaration &target : builder.targets) {
        target.address = fmt::format("127.0.0.1:{}", ++port);
    }
    network_.place(std::string(platformAddress), {std::string(platformName), &platform_, &platformTime_, 0, 1'000'000, {}, ""});
    platform_.publish(builder.text());
    for (const TargetDeclaration &declaration : builder.targets) {
        Target &target = targets_[declaration.name];
        target.declaration = declaration;
        target.time = std::make_unique<ProcessTime>(time_, Duration::zero());
        target.model = std::make_unique<TargetModel>(
            *target.time, *target.time, declaration.traits, [this, name = declaration.name] { kill(name); });
        addTarget(target);
    }
    for (const SeatDeclaration &seat : builder.seats) {
        Host &host = hosts_[seat.name];
        host.seat = seat;
        startHost(host);
    }
}

void FakeWorld::addTarget(Target &target)
{
    Node node;
    node.name = target.declaration.name;
    node.service = target.model.get();
    node.time = target.time.get();
    node.maxConnections = target.declaration.traits.connections;
    node.connectCost = target.declaration.traits.connectCost;
    node.zone = target.declaration.zone;
    network_.place(target.declaration.address, std::move(node));
    target.up = true;
}

void FakeWorld::startHost(Host &host)
{
    ++host.starts;
    if (host.time) {
        terminatedTimes_.push_back(std::move(host.time));
    }
    host.time = std::make_unique<ProcessTime>(time_, host.seat.clockOffset);
    host.transport = std::make_unique<FakeTransport>(network_, *host.time, host.seat.name, host.seat.zone);
    host.platform
        = std::make_unique<HttpPlatformSource>(*host.time, *host.time, *host.transport, *Endpoint::parse(platformAddress), "trial");
    const auto sink = [this, name = host.seat.name](std::string_view line) { log_.push_back(fmt::format("{} {}", name, line)); };
    const std::uint64_t seed = seed_ * 1'000 + hosts_.size() * 10 + host.starts;
    host.entry = std::make_unique<EntryHost>(EntryHostEnvironment{*host.time, *host.time, *host.transport, *host.platform, sink, seed},
                                             hostSettings(host.seat));
    network_.place(host.seat.peer, {host.seat.name, &host.entry->peerService(), host.time.get(), 0, 1'000'000, {}, host.seat.zone});
    host.entry->start();
}

void FakeWorld::run(Duration duration)
{
    time_.runUntil(time_.now() + duration);
}

Duration FakeWorld::elapsed() const
{
    return time_.now() - startedAt_;
}

WallTime FakeWorld::callerTime() const
{
    return time_.wallNow();
}

void FakeWorld::send(const CallerRequest &request)
{
    calls_[request.id] = {request, time_.now(), {}, hosts_.at(request.host).starts};
    outcomes_[request.id] = {};
    time_.callAt(time_.now() + callerOneWayDelay, [this, id = request.id] { deliverToHost(id); });
}

void FakeWorld::deliverToHost(const std::string &id)
{
    Host &host = hosts_.at(calls_.at(id).request.host);
    if (!host.entry) {
        outcomes_[id].lost = true;
        return;
    }
    host.time->callAt(time_.now(), [this, id, &host] {
        if (!host.entry) {
            return;
        }
        Call &call = calls_.at(id);
        ServiceRequest request;
        request.method = "POST";
        request.target = call.request.path;
        request.contentType = "application/json";
        request.requestId = id;
        request.idempotencyKey = call.request.key;
        request.body = call.request.body;
        call.cancelRequest = host.entry->callerService().handle(std::move(request), [this, id](const ServiceReply &reply) {
            time_.callAt(time_.now() + callerOneWayDelay, [this, id, reply] { onReply(id, reply); });
        });
    });
}

void FakeWorld::onReply(const std::string &id, const ServiceReply &reply)
{
    CallerOutcome &outcome = outcomes_.at(id);
    if (outcome.lost) {
        return;
    }
    outcome.answered = true;
    outcome.status = reply.status;
    outcome.body = reply.body;
    outcome.endedAt = elapsed();
    outcome.latency = time_.now() - calls_.at(id).sentAt;
}

void FakeWorld::disconnect(const std::string &id)
{
    const auto found = calls_.find(id);
    outcomes_.at(id).lost = true;
    if (found != calls_.end() && found->second.cancelRequest) {
        found->second.cancelRequest();
    }
}

const std::map<std::string, CallerOutcome> &FakeWorld::outcomes()
{
    return outcomes_;
}

bool FakeWorld::setTargetTrait(const std::string &target, const std::string &trait, const std::string &value)
{
    const auto found = targets_.find(target);
    return found != targets_.end() && found->second.model->set(trait, value);
}

TargetRecord FakeWorld::record(const std::string &target)
{
    return targets_.at(target).model->record();
}

void FakeWorld::failCalls(const std::string &host)
{
    for (auto &[id, call] : calls_) {
        if (call.request.host == host && !outcomes_.at(id).answered) {
            outcomes_.at(id).lost = true;
            call.cancelRequest = {};
        }
    }
}

void FakeWorld::kill(const std::string &name)
{
    appendLogLine("kill " + name);
    const auto target = targets_.find(name);
    if (target != targets_.end()) {
        target->second.up = false;
        network_.remove(target->second.declaration.address);
        target->second.model->restart(false);
        return;
    }
    Host &host = hosts_.at(name);
    network_.remove(host.seat.peer);
    failCalls(name);
    host.entry.reset();
    host.time->cancelAll();
}

void FakeWorld::restart(const std::string &name, bool cold)
{
    appendLogLine("restart " + name);
    const auto target = targets_.find(name);
    if (target == targets_.end()) {
        Host &host = hosts_.at(name);
        if (host.entry) {
            kill(name);
        }
        startHost(host);
        return;
    }
    network_.remove(target->second.declaration.address);
    target->second.model->restart(cold);
    addTarget(target->second);
}

void FakeWorld::replace(const std::string &host)
{
    appendLogLine("replace " + host);
    Host &seat = hosts_.at(host);
    Host &old = hosts_[host + ".old"];
    old = std::move(seat);
    seat = Host{};
    seat.seat = old.seat;
    seat.starts = old.starts;
    startHost(seat);
}

ProcessTime *FakeWorld::processTime(const std::string &name)
{
    const auto target = targets_.find(name);
    return target == targets_.end() ? hosts_.at(name).time.get() : target->second.time.get();
}

void FakeWorld::freeze(const std::string &name, bool frozen)
{
    appendLogLine((frozen ? "freeze " : "thaw ") + name);
    processTime(name)->freeze(frozen);
}

bool FakeWorld::link(const std::string &from, const std::string &to, const std::string &condition, Duration delay)
{
    appendLogLine(fmt::format("link {} {} {}", from, to, condition));
    LinkState &state = network_.link(from, to);
    if (condition == "heal") {
        const TimePoint silencedAt = state.silencedAt;
        state = LinkState{};
        state.silencedAt = silencedAt;
    } else if (condition == "cut") {
        state.cut = true;
    } else if (condition == "refuse") {
        state.refused = true;
    } else if (condition == "silence") {
        // Add one tick so that connections opened at this instant are silenced too.
        state.silencedAt = time_.now() + Duration(1);
    } else if (condition == "delay") {
        state.delay = delay;
    } else if (condition == "lose-requests") {
        state.losesRequests = true;
    } else if (condition == "lose-replies") {
        state.losesReplies = true;
    } else {
        return false;
    }
    return true;
}

bool FakeWorld::platform(const std::string &mode)
{
    appendLogLine("platform " + mode);
    return platform_.setMode(mode);
}

void FakeWorld::setTargetLeaving(const std::string &target, bool leaving)
{
    platform_.setTargetLeaving(target, leaving);
}

void FakeWorld::publish(const std::string &text)
{
    platform_.publish(text);
}

void FakeWorld::stop(const std::string &host)
{
    appendLogLine("stop " + host);
    hosts_.at(host).entry->stop();
}

std::string FakeWorld::status(const std::string &host)
{
    Host &found = hosts_.at(host);
    if (!found.entry) {
        return "";
    }
    AdminService admin(*found.entry);
    std::string body;
    ServiceRequest request;
    request.method = "GET";
    request.target = "/status";
    admin.handle(std::move(request), [&body](const ServiceReply &reply) { body = reply.body; });
    return body;
}

std::uint64_t FakeWorld::counter(const std::string &host, const std::string &name)
{
    const Host &found = hosts_.at(host);
    return found.entry ? found.entry->counters().value(name) : 0;
}

const std::vector<std::string> &FakeWorld::log() const
{
    return log_;
}

void FakeWorld::appendLogLine(const std::string &line)
{
    log_.push_back(fmt::format("script {} at={}us", line, elapsed().count()));
}

} // namespace magnoliaspan::testing
