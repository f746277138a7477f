/*
 * Interface of the system under test for scenario scripts, implemented by fakes on a manual clock and by real
 * processes.
 */
#pragma once

#include "scenario/DocumentBuilder.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliaspan::testing {

/// A request of a caller.
struct CallerRequest {
    std::string id;
    std::string host;
    std::string path;
    std::string body;
    std::string key;   ///< Idempotency key, empty for searches.
    std::string query; ///< Query of a search; each hit of the response must carry it.
    Duration sentAt{}; ///< Since the start of the script.
};

/// Outcome of a caller's request.
struct CallerOutcome {
    bool answered = false; ///< False while the request is in flight or if the connection was lost.
    bool lost = false;     ///< The connection ended without a response, or the caller disconnected.
    unsigned status = 0;
    std::string body;
    Duration latency{}; ///< From sending the request to the response.
    Duration endedAt{}; ///< Since the start of the script.
};

/// Operations and observations available to scripts; names are those declared in the script.
class World
{
public:
    virtual ~World() = default;

    /// Assigns addresses to the declarations in \p builder, then starts all processes.
    virtual void start(DocumentBuilder &builder) = 0;
    /// Lets time pass.
    virtual void run(Duration duration) = 0;
    virtual Duration elapsed() const = 0;
    virtual WallTime callerTime() const = 0;
    virtual void send(const CallerRequest &request) = 0;
    /// Closes the connection of the caller of request \p id.
    virtual void disconnect(const std::string &id) = 0;
    virtual const std::map<std::string, CallerOutcome> &outcomes() = 0;
    /// Sets a trait of a target. \returns false for an unknown trait.
    virtual bool setTargetTrait(const std::string &target, const std::string &trait, const std::string &value) = 0;
    virtual TargetRecord record(const std::string &target) = 0;
    virtual void kill(const std::string &name) = 0;
    virtual void restart(const std::string &name, bool cold) = 0;
    /// Starts a second process in the seat of \p host; the old one keeps running as "NAME.old", reachable by callers only.
    virtual void replace(const std::string &host) = 0;
    virtual void freeze(const std::string &name, bool frozen) = 0;
    /// Injects a fault on a link. \returns false if the condition or the link is not supported.
    virtual bool link(const std::string &from, const std::string &to, const std::string &condition, Duration delay) = 0;
    /// Sets the fault mode of the platform. \returns false for an unknown mode.
    virtual bool platform(const std::string &mode) = 0;
    /// Publishes in the platform's membership whether \p target is leaving.
    virtual void setTargetLeaving(const std::string &target, bool leaving) = 0;
    virtual void publish(const std::string &text) = 0;
    /// Requests an orderly shutdown of an entry host.
    virtual void stop(const std::string &host) = 0;

    /// \returns the status report of an entry host, or an empty string if it is not running.
    virtual std::string status(const std::string &host) = 0;

    /// \returns the value of a metric counter of an entry host, or zero if it has none of that name.
    virtual std::uint64_t counter(const std::string &host, const std::string &name) = 0;

    /// \returns the log of the session so far; in fake worlds it includes the log lines of the hosts.
    virtual const std::vector<std::string> &log() const = 0;
    virtual void appendLogLine(const std::string &line) = 0;
};

} // namespace magnoliaspan::testing
