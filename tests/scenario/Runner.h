/*
 * Interprets the steps of a scenario script on a world and evaluates its expectations.
 */
#pragma once

#include "scenario/InvariantChecker.h"
#include "scenario/World.h"

#include <memory>
#include <span>
#include <string>

namespace magnoliaspan::testing {

/// Results of one load step.
struct LoadReport {
    unsigned sent = 0;
    unsigned answered = 0; ///< Status 200.
    unsigned refused = 0;
    unsigned lost = 0; ///< No response was received.
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double meanCoverage = 0; ///< Mean over the answered requests, 0 to 1.
    double worstCoverage = 1;
    std::map<std::string, unsigned> refusalsByVerdict;
    std::map<std::string, unsigned> refusalsByCode;
};

/// Runs one script on one world.
class Runner
{
public:
    explicit Runner(World &world);

    /// Runs \p steps; throws ScriptError if an expectation fails or an invariant is violated.
    void run(std::span<const Step> steps);

    /// \returns the results of load step \p id.
    LoadReport report(const std::string &id) const;

    const DocumentBuilder &builder() const;

private:
    void runStep(const Step &step);
    void ensureStarted();
    void search(const Step &step, const std::string &id, const std::string &host, const std::string &query);
    void submit(const Step &step);
    void load(const Step &step);
    void publish(const Step &step);
    void link(const Step &step);
    void set(const Step &step);
    void expect(const Step &step);
    void expectTarget(const Step &step);
    void expectHost(const Step &step);
    void expectLoad(const Step &step);
    void awaitAnswers(const std::string &load);
    void checkExpectation(const Step &step, const std::string &name, const std::string &expected, const std::string &found) const;
    Duration duration(const Step &step, const std::string &text) const;

    World &world_;
    DocumentBuilder builder_;
    InvariantChecker checker_;
    bool started_ = false;
    std::map<std::string, std::string> keys_;               // Idempotency keys by their name in the script.
    std::map<std::string, std::vector<std::string>> loads_; // Request ids by load.
};

} // namespace magnoliaspan::testing
