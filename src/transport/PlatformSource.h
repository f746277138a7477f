/*
 * Part transport: what the platform publishes, read and watched only.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <system_error>

namespace magnoliaspan {

/// \brief One reading of the published environment document.
struct DocumentReadResult {
    std::error_code error; ///< Set when the platform could not be read.
    std::int64_t revision = 0;
    bool changed = false; ///< False when the watch ended without a newer revision.
    std::string text;
};

/// How the membership list describes a target.
enum class MemberState { Live, Leaving };

/// \brief One reading of the membership list.
struct MembershipReadResult {
    std::error_code error;
    std::int64_t revision = 0;
    bool changed = false;
    std::map<std::string, MemberState> targets;
};

/// \brief Reads what the platform publishes.
/// One call may be outstanding for each of the two kinds; a watch counts as a call while it waits.
class PlatformSource
{
public:
    virtual ~PlatformSource() = default;

    /// \brief Reads the document; waits at the platform until its revision exceeds \p after, for a bounded time.
    /// \param after revision already known; negative reads at once.
    virtual void watchDocument(std::int64_t after, std::function<void(DocumentReadResult)> handler) = 0;

    /// \brief Reads the membership list, as watchDocument() does the document.
    virtual void watchMembership(std::int64_t after, std::function<void(MembershipReadResult)> handler) = 0;
};

} // namespace magnoliaspan
