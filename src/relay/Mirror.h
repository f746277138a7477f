/*
 * Part relay: what this host has read, kept so that others can read it here.
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

/// \brief The newest value of each key, with the revision of its last change.
class Mirror
{
public:
    explicit Mirror(const Clock &clock);

    /// \brief Takes over a reading without an error.
    /// \param complete whether it is the whole state.
    void apply(const DiscoveryReadResult &result, bool complete);

    /// \brief Calls \p listener after each reading.
    void onApplied(std::function<void()> listener);

    /// \returns whether nothing was ever read.
    bool empty() const;

    std::int64_t revision() const;

    /// \returns the time since what it holds was last known to be the published state; not to be asked while empty.
    Duration age() const;

    std::vector<PublishedItem> allItems() const;

    /// \returns what changed after \p revision, or nothing when that is no longer known.
    std::optional<std::vector<PublishedItem>> changesSince(std::int64_t revision) const;

private:
    void applyItem(const PublishedItem &item);
    void trimTombstones();

    const Clock &clock_;
    std::function<void()> listener_;
    std::map<std::string, PublishedItem> items_;       // By key.
    std::map<std::int64_t, PublishedItem> tombstones_; // By revision, so that followers hear of them.
    std::int64_t revision_ = 0;
    std::int64_t historyStart_ = 0; // Invariant: every change after it is in items_ or removals_.
    std::optional<TimePoint> confirmedAt_;
};

} // namespace magnoliaspan
