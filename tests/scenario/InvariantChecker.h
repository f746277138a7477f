/*
 * Invariants that hold in every scenario, checked against the records of the stand-in targets, the
 * responses to callers and the log.
 */
#pragma once

#include "scenario/World.h"

#include <string>
#include <vector>

namespace magnoliaspan::testing {

/// Checks the invariants of one world after a script has run.
class InvariantChecker
{
public:
    InvariantChecker(World &world, const DocumentBuilder &builder);

    /// Records a request for the final check; call it for each request sent.
    void recordRequest(const CallerRequest &request);

    /// \returns a description of each violated invariant; empty if all hold.
    std::vector<std::string> violations();

private:
    void checkSearch(const CallerRequest &request, const CallerOutcome &outcome);
    bool resendMayHaveRun(const CallerRequest &refused, const CallerOutcome &outcome) const;
    void checkKeys();
    void checkTargets();
    void checkGenerations();

    World &world_;
    const DocumentBuilder &builder_;
    std::vector<CallerRequest> requests_;
    std::vector<std::string> violations_;
};

} // namespace magnoliaspan::testing
