/*
 * Interface to the published state: full reads, and changes since a revision.
 * Implementations only translate; scheduling, retries and the validity of entries are up to DiscoveryController.
 */
#pragma once

#include "discovery/StatePosition.h"
#include "discovery/TargetEntry.h"
#include "routing/RoutingTable.h"

#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace magnoliaspan {

/// \brief A routing table was published.
struct TablePublished {
    RoutingTablePtr table;
};

/// \brief A target registered or changed its entry.
struct TargetPublished {
    TargetEntry entry;
};

/// \brief A target's entry was removed.
struct TargetRemoved {
    std::string id;
};

/// \brief A zone was evacuated, or its evacuation was cancelled.
struct ZoneEvacuation {
    std::string zone;
    bool evacuated = false;
};

/// \brief A value that could not be decoded; it is skipped.
struct DecodeFailure {
    std::string key;
    std::string reason;
};

using DiscoveryChange = std::variant<TablePublished, TargetPublished, TargetRemoved, ZoneEvacuation, DecodeFailure>;

/// \brief One value in its published encoding, for hosts that read it from this one.
struct PublishedItem {
    std::string key;
    std::int64_t revision = 0;          ///< Of its last change, in the era of the result or the mirror that holds it.
    std::optional<std::string> encoded; ///< Value as encoded by the source; no value if the item was removed.
};

/// \brief The result of one call.
struct DiscoveryReadResult {
    std::error_code error;                  ///< Set if the call failed.
    bool historyLost = false;               ///< The changes since the given revision are no longer available; a full read is needed.
    StatePosition position;                 ///< Up to which the changes are included.
    bool complete = false;                  ///< Whether the changes are the whole state, so that whatever they don't list is not published.
    std::vector<DiscoveryChange> changes;   ///< In the order of their publication.
    std::vector<PublishedItem> items;       ///< From which changes were decoded, if they may be relayed to other hosts.
    bool fromFallbackPeer = false;          ///< Read from another host because this one cannot reach the source.
    bool sourceRecentlyUnavailable = false; ///< Missing entries may only have lapsed while the source was unavailable.
    bool sourceUnreachable = false;         ///< Read from another host whose own last call to the source failed.
    Duration age{};                         ///< Time since this state was last confirmed to be the published one.
    bool mayHaveMore = false;               ///< More changes may wait already: the source limits the size of a response.
    bool mostlyOutdated = false;            ///< Much of the response was replaced by its own later part; a full read is shorter.
    bool brokenOff = false;                 ///< Set with error: a full read that failed after a part of the state, which the changes hold.
};

/// Required freshness of a full read.
enum class Freshness {
    Latest,       ///< Includes every write acknowledged before the call.
    StaleAllowed, ///< Cheaper; may be seconds old.
};

/// \brief Decodes published items.
class ItemDecoder
{
public:
    virtual ~ItemDecoder() = default;

    /// \returns the change that \p item describes, or no value if its key is of no concern to this program.
    virtual std::optional<DiscoveryChange> decode(const PublishedItem &item) const = 0;
};

/// \brief Reads the state that operators and targets publish; runs one call at a time.
class DiscoverySource
{
public:
    using Handler = std::function<void(DiscoveryReadResult result)>;

    virtual ~DiscoverySource() = default;

    /// \brief Reads the whole state. \p handler is called once, never before this function returns.
    virtual void readAll(Freshness freshness, Handler handler) = 0;

    /// \brief Waits up to \p wait for changes after \p after. \p handler is called as by readAll().
    ///
    /// A result of another era than that of \p after holds either the whole state or changes that do not follow it; after
    /// the latter a full read is needed.
    virtual void watch(const StatePosition &after, Duration wait, Handler handler) = 0;

    /// \brief Cancels the running call; its handler is not called any more.
    virtual void cancel() = 0;

    /// \brief Uses another path to the published state for a while, if there is one, because other hosts have read
    /// further than this source returned.
    virtual void avoidCurrentPath() { }
};

} // namespace magnoliaspan
