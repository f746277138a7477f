/*
 * Reports finished subrequests to the quarantine controller: a target lost while it ran a request is evidence against
 * the request, a completed run clears it.
 */
#pragma once

#include "control/QuarantineController.h"
#include "control/TargetLink.h"

#include <string_view>

namespace magnoliaspan {

/// \brief A subrequest whose exchange has finished.
struct FinishedSubrequest {
    Fingerprint fingerprint{};
    std::string_view linkName; ///< Name of the target or seat.
    bool viaPeer = false;      ///< Whether it was sent through a peer, which itself judges losses of the target behind it.
    bool singleRun = false;    ///< Whether it was the exclusive run of a suspect request.
};

/// \brief Reports the outcome of \p run to \p quarantine.
void reportCrashEvidence(QuarantineController &quarantine, const FinishedSubrequest &run, const LinkReply &reply);

} // namespace magnoliaspan
