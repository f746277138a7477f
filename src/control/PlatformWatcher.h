/*
 * Part control: reads and watches the platform for as long as the process runs.
 */
#pragma once

#include "control/ConfigurationController.h"
#include "control/MembershipController.h"
#include "control/PauseDetector.h"
#include "core/Scheduler.h"
#include "transport/PlatformSource.h"

#include <memory>
#include <optional>
#include <random>

namespace magnoliaspan {

/// \brief Feeds the configuration and membership controllers.
class PlatformWatcher
{
public:
    PlatformWatcher(const Clock &clock,
                    Scheduler &scheduler,
                    PlatformSource &source,
                    ConfigurationController &configuration,
                    MembershipController &membership,
                    PauseDetector &pause,
                    std::uint64_t seed);

    void start();

    /// \brief Reads the document at once, beside the running watch; after a pause.
    void refresh();

    /// \returns when the platform was last read with success.
    std::optional<TimePoint> lastDocumentReading() const;
    std::optional<TimePoint> lastMembershipReading() const;

    /// \returns whether the first document reading has ended, with success or not.
    bool asked() const;

private:
    void watchDocument();
    void documentRead(TimePoint asked, const DocumentReadResult &reading);
    void watchMembership();
    void membershipRead(const MembershipReadResult &reading);
    Duration backoff(unsigned failures);

    const Clock &clock_;
    Scheduler &scheduler_;
    PlatformSource &source_;
    ConfigurationController &configuration_;
    MembershipController &membership_;
    PauseDetector &pause_;
    std::mt19937_64 random_;
    std::int64_t documentRevision_ = -1;
    std::int64_t membershipRevision_ = -1;
    unsigned documentFailures_ = 0;
    unsigned membershipFailures_ = 0;
    bool asked_ = false;
    std::optional<TimePoint> lastDocumentReading_;
    std::optional<TimePoint> lastMembershipReading_;
    std::shared_ptr<int> alive_; // Handlers hold it weakly, so that none outlives the watcher.
};

} // namespace magnoliaspan
