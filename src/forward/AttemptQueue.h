/*
 * Part forward: sends that wait for a replica with more work than it can bear.
 */
#pragma once

#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace magnoliaspan {

/// Identifies a send of one replica; zero names none.
enum class AttemptId : std::uint64_t { None = 0 };

/// \brief First come, first served while all can be in time; under overload the newest that still can.
/// In a persistent overload a plain queue makes every request late; here those that are served are in time (adaptive
/// LIFO, as in Maurer, "Fail at Scale", 2015).
class AttemptQueue
{
public:
    /// \param goal when the answer loses most of its use.
    void push(AttemptId attempt, TimePoint now, TimePoint goal);

    /// \brief Takes out the send to be served next. \param expected time that it takes.
    std::optional<AttemptId> pop(TimePoint now, Duration expected);

    void erase(AttemptId attempt);

    /// \brief Takes out all that waited longer than \p limit and cannot be in time any more.
    std::vector<AttemptId> expire(TimePoint now, Duration limit);

    /// \brief Takes out everything, the oldest first.
    std::vector<AttemptId> clear();

    bool empty() const;
    std::size_t size() const;

private:
    struct Entry {
        AttemptId attempt;
        TimePoint queuedAt;
        TimePoint goal;
    };

    std::deque<Entry> entries_; // Invariant: the oldest first.
};

} // namespace magnoliaspan
