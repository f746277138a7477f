/*
 * Part control: the watch loops.
 */
#include "control/PlatformWatcher.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

constexpr Duration firstBackoff = std::chrono::milliseconds(200);
constexpr Duration maxBackoff = std::chrono::seconds(2);
constexpr unsigned maxDoublings = 4;
// A watch that ends at once without news must not turn into a busy loop.
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
    , alive_(std::make_shared<int>(0))
{
}

void PlatformWatcher::start()
{
    watchDocument();
    watchMembership();
}

void PlatformWatcher::refresh()
{
    const TimePoint asked = clock_.now();
    source_.watchDocument(-1, [this, asked, alive = std::weak_ptr<int>(alive_)](const DocumentReadResult &reading) {
        if (alive.expired() || reading.error) {
            return;
        }
        configuration_.offer(reading.text, "platform");
        lastDocumentReading_ = clock_.now();
        pause_.confirm(asked);
    });
}

void PlatformWatcher::watchDocument()
{
    const TimePoint asked = clock_.now();
    source_.watchDocument(documentRevision_, [this, asked, alive = std::weak_ptr<int>(alive_)](const DocumentReadResult &reading) {
        if (!alive.expired()) {
            documentRead(asked, reading);
        }
    });
}

void PlatformWatcher::documentRead(TimePoint asked, const DocumentReadResult &reading)
{
    asked_ = true;
    Duration wait = minWatchInterval;
    if (reading.error) {
        wait = backoff(++documentFailures_);
    } else {
        documentFailures_ = 0;
        lastDocumentReading_ = clock_.now();
        // A service that fell back to an older revision is watched from there.
        documentRevision_ = reading.revision;
        if (reading.changed) {
            configuration_.offer(reading.text, "platform");
        }
        pause_.confirm(asked);
    }
    scheduler_.callAt(clock_.now() + wait, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            watchDocument();
        }
    });
}

void PlatformWatcher::watchMembership()
{
    source_.watchMembership(membershipRevision_, [this, alive = std::weak_ptr<int>(alive_)](const MembershipReadResult &reading) {
        if (!alive.expired()) {
            membershipRead(reading);
        }
    });
}

void PlatformWatcher::membershipRead(const MembershipReadResult &reading)
{
    Duration wait = minWatchInterval;
    if (reading.error) {
        wait = backoff(++membershipFailures_);
    } else {
        membershipFailures_ = 0;
        lastMembershipReading_ = clock_.now();
        membershipRevision_ = reading.revision;
        membership_.apply(reading);
    }
    scheduler_.callAt(clock_.now() + wait, [this, alive = std::weak_ptr<int>(alive_)] {
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

std::optional<TimePoint> PlatformWatcher::lastDocumentReading() const
{
    return lastDocumentReading_;
}

std::optional<TimePoint> PlatformWatcher::lastMembershipReading() const
{
    return lastMembershipReading_;
}

bool PlatformWatcher::asked() const
{
    return asked_;
}

} // namespace magnoliaspan
