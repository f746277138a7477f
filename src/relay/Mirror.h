/*
 * Local copy of the published state, from which other hosts can read.
 */
#pragma once

#include "core/Clock.h"
#include "discovery/DiscoverySource.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief Holds the latest value of each key with the revision of its last change, and a limited history of removals.
class Mirror
{
public:
    explicit Mirror(const Clock &clock);

    /// \brief Applies the result of a successful read.
    /// \param complete whether \p result is the whole state and replaces all items, else only changes.
    void apply(const DiscoveryReadResult &result, bool complete);

    /// \brief Calls \p listener after each call of apply().
    void onApplied(std::function<void()> listener);

    /// \returns whether no read was applied yet.
    bool empty() const;

    std::int64_t revision() const;

    /// \returns the time since the content was last confirmed to be the published state. Not defined while empty().
    Duration age() const;

    std::vector<PublishedItem> allItems() const;

    /// \returns the changes after \p revision in the order of their revisions, or no value if the history does not reach
    /// back that far.
    std::optional<std::vector<PublishedItem>> changesSince(std::int64_t revision) const;

private:
    void applyItem(const PublishedItem &item);
    void trimTombstones();

    const Clock &clock_;
    std::function<void()> listener_;
    std::map<std::string, PublishedItem> items_;       // By key.
    std::map<std::int64_t, PublishedItem> tombstones_; // Removed items by revision, so that followers receive the removals.
    std::int64_t revision_ = 0;
    std::int64_t historyStart_ = 0; // Invariant: every change after it is in items_ or tombstones_.
    std::optional<TimePoint> confirmedAt_;
};

} // namespace magnoliaspan
