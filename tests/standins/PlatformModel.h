/*
 * Stand-in for the platform's configuration and membership service. Clients can only read and watch it; it counts
 * calls, and a long-polling watch counts as one.
 */
#pragma once

#include "core/Clock.h"
#include "core/Scheduler.h"
#include "request/Service.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace magnoliaspan::testing {

/// Behaviour of the platform, independent of the transport.
class PlatformModel : public Service
{
public:
    PlatformModel(const Clock &clock, Scheduler &scheduler);

    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override;

    /// Publishes \p text as the environment document with the next revision.
    void publish(std::string text);

    /// Publishes whether \p target is leaving or live, with the next membership revision.
    void setTargetLeaving(const std::string &target, bool leaving);

    /// Sets the mode: up, down (responds 503), stale (serves nothing newer than now), past (serves the first document) or slow (responds
    /// after 20 s). \returns false for an unknown mode.
    bool setMode(const std::string &mode);

    /// \returns the number of calls received.
    unsigned calls() const;

private:
    struct Published {
        std::int64_t revision = 0;
        std::string text;
    };

    struct Watch {
        bool document = false;
        std::int64_t after = 0;
        ReplyHandler handler;
    };

    const Published &document() const;
    const Published &membership() const;
    std::string body(const Published &published, bool document, bool changed) const;
    void respond(const Watch &watch);
    void notifyWatches();
    std::string membersJson() const;

    const Clock &clock_;
    Scheduler &scheduler_;
    std::string mode_ = "up";
    std::vector<Published> documents_; // Oldest first.
    std::vector<Published> memberships_;
    std::map<std::string, bool> leaving_;
    std::map<std::uint64_t, Watch> watches_;
    std::uint64_t lastWatch_ = 0;
    unsigned calls_ = 0;
    std::size_t staleDocuments_ = 0;   // Number of documents at the last mode change; stale mode serves none newer.
    std::size_t staleMemberships_ = 0; // The same for memberships.
};

} // namespace magnoliaspan::testing
