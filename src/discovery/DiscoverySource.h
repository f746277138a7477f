/*
 * Part discovery: the published state, as a full reading and as changes since a revision.
 * Implementations translate; when to read, what to believe and when to give up is the controller's.
 */
#pragma once

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

/// \brief A zone was evacuated, or is taken back.
struct ZoneEvacuation {
    std::string zone;
    bool evacuated = false;
};

/// \brief A value that could not be read; it is left out.
struct DecodeFailure {
    std::string key;
    std::string reason;
};

using DiscoveryChange = std::variant<TablePublished, TargetPublished, TargetRemoved, ZoneEvacuation, DecodeFailure>;

/// \brief One value as it was published, for hosts that read it from this one.
struct PublishedItem {
    std::string key;
    std::int64_t revision = 0;          ///< Of its last change.
    std::optional<std::string> encoded; ///< As the source wrote it; nothing when it was removed.
};

/// \brief The result of one call.
struct DiscoveryReadResult {
    std::error_code error;    ///< Set when nothing was read.
    bool historyLost = false; ///< The changes since the revision are no longer known; a full reading is needed.
    std::int64_t revision = 0;
    std::vector<DiscoveryChange> changes;   ///< In the order of their publication.
    std::vector<PublishedItem> items;       ///< What the changes were decoded from, where it may be handed on.
    bool fromFallbackPeer = false;          ///< Told by another host, while this one cannot read for itself.
    bool sourceRecentlyUnavailable = false; ///< What is missing may only have lapsed while the source was away.
    Duration age{};                         ///< Since this state was last known to be the published one.
};

/// How old a full reading may be.
enum class Freshness {
    Latest,       ///< All that was acknowledged before the call.
    StaleAllowed, ///< Cheaper, and perhaps seconds old.
};

/// \brief Decodes what was published.
class ItemDecoder
{
public:
    virtual ~ItemDecoder() = default;

    /// \returns the change that \p item means, or nothing when it means nothing to this system.
    virtual std::optional<DiscoveryChange> decode(const PublishedItem &item) const = 0;
};

/// \brief Reads what operators and targets publish; one call at a time.
class DiscoverySource
{
public:
    using Handler = std::function<void(DiscoveryReadResult result)>;

    virtual ~DiscoverySource() = default;

    /// \brief Reads everything. \p handler is called once, never from inside.
    virtual void readAll(Freshness freshness, Handler handler) = 0;

    /// \brief Waits up to \p wait for changes after \p revision.
    virtual void watch(std::int64_t revision, Duration wait, Handler handler) = 0;

    /// \brief Drops the running call; its handler is not called any more.
    virtual void cancel() = 0;

    /// \brief Tells that others know more than this source gave; it should go another way for a while, if it has one.
    virtual void avoidCurrentPath() { }
};

} // namespace magnoliaspan
