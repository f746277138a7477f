/*
 * Reads and watches the environment document and the membership list of the platform.
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

/// \brief Passes documents and membership lists from the platform to their controllers, until it is destroyed.
class PlatformWatcher
{
public:
    /// \param seed of the random backoff after failed reads.
    PlatformWatcher(const Clock &clock,
                    Scheduler &scheduler,
                    PlatformSource &source,
                    ConfigurationController &configuration,
                    MembershipController &membership,
                    PauseDetector &pause,
                    std::uint64_t seed);

    /// \brief Starts watching the document and the membership list.
    void start();

    /// \brief Reads the document at once, in addition to the watch; for use after a pause of the process.
    void refresh();

    /// \returns when the document was last read successfully.
    std::optional<TimePoint> lastDocumentReadAt() const;

    /// \returns when the membership list was last read successfully.
    std::optional<TimePoint> lastMembershipReadAt() const;

    /// \returns whether the first read of the document has completed, successfully or not.
    bool hasCompletedFirstRead() const;

private:
    void watchDocument();
    void onDocumentRead(TimePoint requestedAt, const DocumentReadResult &reading);
    void watchMembership();
    void onMembershipRead(const MembershipReadResult &reading);
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
    bool firstReadCompleted_ = false;
    std::optional<TimePoint> lastDocumentReadAt_;
    std::optional<TimePoint> lastMembershipReadAt_;
    std::shared_ptr<int> lifetimeToken_; // Callbacks hold it weakly and do nothing once the watcher is destroyed.
};

} // namespace magnoliaspan
