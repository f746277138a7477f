/*
 * Queue of member updates and crash reports to disseminate, each transmitted a limited number of times.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

namespace magnoliaspan {

/// \brief Selects the updates to attach to a datagram, the least often transmitted first.
/// If the number of transmissions grows with the logarithm of the number of hosts, an update reaches all hosts with high
/// probability (Das, Gupta and Motivala, "SWIM", 2002).
/// \tparam Key identifies an update, for instance the name of the member that it concerns; it needs operator<.
template <typename Key>
class UpdateQueue
{
public:
    /// \brief Queues \p key; if it is queued already, its transmissions are counted from zero again.
    void add(const Key &key)
    {
        transmissions_[key] = 0;
    }

    bool empty() const
    {
        return transmissions_.empty();
    }

    /// \brief Returns the next updates and counts one transmission of each.
    /// \param limit highest number of updates returned.
    /// \param maxTransmissions transmissions after which an update is removed from the queue.
    std::vector<Key> takeNext(std::size_t limit, unsigned maxTransmissions)
    {
        std::vector<Key> keys;
        for (const auto &[key, transmissions] : transmissions_) {
            keys.push_back(key);
        }
        std::stable_sort(
            keys.begin(), keys.end(), [this](const Key &a, const Key &b) { return transmissions_.at(a) < transmissions_.at(b); });
        keys.resize(std::min(keys.size(), limit));
        for (const Key &key : keys) {
            if (++transmissions_.at(key) >= maxTransmissions) {
                transmissions_.erase(key);
            }
        }
        return keys;
    }

private:
    std::map<Key, unsigned> transmissions_; // Number of transmissions so far, by update.
};

} // namespace magnoliaspan
