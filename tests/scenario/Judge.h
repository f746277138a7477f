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
class Judge
{
public:
    Judge(World &world, const DocumentBuilder &builder);

    /// Remembers a request as it was sent.
    void sent(const CallerRequest &request);

    /// \returns what was broken, empty when every promise was kept.
    std::vector<std::string> verdict();

private:
    void judgeSearch(const CallerRequest &request, const CallerOutcome &outcome);
    bool ranLater(const CallerRequest &refused, const CallerOutcome &outcome) const;
    void judgeKeys();
    void judgeTargets();
    void judgeGenerations();

    World &world_;
    const DocumentBuilder &builder_;
    std::vector<CallerRequest> requests_;
    std::vector<std::string> broken_;
};

} // namespace magnoliaspan::testing
