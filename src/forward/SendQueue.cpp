/*
 * Part forward: the order of service.
 */
#include "forward/SendQueue.h"

#include <algorithm>

namespace magnoliaspan {

void SendQueue::push(SendId send, TimePoint now, TimePoint goal)
{
    entries_.push_back({send, now, goal});
}

std::optional<SendId> SendQueue::pop(TimePoint now, Duration expected)
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
    const SendId send = chosen->send;
    entries_.erase(chosen);
    return send;
}

void SendQueue::erase(SendId send)
{
    std::erase_if(entries_, [send](const Entry &entry) { return entry.send == send; });
}

std::vector<SendId> SendQueue::expire(TimePoint now, Duration limit)
{
    std::vector<SendId> expired;
    std::erase_if(entries_, [&](const Entry &entry) {
        if (now - entry.queuedAt <= limit || now <= entry.goal) {
            return false;
        }
        expired.push_back(entry.send);
        return true;
    });
    return expired;
}

std::vector<SendId> SendQueue::clear()
{
    std::vector<SendId> all;
    for (const Entry &entry : entries_) {
        all.push_back(entry.send);
    }
    entries_.clear();
    return all;
}

bool SendQueue::empty() const
{
    return entries_.empty();
}

std::size_t SendQueue::size() const
{
    return entries_.size();
}

} // namespace magnoliaspan
