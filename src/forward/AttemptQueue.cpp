/*
 * Selects the next attempt by its latency goal (adaptive LIFO).
 */
#include "forward/AttemptQueue.h"

#include <algorithm>

namespace magnoliaspan {

void AttemptQueue::push(AttemptId attempt, TimePoint now, TimePoint goal)
{
    entries_.push_back({attempt, now, goal});
}

std::optional<AttemptId> AttemptQueue::pop(TimePoint now, Duration expected)
{
    if (entries_.empty()) {
        return std::nullopt;
    }
    const auto inTime = [now, expected](const Entry &entry) { return now + expected <= entry.goal; };
    auto chosen = entries_.begin();
    if (!inTime(*chosen)) {
        const auto newest = std::find_if(entries_.rbegin(), entries_.rend(), inTime);
        chosen = newest == entries_.rend() ? entries_.begin() : std::prev(newest.base());
    }
    const AttemptId attempt = chosen->attempt;
    entries_.erase(chosen);
    return attempt;
}

void AttemptQueue::erase(AttemptId attempt)
{
    std::erase_if(entries_, [attempt](const Entry &entry) { return entry.attempt == attempt; });
}

std::vector<AttemptId> AttemptQueue::expire(TimePoint now, Duration limit)
{
    std::vector<AttemptId> expired;
    std::erase_if(entries_, [&](const Entry &entry) {
        if (now - entry.queuedAt <= limit || now <= entry.goal) {
            return false;
        }
        expired.push_back(entry.attempt);
        return true;
    });
    return expired;
}

std::vector<AttemptId> AttemptQueue::clear()
{
    std::vector<AttemptId> all;
    for (const Entry &entry : entries_) {
        all.push_back(entry.attempt);
    }
    entries_.clear();
    return all;
}

bool AttemptQueue::empty() const
{
    return entries_.empty();
}

std::size_t AttemptQueue::size() const
{
    return entries_.size();
}

} // namespace magnoliaspan
