/*
 * Watch loops for the environment document and the membership list.
 */
#include "control/PlatformWatcher.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

constexpr Duration firstBackoff = std::chrono::milliseconds(200);
constexpr Duration maxBackoff = std::chrono::seconds(2);
constexpr unsigned maxDoublings = 4;
// Avoids a busy loop when watches return at once without a change.
constexpr Duration minWatchInterval = std::chrono::milliseconds(50);

} // namespace

PlatformWatcher::PlatformWatcher(const Clock &clock,
                                 Scheduler &scheduler,
                                 PlatformSource &source,
                                 ConfigurationController &configuration,
                                 MembershipController &membership,
                                 PauseDetector &pause,
                                 std::uint64_t seed)
    : clock_(clock)
    , scheduler_(scheduler)
    , source_(source)
    , configuration_(configuration)
    , membership_(membership)
    , pause_(pause)
    , random_(seed)
    , lifetimeToken_(std::make_shared<int>(0))
{
}

void PlatformWatcher::start()
{
    watchDocument();
    watchMembership();
}

void PlatformWatcher::refresh()
{
    const TimePoint requestedAt = clock_.now();
    source_.watchDocument(-1, [this, requestedAt, alive = std::weak_ptr<int>(lifetimeToken_)](const DocumentReadResult &reading) {
        if (alive.expired() || reading.error) {
            return;
        }
        configuration_.offer(reading.text, "platform");
        lastDocumentReadAt_ = clock_.now();
        pause_.recordRead(requestedAt);
    });
}

void PlatformWatcher::watchDocument()
{
    const TimePoint requestedAt = clock_.now();
    source_.watchDocument(documentRevision_,
                          [this, requestedAt, alive = std::weak_ptr<int>(lifetimeToken_)](const DocumentReadResult &reading) {
                              if (!alive.expired()) {
                                  onDocumentRead(requestedAt, reading);
                              }
                          });
}

void PlatformWatcher::onDocumentRead(TimePoint requestedAt, const DocumentReadResult &reading)
{
    firstReadCompleted_ = true;
    Duration wait = minWatchInterval;
    if (reading.error) {
        wait = backoff(++documentFailures_);
    } else {
        documentFailures_ = 0;
        lastDocumentReadAt_ = clock_.now();
        // The platform may have fallen back to an older revision; the watch continues from there.
        documentRevision_ = reading.revision;
        if (reading.changed) {
            configuration_.offer(reading.text, "platform");
        }
        pause_.recordRead(requestedAt);
    }
    scheduler_.callAt(clock_.now() + wait, [this, alive = std::weak_ptr<int>(lifetimeToken_)] {
        if (!alive.expired()) {
            watchDocument();
        }
    });
}

void PlatformWatcher::watchMembership()
{
    source_.watchMembership(membershipRevision_, [this, alive = std::weak_ptr<int>(lifetimeToken_)](const MembershipReadResult &reading) {
        if (!alive.expired()) {
            onMembershipRead(reading);
        }
    });
}

void PlatformWatcher::onMembershipRead(const MembershipReadResult &reading)
{
    Duration wait = minWatchInterval;
    if (reading.error) {
        wait = backoff(++membershipFailures_);
    } else {
        membershipFailures_ = 0;
        lastMembershipReadAt_ = clock_.now();
        membershipRevision_ = reading.revision;
        membership_.apply(reading);
    }
    scheduler_.callAt(clock_.now() + wait, [this, alive = std::weak_ptr<int>(lifetimeToken_)] {
        if (!alive.expired()) {
            watchMembership();
        }
    });
}

Duration PlatformWatcher::backoff(unsigned failures)
{
    const Duration full = std::min(maxBackoff, firstBackoff * (1 << std::min(failures, maxDoublings)));
    const auto half = full.count() / 2;
    return Duration(half + static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(half + 1)));
}

std::optional<TimePoint> PlatformWatcher::lastDocumentReadAt() const
{
    return lastDocumentReadAt_;
}

std::optional<TimePoint> PlatformWatcher::lastMembershipReadAt() const
{
    return lastMembershipReadAt_;
}

bool PlatformWatcher::hasCompletedFirstRead() const
{
    return firstReadCompleted_;
}

} // namespace magnoliaspan
