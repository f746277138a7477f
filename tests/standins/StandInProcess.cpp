/*
 * HTTP servers for the stand-ins and their control interfaces.
 */
#include "standins/StandInProcess.h"

#include "net/HttpServer.h"
#include "net/SystemClock.h"
#include "standins/PlatformModel.h"
#include "standins/TargetModel.h"

#include <cstdio>
#include <fcntl.h>
#include <functional>
#include <sstream>
#include <unistd.h>

namespace magnoliaspan::testing {

namespace {

constexpr int crashStatus = 70;

/// Executes control requests of a script; responds with "ok" or an error.
class ControlService : public Service
{
public:
    using CommandHandler = std::function<bool(const std::string &path, const std::string &body)>;

    explicit ControlService(CommandHandler commandHandler)
        : commandHandler_(std::move(commandHandler))
    {
    }

    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override
    {
        handler({200, "text/plain", commandHandler_(request.target, request.body) ? "ok" : "unknown control request or value", true});
        return {};
    }

private:
    CommandHandler commandHandler_;
};

HttpServerLimits serverLimits()
{
    HttpServerLimits limits;
    limits.maxBodyBytes = 2'097'152;
    limits.requestTimeout = std::chrono::seconds(60);
    limits.idleTimeout = std::chrono::minutes(10);
    return limits;
}

int listenOrReport(HttpServer &server, const Endpoint &endpoint)
{
    const std::error_code error = server.listen(endpoint);
    if (error) {
        std::fprintf(stderr, "stand-in: cannot listen on %s: %s\n", endpoint.toString().c_str(), error.message().c_str());
        return 1;
    }
    return 0;
}

} // namespace

int runTarget(const TargetProcessSettings &settings)
{
    const SystemClock clock;
    EventLoop loop(clock);
    TargetTraits traits;
    // The boot id must differ between processes, since each is a new target instance.
    traits.name = settings.name + "-" + std::to_string(::getpid());
    std::istringstream list(settings.traits);
    for (std::string item; std::getline(list, item, ';');) {
        const auto equals = item.find('=');
        if (equals == std::string::npos || !setTrait(traits, item.substr(0, equals), item.substr(equals + 1))) {
            std::fprintf(stderr, "stand-in target: expected a known TRAIT=VALUE, got '%s'\n", item.c_str());
            return 1;
        }
    }
    traits.startsCold = traits.startsCold || settings.cold;
    TargetModel model(clock, loop, traits, [] { ::_exit(crashStatus); });
    const int record = ::open(settings.record.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    model.setEventListener([record](const std::string &event) {
        const std::string line = event + '\n';
        if (::write(record, line.data(), line.size()) < 0) {
            std::perror("stand-in target: cannot write to the record file");
        }
    });
    ControlService control([&model](const std::string &, const std::string &body) {
        const auto separator = body.find(' ');
        return separator != std::string::npos && model.set(body.substr(0, separator), body.substr(separator + 1));
    });
    HttpServerLimits limits = serverLimits();
    limits.maxConnections = traits.connections;
    HttpServer server(loop, model, limits);
    HttpServer controlServer(loop, control, serverLimits());
    if (listenOrReport(server, settings.address) != 0 || listenOrReport(controlServer, settings.control) != 0) {
        return 1;
    }
    loop.run();
    return 0;
}

int runPlatform(const Endpoint &address, const Endpoint &controlAddress)
{
    const SystemClock clock;
    EventLoop loop(clock);
    PlatformModel model(clock, loop);
    ControlService control([&model](const std::string &path, const std::string &body) {
        if (path == "/publish") {
            model.publish(body);
            return true;
        }
        if (path == "/list") {
            const auto separator = body.find(' ');
            model.setTargetLeaving(body.substr(0, separator), body.substr(separator + 1) == "leaving");
            return true;
        }
        return path == "/mode" && model.setMode(body);
    });
    HttpServer server(loop, model, serverLimits());
    HttpServer controlServer(loop, control, serverLimits());
    if (listenOrReport(server, address) != 0 || listenOrReport(controlServer, controlAddress) != 0) {
        return 1;
    }
    loop.run();
    return 0;
}

} // namespace magnoliaspan::testing
