/*
 * Scenario language: the promises that every scenario is judged by, from the
 * stand-ins' own records and the callers' answers.
 */
#pragma once

#include "scenario/World.h"

#include <string>
#include <vector>

namespace magnoliaspan::testing {

/// Checks one world against all promises.
class InvariantChecker
{
public:
    InvariantChecker(World &world, const DocumentBuilder &builder);

    /// Remembers a request as it was sent.
    void recordRequest(const CallerRequest &request);

    /// \returns what was broken, empty when every promise was kept.
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
