/*
 * Part request: the judgement of ended subrequests.
 */
#include "request/RunEvidence.h"

#include "transport/TransportError.h"

namespace magnoliaspan {

void reportEvidence(QuarantineController &quarantine, const EndedRun &run, const LinkReply &reply)
{
    const bool lost = reply.error == make_error_code(TransportError::ConnectionLost) && reply.bytesSent;
    if (lost && !run.viaPeer) {
        quarantine.recordTargetLoss(run.fingerprint, run.link, reply.bootId, run.singleRun);
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
