/*
 * Part membership: news that are still to be handed on.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

namespace magnoliaspan {

/// \brief Names the news to send along, the least often sent first; each is handed on a bounded number of times.
/// With a number that grows with the logarithm of the hosts, news reach all of them with high probability (Das, Gupta and
/// Motivala, "SWIM", 2002).
template <typename Key>
class UpdateQueue
{
public:
    void add(const Key &key)
    {
        transmissions_[key] = 0;
    }

    bool empty() const
    {
        return transmissions_.empty();
    }

    /// \brief Counts one more sending of each of those returned.
    /// \param limit of the news returned.
    /// \param times each is handed on at most.
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
    std::map<Key, unsigned> transmissions_; // How often each was handed on.
};

} // namespace magnoliaspan
