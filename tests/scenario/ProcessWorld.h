/*
 * World of real processes on loopback: entry hosts, stand-in targets and the stand-in platform.
 */
#pragma once

#include "net/EventLoop.h"
#include "net/HttpTransport.h"
#include "net/SystemClock.h"
#include "scenario/World.h"
#include "standins/Relay.h"

#include <memory>
#include <set>
#include <sys/types.h>

namespace magnoliaspan::testing {

/// Paths of the programs and the port range of a process world.
struct ProcessWorldSettings {
    std::string product;                 ///< The magnoliaspan binary.
    std::string standInProgram;          ///< The scenario program, which also runs the stand-ins.
    std::string directory;               ///< Holds settings, records and logs.
    std::uint16_t firstPort = 20'000;    ///< The ports used start one above.
    std::set<std::string> linkedTargets; ///< Targets reached through a fault-injecting relay.
};

/// A world of child processes, which are killed when the world is destroyed.
class ProcessWorld : public World
{
public:
    explicit ProcessWorld(ProcessWorldSettings settings);
    ~ProcessWorld() override;

    void start(DocumentBuilder &builder) override;
    void run(Duration duration) override;
    Duration elapsed() const override;
    WallTime callerTime() const override;
    void send(const CallerRequest &request) override;
    void disconnect(const std::string &id) override;
    const std::map<std::string, CallerOutcome> &outcomes() override;
    bool setTargetTrait(const std::string &target, const std::string &trait, const std::string &value) override;
    TargetRecord record(const std::string &target) override;
    void kill(const std::string &name) override;
    void restart(const std::string &name, bool cold) override;
    void replace(const std::string &host) override;
    void freeze(const std::string &name, bool frozen) override;
    bool link(const std::string &from, const std::string &to, const std::string &condition, Duration delay) override;
    bool platform(const std::string &mode) override;
    void setTargetLeaving(const std::string &target, bool leaving) override;
    void publish(const std::string &text) override;
    void stop(const std::string &host) override;
    std::string status(const std::string &host) override;
    std::uint64_t counter(const std::string &host, const std::string &name) override;
    const std::vector<std::string> &log() const override;
    void appendLogLine(const std::string &line) override;

    /// \returns the process id of \p name, or zero if it is not running.
    pid_t processOf(const std::string &name) const;

    /// \returns the exit status of an entry host, 128 if a signal ended it, or -1 while it is running.
    int exitStatus(const std::string &name);

    /// \returns the caller address of an entry host.
    std::string callerAddress(const std::string &host) const;
    std::string adminAddress(const std::string &host) const;

private:
    struct Process {
        pid_t pid = 0;
        std::vector<std::string> command;
        std::string address; // Listening address: for callers (entry host) or shard requests (target).
        std::string control; // Admin address (entry host) or control address (stand-in).
        int status = -1;
    };

    /// A caller's connection, which the host may close after a reply.
    struct CallerConnection {
        std::unique_ptr<Connection> connection;
        std::shared_ptr<bool> open;
    };

    struct Call {
        CallerRequest request;
        TimePoint sentAt;
        CallerConnection connection;
    };

    std::string nextAddress();
    void spawn(const std::string &name, Process &process);
    void startTarget(const TargetDeclaration &target, const std::string &address);
    void startHost(const SeatDeclaration &seat);
    std::string sendControlRequest(const std::string &address, const std::string &path, const std::string &body);
    void waitUntilReady(const std::string &host);
    void sendOnConnection(const std::string &id, std::error_code error);
    void onReply(const std::string &id, const WireReply &reply);
    std::string filePath(const std::string &name) const;

    ProcessWorldSettings settings_;
    SystemClock clock_;
    EventLoop loop_;
    HttpTransport transport_;
    TimePoint startedAt_;
    std::uint16_t lastPort_;
    std::map<std::string, Process> processes_;
    std::map<std::string, std::unique_ptr<Relay>> relays_;
    std::map<std::string, Call> calls_;
    std::map<std::string, std::vector<CallerConnection>> idleConnections_; // Reusable caller connections, by host.
    std::map<std::string, CallerOutcome> outcomes_;
    std::vector<std::string> log_;
    std::string platformAddress_;
    std::string platformControl_;
};

} // namespace magnoliaspan::testing
