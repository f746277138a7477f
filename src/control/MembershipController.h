/*
 * Holds the platform's list of live and leaving targets, which lags behind their actual state.
 */
#pragma once

#include "core/Clock.h"
#include "core/Journal.h"
#include "transport/PlatformSource.h"

#include <functional>
#include <optional>

namespace magnoliaspan {

/// \brief Holds the newest membership list; an older revision never replaces it.
class MembershipController
{
public:
    MembershipController(const Clock &clock, Journal &journal);

    /// \brief Applies the list in \p reading when it is newer than the one in use.
    /// \returns whether it was applied.
    bool apply(const MembershipReadResult &reading);

    /// \returns the revision of the list in use, zero before the first.
    std::int64_t revision() const;

    /// \returns when the list in use was received.
    std::optional<TimePoint> receivedAt() const;

    /// \brief Sets the \p listener that is called after each applied list.
    void onChange(std::function<void(const MembershipReadResult &)> listener);

private:
    const Clock &clock_;
    Journal &journal_;
    std::int64_t revision_ = 0; // Invariant: never decreases.
    std::optional<TimePoint> receivedAt_;
    std::function<void(const MembershipReadResult &)> listener_;
};

} // namespace magnoliaspan
