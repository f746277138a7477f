/*
 * Part request: what the end of a subrequest says for or against the request
 * that it ran.
 */
#pragma once

#include "control/QuarantineController.h"
#include "control/TargetLink.h"

#include <string_view>

namespace magnoliaspan {

/// \brief A subrequest that has ended.
struct FinishedSubrequest {
    Fingerprint fingerprint{};
    std::string_view linkName; ///< Name of the target or seat.
    bool viaPeer = false;      ///< The peer judges the target behind it itself.
    bool singleRun = false;    ///< Sent under QuarantineController::takeSingleRun().
};

/// \brief Tells \p quarantine how \p run ended.
void reportCrashEvidence(QuarantineController &quarantine, const FinishedSubrequest &run, const LinkReply &reply);

} // namespace magnoliaspan
