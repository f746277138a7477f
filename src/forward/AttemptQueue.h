/*
 * Queues attempts that wait for a replica at its concurrency limit.
 */
#pragma once

#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace magnoliaspan {

/// Identifies an attempt at one replica; zero is no attempt.
enum class AttemptId : std::uint64_t { None = 0 };

/// \brief First in, first out while the oldest can meet its latency goal; under overload the newest that still can.
/// In a persistent overload a plain queue makes every request late; here those that are served are in time (adaptive
/// LIFO, as in Maurer, "Fail at Scale", 2015).
class AttemptQueue
{
public:
    /// \param goal time of the latency goal, after which the response loses most of its use.
    void push(AttemptId attempt, TimePoint now, TimePoint goal);

    /// \brief Removes and returns the attempt to be started next, nothing if the queue is empty.
    /// \param expected latency of the attempt.
    std::optional<AttemptId> pop(TimePoint now, Duration expected);

    void erase(AttemptId attempt);

    /// \brief Removes and returns all that waited longer than \p limit and missed their latency goal.
    std::vector<AttemptId> expire(TimePoint now, Duration limit);

    /// \brief Removes and returns everything, the oldest first.
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
