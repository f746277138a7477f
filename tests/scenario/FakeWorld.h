/*
 * Deterministic world: production entry hosts on a fake network, stand-in services and a manual clock.
 */
#pragma once

#include "app/AdminService.h"
#include "app/EntryHost.h"
#include "net/HttpPlatformSource.h"
#include "scenario/FakeNetwork.h"
#include "scenario/World.h"
#include "standins/PlatformModel.h"

#include <memory>

namespace magnoliaspan::testing {

/// A world in which a script and a seed always give the same result.
class FakeWorld : public World
{
public:
    /// \param seed seed of all random choices
    explicit FakeWorld(std::uint64_t seed);
    ~FakeWorld() override;

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

private:
    struct Host {
        SeatDeclaration seat;
        std::unique_ptr<ProcessTime> time;
        std::unique_ptr<FakeTransport> transport;
        std::unique_ptr<HttpPlatformSource> platform;
        std::unique_ptr<EntryHost> entry; // Null while the host is down.
        std::string callerAddress;
        unsigned starts = 0; // Number of process starts in this seat; part of the random seed.
    };

    struct Target {
        TargetDeclaration declaration;
        std::unique_ptr<ProcessTime> time;
        std::unique_ptr<TargetModel> model;
        bool up = true;
    };

    struct Call {
        CallerRequest request;
        TimePoint sentAt;
        Service::CancelFunction cancelRequest;
        unsigned hostStart = 0;
    };

    void startHost(Host &host);
    void addTarget(Target &target);
    void deliverToHost(const std::string &id);
    void onReply(const std::string &id, const ServiceReply &reply);
    void failCalls(const std::string &host);
    ProcessTime *processTime(const std::string &name);

    ManualTime time_;
    FakeNetwork network_;
    std::uint64_t seed_;
    TimePoint startedAt_;
    ProcessTime platformTime_;
    PlatformModel platform_;
    std::vector<std::unique_ptr<ProcessTime>> terminatedTimes_; // Kept because connections of terminated processes may still refer to them.
    std::map<std::string, Host> hosts_;
    std::map<std::string, Target> targets_;
    std::map<std::string, Call> calls_;
    std::map<std::string, CallerOutcome> outcomes_;
    std::vector<std::string> log_;
};

} // namespace magnoliaspan::testing
