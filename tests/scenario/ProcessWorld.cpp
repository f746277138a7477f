/*
 * Starts the processes of a world and applies the statements of a script to them.
 */
#include "scenario/ProcessWorld.h"

#include "config/DocumentReader.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT(readability-redundant-declaration): POSIX leaves its declaration to the program

namespace magnoliaspan::testing {

namespace {

constexpr Duration startTimeout = std::chrono::seconds(15);
constexpr Duration requestTimeout = std::chrono::seconds(5);
constexpr Duration pollInterval = std::chrono::milliseconds(20);

} // namespace

ProcessWorld::ProcessWorld(ProcessWorldSettings settings)
    : settings_(std::move(settings))
    , loop_(clock_)
    , transport_(loop_)
    , startedAt_(clock_.now())
    , lastPort_(settings_.firstPort)
{
    std::filesystem::create_directories(settings_.directory);
}

ProcessWorld::~ProcessWorld()
{
    calls_.clear();
    idleConnections_.clear();
    for (auto &[name, process] : processes_) {
        if (process.pid > 0) {
            ::kill(process.pid, SIGKILL);
            ::waitpid(process.pid, nullptr, 0);
        }
    }
}

std::string ProcessWorld::filePath(const std::string &name) const
{
    return settings_.directory + "/" + name;
}

std::string ProcessWorld::nextAddress()
{
    return fmt::format("127.0.0.1:{}", ++lastPort_);
}

void ProcessWorld::spawn(const std::string &name, Process &process)
{
    std::vector<char *> arguments;
    for (std::string &word : process.command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string logFile = filePath(name + ".log");
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int error = posix_spawn(&process.pid, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw ScriptError(fmt::format("cannot spawn process {}", process.command.front()));
    }
    process.status = -1;
}

void ProcessWorld::start(DocumentBuilder &builder)
{
    std::map<std::string, std::string> listenAddresses; // Of targets; document addresses differ for those behind a relay.
    for (SeatDeclaration &seat : builder.seats) {
        seat.peer = nextAddress();
    }
    for (TargetDeclaration &target : builder.targets) {
        listenAddresses[target.name] = nextAddress();
        target.address = listenAddresses[target.name];
        if (settings_.linkedTargets.count(target.name) != 0) {
            target.address = nextAddress();
            relays_[target.name]
                = std::make_unique<Relay>(loop_, *Endpoint::parse(target.address), *Endpoint::parse(listenAddresses[target.name]));
        }
    }
    platformAddress_ = nextAddress();
    platformControl_ = nextAddress();
    Process &platform = processes_["platform"];
    platform.command = {settings_.standInProgram, "platform", "--address=" + platformAddress_, "--control=" + platformControl_};
    spawn("platform", platform);
    publish(builder.text());
    for (const TargetDeclaration &target : builder.targets) {
        startTarget(target, listenAddresses[target.name]);
    }
    for (const SeatDeclaration &seat : builder.seats) {
        startHost(seat);
    }
    for (const SeatDeclaration &seat : builder.seats) {
        waitUntilReady(seat.name);
    }
}

void ProcessWorld::startTarget(const TargetDeclaration &target, const std::string &address)
{
    Process &process = processes_[target.name];
    process.address = address;
    process.control = nextAddress();
    const TargetTraits &traits = target.traits;
    const auto list = [](const auto &values) { return fmt::format("{}", fmt::join(values, ",")); };
    const std::string settings = fmt::format(
        "shards={};snapshots={};slots={};queue={};cold_bears={};warm_after={};service={}us;cold_service={}us;lies={};starts_cold={}",
        list(traits.shards),
        list(traits.snapshots),
        traits.slots,
        traits.queue,
        traits.coldCapacity,
        traits.warmAfter,
        traits.service.count(),
        traits.coldService.count(),
        traits.staleStatus ? "yes" : "no",
        traits.startsCold ? "yes" : "no");
    process.command = {settings_.standInProgram,
                       "target",
                       "--name=" + target.name,
                       "--address=" + address,
                       "--control=" + process.control,
                       "--traits=" + settings,
                       "--record=" + filePath(target.name + ".record")};
    spawn(target.name, process);
}

void ProcessWorld::startHost(const SeatDeclaration &seat)
{
    Process &process = processes_[seat.name];
    process.address = nextAddress();
    process.control = nextAddress();
    const std::string path = filePath(seat.name + ".yaml");
    std::ofstream(path) << fmt::format("seat: {}\nzone: {}\nenvironment: trial\ncaller_address: \"{}\"\npeer_address: "
                                       "\"{}\"\nadmin_address: \"{}\"\nplatform_address: \"{}\"\n"
                                       "peer_key: the key of the trial fleet\nshutdown_announce: 1s\nshutdown_limit: 5s\n",
                                       seat.name,
                                       seat.zone,
                                       process.address,
                                       seat.peer,
                                       process.control,
                                       platformAddress_);
    process.command = {settings_.product, "serve", "--settings=" + path};
    spawn(seat.name, process);
}

void ProcessWorld::waitUntilReady(const std::string &host)
{
    const TimePoint limit = clock_.now() + startTimeout;
    while (clock_.now() < limit) {
        const std::string body = status(host);
        const auto json = nlohmann::json::parse(body, nullptr, false);
        bool isReady = json.is_object() && json.value("ready", false);
        for (const auto &target : isReady ? json["targets"] : nlohmann::json::array()) {
            isReady = isReady && target["connections"] != 0;
        }
        if (isReady) {
            return;
        }
        run(pollInterval);
    }
    throw ScriptError(fmt::format(
        "entry host {} did not become ready with connections to all targets in time; log file: {}", host, filePath(host + ".log")));
}

void ProcessWorld::run(Duration duration)
{
    loop_.callAt(clock_.now() + duration, [this] { loop_.stop(); });
    loop_.run();
}

Duration ProcessWorld::elapsed() const
{
    return clock_.now() - startedAt_;
}

WallTime ProcessWorld::callerTime() const
{
    return clock_.wallNow();
}

std::string ProcessWorld::sendControlRequest(const std::string &address, const std::string &path, const std::string &body)
{
    std::string response;
    bool done = false;
    const TimePoint limit = clock_.now() + requestTimeout;
    while (!done && clock_.now() < limit) {
        std::unique_ptr<Connection> connection;
        bool failed = false;
        connection = transport_.connect(
            *Endpoint::parse(address),
            [&](std::error_code error) {
                failed = static_cast<bool>(error);
                if (failed) {
                    loop_.stop();
                    return;
                }
                connection->exchange({path, body, ""}, [&](const WireReply &reply) {
                    done = !reply.error;
                    failed = !done;
                    response = reply.body;
                    loop_.stop();
                });
            },
            [] {});
        const TimerId timer = loop_.callAt(limit, [this] { loop_.stop(); });
        loop_.run();
        loop_.cancel(timer);
        connection.reset();
        if (failed) {
            run(pollInterval);
        }
    }
    return response;
}

void ProcessWorld::send(const CallerRequest &request)
{
    Call &call = calls_[request.id];
    call.request = request;
    call.sentAt = clock_.now();
    outcomes_[request.id] = {};
    auto &idle = idleConnections_[request.host];
    std::erase_if(idle, [](const CallerConnection &connection) { return !*connection.open; });
    if (!idle.empty()) {
        call.connection = std::move(idle.back());
        idle.pop_back();
        sendOnConnection(request.id, {});
        return;
    }
    call.connection.open = std::make_shared<bool>(true);
    call.connection.connection = transport_.connect(
        *Endpoint::parse(processes_.at(request.host).address),
        [this, id = request.id](std::error_code error) { sendOnConnection(id, error); },
        [open = call.connection.open] { *open = false; });
}

void ProcessWorld::sendOnConnection(const std::string &id, std::error_code error)
{
    Call &call = calls_.at(id);
    if (error) {
        outcomes_.at(id).lost = true;
        return;
    }
    WireRequest wire{call.request.path, call.request.body, "", {{"X-Request-Id", id}}};
    if (!call.request.key.empty()) {
        wire.headers.push_back({"Idempotency-Key", call.request.key});
    }
    call.connection.connection->exchange(std::move(wire), [this, id](const WireReply &reply) { onReply(id, reply); });
}

void ProcessWorld::onReply(const std::string &id, const WireReply &reply)
{
    Call &call = calls_.at(id);
    CallerOutcome &outcome = outcomes_.at(id);
    outcome.endedAt = elapsed();
    outcome.latency = clock_.now() - call.sentAt;
    if (reply.error) {
        outcome.lost = true;
        return;
    }
    outcome.answered = true;
    outcome.status = reply.status;
    outcome.body = reply.body;
    if (reply.status == 200) {
        idleConnections_[call.request.host].push_back(std::move(call.connection));
    }
}

void ProcessWorld::disconnect(const std::string &id)
{
    outcomes_.at(id).lost = true;
    calls_.at(id).connection.connection.reset();
}

const std::map<std::string, CallerOutcome> &ProcessWorld::outcomes()
{
    return outcomes_;
}

bool ProcessWorld::setTargetTrait(const std::string &target, const std::string &trait, const std::string &value)
{
    return sendControlRequest(processes_.at(target).control, "/set", trait + " " + value) == "ok";
}

TargetRecord ProcessWorld::record(const std::string &target)
{
    TargetRecord record;
    std::ifstream lines(filePath(target + ".record"));
    for (std::string line; std::getline(lines, line);) {
        TargetModel::applyEvent(record, line);
    }
    return record;
}

void ProcessWorld::kill(const std::string &name)
{
    Process &process = processes_.at(name);
    ::kill(process.pid, SIGKILL);
    ::waitpid(process.pid, nullptr, 0);
    process.pid = 0;
    idleConnections_[name].clear();
}

void ProcessWorld::restart(const std::string &name, bool cold)
{
    Process &process = processes_.at(name);
    if (process.pid > 0) {
        kill(name);
    }
    if (cold) {
        process.command.emplace_back("--cold");
    }
    spawn(name, process);
    if (cold) {
        process.command.pop_back();
    }
}

void ProcessWorld::replace(const std::string &host)
{
    throw ScriptError(fmt::format("cannot replace {}: supported in fake worlds only, since two processes cannot share a port", host));
}

void ProcessWorld::freeze(const std::string &name, bool frozen)
{
    ::kill(processes_.at(name).pid, frozen ? SIGSTOP : SIGCONT);
}

bool ProcessWorld::link(const std::string &, const std::string &to, const std::string &condition, Duration delay)
{
    const auto relay = relays_.find(to);
    return relay != relays_.end() && relay->second->set(condition, delay);
}

bool ProcessWorld::platform(const std::string &mode)
{
    return sendControlRequest(platformControl_, "/mode", mode) == "ok";
}

void ProcessWorld::setTargetLeaving(const std::string &target, bool leaving)
{
    sendControlRequest(platformControl_, "/list", target + (leaving ? " leaving" : " live"));
}

void ProcessWorld::publish(const std::string &text)
{
    sendControlRequest(platformControl_, "/publish", text);
}

void ProcessWorld::stop(const std::string &host)
{
    ::kill(processes_.at(host).pid, SIGTERM);
}

std::string ProcessWorld::status(const std::string &host)
{
    const Process &process = processes_.at(host);
    if (process.pid == 0 || exitStatus(host) >= 0) {
        return "";
    }
    return sendControlRequest(process.control, "/status", "");
}

std::uint64_t ProcessWorld::counter(const std::string &host, const std::string &name)
{
    std::istringstream lines(sendControlRequest(processes_.at(host).control, "/metrics", ""));
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + " ")) {
            return std::stoull(line.substr(name.size() + 1));
        }
    }
    return 0;
}

const std::vector<std::string> &ProcessWorld::log() const
{
    return log_;
}

void ProcessWorld::appendLogLine(const std::string &line)
{
    log_.push_back(line);
}

pid_t ProcessWorld::processOf(const std::string &name) const
{
    return processes_.at(name).pid;
}

int ProcessWorld::exitStatus(const std::string &name)
{
    Process &process = processes_.at(name);
    int status = 0;
    if (process.pid > 0 && ::waitpid(process.pid, &status, WNOHANG) == process.pid) {
        process.pid = 0;
        process.status = WIFEXITED(status) ? WEXITSTATUS(status) : 128;
    }
    return process.status;
}

std::string ProcessWorld::callerAddress(const std::string &host) const
{
    return processes_.at(host).address;
}

std::string ProcessWorld::adminAddress(const std::string &host) const
{
    return processes_.at(host).control;
}

} // namespace magnoliaspan::testing
