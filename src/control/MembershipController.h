/*
 * Part control: the platform's lagging list of live and leaving targets.
 */
#pragma once

#include "core/Clock.h"
#include "core/Journal.h"
#include "transport/PlatformSource.h"

#include <functional>
#include <optional>

namespace magnoliaspan {

/// \brief Keeps the newest membership list; an older revision never replaces it.
class MembershipController
{
public:
    MembershipController(const Clock &clock, Journal &journal);

    /// \brief Takes over \p reading when it is newer. \returns whether it was.
    bool apply(const MembershipReadResult &reading);

    /// \returns the revision of the list in use, zero before the first.
    std::int64_t revision() const;

    /// \returns when the list in use arrived.
    std::optional<TimePoint> receivedAt() const;

    /// \brief Calls \p listener after each newer list.
    void onChange(std::function<void(const MembershipReadResult &)> listener);

private:
    const Clock &clock_;
    Journal &journal_;
    std::int64_t revision_ = 0; // Invariant: never decreases.
    std::optional<TimePoint> receivedAt_;
    std::function<void(const MembershipReadResult &)> listener_;
};

} // namespace magnoliaspan
