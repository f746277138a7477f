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

    /// \brief Applies the result of a successful read: the whole state, which replaces all items, or changes of the same era.
    void apply(const DiscoveryReadResult &result);

    /// \brief Calls \p listener after each call of apply().
    void onApplied(std::function<void()> listener);

    /// \returns whether no read was applied yet.
    bool empty() const;

    /// \returns the position of the content, which goes back if the source does.
    const StatePosition &position() const;

    /// \returns the time since the content was last confirmed to be the published state. Not defined while empty().
    Duration age() const;

    std::vector<PublishedItem> allItems() const;

    /// \returns the changes after \p revision of the present era in the order of their revisions, or no value if the
    /// history does not reach back that far.
    std::optional<std::vector<PublishedItem>> changesSince(std::int64_t revision) const;

private:
    void applyItem(const PublishedItem &item);
    void trimTombstones();

    const Clock &clock_;
    std::function<void()> listener_;
    std::map<std::string, PublishedItem> items_;       // By key.
    std::map<std::int64_t, PublishedItem> tombstones_; // Removed items by revision, so that followers receive the removals.
    StatePosition position_;                           // Invariant: all revisions held are of its era.
    std::int64_t historyStart_ = 0;                    // Invariant: every change after it is in items_ or tombstones_.
    std::optional<TimePoint> confirmedAt_;
};

} // namespace magnoliaspan
