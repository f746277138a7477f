/*
 * Local copy of the published state.
 */
#include "relay/Mirror.h"

#include <algorithm>
#include <cassert>

namespace magnoliaspan {

namespace {

// Targets of the largest deployments restart some thousand times a day; a host that missed more removals does a full read.
constexpr std::size_t maxTombstones = 2'000;

} // namespace

Mirror::Mirror(const Clock &clock)
    : clock_(clock)
{
}

void Mirror::apply(const DiscoveryReadResult &result)
{
    assert(!result.error && !result.historyLost && "the result of a failed read cannot be applied");
    assert((result.complete || result.position.era == position_.era) && "changes can only be applied to a state of their era");
    if (result.complete) {
        items_.clear();
        tombstones_.clear();
        historyStart_ = result.position.revision;
        position_ = result.position;
    }
    for (const PublishedItem &item : result.items) {
        applyItem(item);
    }
    position_ = std::max(position_, result.position);
    confirmedAt_ = clock_.now() - result.age;
    if (listener_) {
        listener_();
    }
}

void Mirror::applyItem(const PublishedItem &item)
{
    if (item.encoded) {
        items_[item.key] = item;
        return;
    }
    items_.erase(item.key);
    tombstones_[item.revision] = item;
    trimTombstones();
}

void Mirror::trimTombstones()
{
    while (tombstones_.size() > maxTombstones) {
        historyStart_ = std::max(historyStart_, tombstones_.begin()->first);
        tombstones_.erase(tombstones_.begin());
    }
}

void Mirror::onApplied(std::function<void()> listener)
{
    listener_ = std::move(listener);
}

bool Mirror::empty() const
{
    return !confirmedAt_;
}

const StatePosition &Mirror::position() const
{
    return position_;
}

Duration Mirror::age() const
{
    assert(confirmedAt_ && "age() is undefined before the first apply()");
    return clock_.now() - *confirmedAt_;
}

std::vector<PublishedItem> Mirror::allItems() const
{
    std::vector<PublishedItem> result;
    for (const auto &[key, item] : items_) {
        result.push_back(item);
    }
    return result;
}

std::optional<std::vector<PublishedItem>> Mirror::changesSince(std::int64_t revision) const
{
    if (revision < historyStart_) {
        return std::nullopt;
    }
    std::vector<PublishedItem> result;
    for (const auto &[key, item] : items_) {
        if (item.revision > revision) {
            result.push_back(item);
        }
    }
    for (auto it = tombstones_.upper_bound(revision); it != tombstones_.end(); ++it) {
        // A key that was published again after its removal is in items_, with a higher revision.
        if (!items_.contains(it->second.key)) {
            result.push_back(it->second);
        }
    }
    std::sort(result.begin(), result.end(), [](const PublishedItem &a, const PublishedItem &b) { return a.revision < b.revision; });
    return result;
}

} // namespace magnoliaspan
