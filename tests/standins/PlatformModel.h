/*
 * Test stand-in: the platform's configuration and membership service. It can
 * only be read and watched; it counts each call, a waiting watch as one.
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

/// The model of the platform; its transport is elsewhere.
class PlatformModel : public Service
{
public:
    PlatformModel(const Clock &clock, Scheduler &scheduler);

    Abandon handle(ServiceRequest request, ReplyHandler handler) override;

    /// Publishes \p text as the document, with the next revision.
    void publish(std::string text);

    /// Publishes the state of one target, with the next revision.
    void setTargetLeaving(const std::string &target, bool leaving);

    /// Sets how it behaves: up, down, stale (knows nothing newer), past (answers with the first document), or slow (answers late). \returns
    /// false for another word.
    bool setMode(const std::string &mode);

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
    std::size_t staleDocuments_ = 0; // Documents known when it went stale.
    std::size_t staleMemberships_ = 0;
};

} // namespace magnoliaspan::testing
