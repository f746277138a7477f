/*
 * Read-only interface to the platform: the published environment document and the membership list.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <system_error>

namespace magnoliaspan {

/// \brief Result of one read of the published environment document.
struct DocumentReadResult {
    std::error_code error; ///< Set when the platform could not be read.
    std::int64_t revision = 0;
    bool changed = false; ///< False when the watch ended without a newer revision.
    std::string text;
};

/// State of a target in the membership list.
enum class MemberState { Live, Leaving };

/// \brief Result of one read of the membership list.
struct MembershipReadResult {
    std::error_code error; ///< Set when the platform could not be read.
    std::int64_t revision = 0;
    bool changed = false; ///< False when the watch ended without a newer revision.
    std::map<std::string, MemberState> targets;
};

/// \brief Reads and watches the data that the platform publishes.
/// At most one call of each of the two kinds may be outstanding; a pending watch counts as a call.
class PlatformSource
{
public:
    virtual ~PlatformSource() = default;

    /// \brief Reads the document; the platform delays the response, for a limited time, until the revision exceeds
    /// \p after.
    /// \param after revision already known; a negative value reads without delay.
    virtual void watchDocument(std::int64_t after, std::function<void(DocumentReadResult)> handler) = 0;

    /// \brief Reads the membership list.
    /// \sa watchDocument()
    virtual void watchMembership(std::int64_t after, std::function<void(MembershipReadResult)> handler) = 0;
};

} // namespace magnoliaspan
