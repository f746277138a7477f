/*
 * Scenario language: what a script acts on: fakes on a manual clock, or real processes.
 */
#pragma once

#include "scenario/DocumentBuilder.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliaspan::testing {

/// What a caller sends.
struct CallerRequest {
    std::string id;
    std::string host;
    std::string path;
    std::string body;
    std::string key;   // Idempotency key, empty for searches.
    std::string query; // What the answer must be to.
    Duration sentAt{}; // Since the start of the script.
};

/// What became of a caller's request.
struct CallerOutcome {
    bool answered = false; // False while it runs, or when the connection was lost.
    bool lost = false;     // The connection ended without an answer.
    unsigned status = 0;
    std::string body;
    Duration latency{};
    Duration endedAt{}; // Since the start of the script.
};

/// The acts and observations of scripts.
class World
{
public:
    virtual ~World() = default;

    virtual void start(DocumentBuilder &builder) = 0;
    virtual void run(Duration duration) = 0;
    virtual Duration elapsed() const = 0;
    virtual WallTime callerTime() const = 0;
    virtual void send(const CallerRequest &request) = 0;
    virtual void disconnect(const std::string &id) = 0;
    virtual const std::map<std::string, CallerOutcome> &outcomes() = 0;
    virtual bool setTargetTrait(const std::string &target, const std::string &trait, const std::string &value) = 0;
    virtual TargetRecord record(const std::string &target) = 0;
    virtual void kill(const std::string &name) = 0;
    virtual void restart(const std::string &name, bool cold) = 0;
    /// Starts another process in the seat of \p host; the old one goes on as "NAME.old", reached by callers only.
    virtual void replace(const std::string &host) = 0;
    virtual void freeze(const std::string &name, bool frozen) = 0;
    virtual bool link(const std::string &from, const std::string &to, const std::string &condition, Duration delay) = 0;
    virtual bool platform(const std::string &mode) = 0;
    virtual void setTargetLeaving(const std::string &target, bool leaving) = 0;
    virtual void publish(const std::string &text) = 0;
    virtual void stop(const std::string &host) = 0;

    /// \returns the status report of an entry host, empty when it does not run.
    virtual std::string status(const std::string &host) = 0;

    /// \returns the value of a counter of an entry host.
    virtual std::uint64_t counter(const std::string &host, const std::string &name) = 0;

    /// \returns the lines of the whole session so far.
    virtual const std::vector<std::string> &log() const = 0;
    virtual void appendLogLine(const std::string &line) = 0;
};

} // namespace magnoliaspan::testing
