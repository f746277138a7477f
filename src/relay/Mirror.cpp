/*
 * Part relay: the kept state.
 */
#include "relay/Mirror.h"

#include <algorithm>
#include <cassert>

namespace magnoliaspan {

namespace {

// Targets restart some thousand times a day at the largest; a host that missed more reads everything again.
constexpr std::size_t maxRemovals = 2'000;

} // namespace

Mirror::Mirror(const Clock &clock)
    : clock_(clock)
{
}

void Mirror::apply(const DiscoveryReading &reading, bool complete)
{
    assert(!reading.error && !reading.historyLost && "only what was read can be kept");
    if (complete) {
        items_.clear();
        removals_.clear();
        oldest_ = reading.revision;
    }
    for (const PublishedItem &item : reading.items) {
        take(item);
    }
    revision_ = std::max(revision_, reading.revision);
    confirmedAt_ = clock_.now() - reading.age;
    if (listener_) {
        listener_();
    }
}

void Mirror::take(const PublishedItem &item)
{
    if (item.encoded) {
        items_[item.key] = item;
        return;
    }
    items_.erase(item.key);
    removals_[item.revision] = item;
    boundRemovals();
}

void Mirror::boundRemovals()
{
    while (removals_.size() > maxRemovals) {
        oldest_ = std::max(oldest_, removals_.begin()->first);
        removals_.erase(removals_.begin());
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

std::int64_t Mirror::revision() const
{
    return revision_;
}

Duration Mirror::age() const
{
    assert(confirmedAt_ && "an empty mirror has no age");
    return clock_.now() - *confirmedAt_;
}

std::vector<PublishedItem> Mirror::all() const
{
    std::vector<PublishedItem> result;
    for (const auto &[key, item] : items_) {
        result.push_back(item);
    }
    return result;
}

std::optional<std::vector<PublishedItem>> Mirror::since(std::int64_t revision) const
{
    if (revision < oldest_) {
        return std::nullopt;
    }
    std::vector<PublishedItem> result;
    for (const auto &[key, item] : items_) {
        if (item.revision > revision) {
            result.push_back(item);
        }
    }
    for (auto it = removals_.upper_bound(revision); it != removals_.end(); ++it) {
        // A key that was published again is among the items, with a higher revision.
        if (!items_.contains(it->second.key)) {
            result.push_back(it->second);
        }
    }
    std::sort(result.begin(), result.end(), [](const PublishedItem &a, const PublishedItem &b) { return a.revision < b.revision; });
    return result;
}

} // namespace magnoliaspan
