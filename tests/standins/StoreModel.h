/*
 * Stand-in of the users' key-value store, which lists keys page after page and returns changes to watches.
 */
#pragma once

#include "core/Clock.h"
#include "core/Scheduler.h"
#include "request/Service.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan::testing {

/// Holds elements in the order of their keys. A call is refused with status 400 unless its target is a valid path and query
/// (RFC 3986) with parameters of the store, each once.
class StoreModel : public Service
{
public:
    /// Stands in an element for the revision under which it is published.
    static constexpr std::string_view revisionMark = "$REV";

    StoreModel(const Clock &clock, Scheduler &scheduler);

    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override;

    /// Publishes \p value under \p key, which is UTF-8.
    void put(const std::string &key, std::string_view value);

    /// Publishes \p element, which need not be an item, in the place of \p key.
    void putElement(const std::string &key, std::string element);

    void remove(const std::string &key);

    /// Refuses watches from all revisions so far, also those that wait, with status 410.
    void dropHistory();

    std::size_t pageItems = 500;  ///< Elements of a page of a list.
    bool repeatsPages = false;    ///< Whether each page of a list is the first one.
    bool repeatsEvents = false;   ///< Whether each watch returns the last event, and the revision that it was asked for.
    bool refusesRawBytes = false; ///< Whether parameters that are not UTF-8 are malformed.
    unsigned calls = 0;
    unsigned malformedCalls = 0;

private:
    struct Element {
        std::string text;
        std::int64_t revision = 0;
        bool removed = false;
    };

    struct Watch {
        std::string prefix;
        std::int64_t after = 0;
        ReplyHandler handler;
    };

    using Parameters = std::map<std::string, std::string>;

    void listPage(const Parameters &parameters, const ReplyHandler &handler) const;
    CancelFunction watch(const Parameters &parameters, ReplyHandler handler);
    std::vector<std::string> eventsOf(const Watch &watch) const;
    void respond(const Watch &watch) const;
    void notifyWatches();

    const Clock &clock_;
    Scheduler &scheduler_;
    std::map<std::string, Element> elements_; // By key, also removed ones.
    std::map<std::uint64_t, Watch> watches_;  // Waiting, by number.
    std::uint64_t lastWatch_ = 0;
    std::int64_t revision_ = 1;
    std::int64_t historyStart_ = 0;
};

} // namespace magnoliaspan::testing
