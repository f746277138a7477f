/*
 * Classifies finished subrequests for the quarantine controller.
 */
#include "request/CrashEvidence.h"

#include "transport/TransportError.h"

namespace magnoliaspan {

void reportCrashEvidence(QuarantineController &quarantine, const FinishedSubrequest &run, const LinkReply &reply)
{
    const bool lost = reply.error == make_error_code(TransportError::ConnectionLost) && reply.bytesSent;
    if (lost && !run.viaPeer) {
        quarantine.recordTargetLoss(run.fingerprint, run.linkName, reply.bootId, run.singleRun);
        return;
    }
    if (reply.reply && reply.reply->outcome == ShardOutcome::Answered) {
        quarantine.recordCompletion(run.fingerprint, run.singleRun);
    }
    if (run.singleRun) {
        quarantine.releaseSingleRun(run.fingerprint);
    }
}

} // namespace magnoliaspan
