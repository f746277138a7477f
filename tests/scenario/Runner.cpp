/*
 * Implementation of the statements of the scenario language.
 */
#include "scenario/Runner.h"

#include "config/DocumentReader.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace magnoliaspan::testing {

namespace {

using Json = nlohmann::json;

std::string text(const Json &json)
{
    return json.is_string() ? json.get<std::string>() : json.dump();
}

double percentile(std::vector<double> &sorted, double fraction)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

double ms(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

Runner::Runner(World &world)
    : world_(world)
    , checker_(world, builder_)
{
}

const DocumentBuilder &Runner::builder() const
{
    return builder_;
}

void Runner::run(std::span<const Step> steps)
{
    for (const Step &each : steps) {
        runStep(each);
    }
    ensureStarted();
    const std::vector<std::string> violations = checker_.violations();
    if (!violations.empty() && !steps.empty()) {
        steps.back().fail(fmt::format("{} invariants violated, first: {}", violations.size(), violations.front()));
    }
}

void Runner::ensureStarted()
{
    if (!started_) {
        started_ = true;
        world_.start(builder_);
    }
}

void Runner::runStep(const Step &step)
{
    if (!started_ && builder_.declare(step)) {
        return;
    }
    if (step.verb == "only") {
        return; // Evaluated by the build, which registers scripts per world.
    }
    ensureStarted();
    const auto word = [&step](std::size_t index) -> const std::string & { return step.words.at(index); };
    if (step.verb == "run") {
        world_.run(duration(step, word(0)));
    } else if (step.verb == "search") {
        search(step, word(0), word(1), step.option("query", "query-of-" + word(0)));
    } else if (step.verb == "submit") {
        submit(step);
    } else if (step.verb == "leave") {
        world_.disconnect(word(0));
    } else if (step.verb == "load") {
        load(step);
    } else if (step.verb == "expect") {
        expect(step);
    } else if (step.verb == "expect-target") {
        expectTarget(step);
    } else if (step.verb == "expect-host") {
        expectHost(step);
    } else if (step.verb == "expect-load") {
        expectLoad(step);
    } else if (step.verb == "set") {
        set(step);
    } else if (step.verb == "kill") {
        world_.kill(word(0));
    } else if (step.verb == "restart") {
        world_.restart(word(0), step.option("cold", "no") == "yes");
    } else if (step.verb == "replace") {
        world_.replace(word(0));
    } else if (step.verb == "freeze" || step.verb == "thaw") {
        world_.freeze(word(0), step.verb == "freeze");
    } else if (step.verb == "link") {
        link(step);
    } else if (step.verb == "platform") {
        if (!world_.platform(word(0))) {
            step.fail("unknown platform mode, expected up, down, stale, past or slow");
        }
    } else if (step.verb == "list") {
        world_.setTargetLeaving(word(0), word(1) == "leaving");
    } else if (step.verb == "publish") {
        publish(step);
    } else if (step.verb == "stop") {
        world_.stop(word(0));
    } else {
        step.fail(fmt::format("'{}' is a declaration and must precede the first other statement", step.verb));
    }
}

Duration Runner::duration(const Step &step, const std::string &text) const
{
    const auto value = parseDuration(text);
    if (!value) {
        step.fail(fmt::format("'{}' is not a duration", text));
    }
    return *value;
}

void Runner::search(const Step &step, const std::string &id, const std::string &host, const std::string &query)
{
    Json body = {{"system", builder_.systemName(step)}, {"query", query}, {"limit", std::stoi(step.option("limit", "1000"))}};
    const std::string deadline = step.option("deadline", "");
    if (!deadline.empty()) {
        body["deadline_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(duration(step, deadline)).count();
    }
    const std::string minimum = step.option("min", "");
    if (!minimum.empty()) {
        body["minimum_coverage"] = std::stod(minimum);
    }
    const CallerRequest request{id, host, "/v1/search", body.dump(), "", query, world_.elapsed()};
    checker_.recordRequest(request);
    world_.send(request);
}

void Runner::submit(const Step &step)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(duration(step, step.option("age", "0ms")));
    const std::string token = step.option("key", step.words[0]);
    // A resend reuses the key of the first request, which contains the issue time.
    std::string &key = keys_[token];
    if (key.empty()) {
        key = fmt::format("{}-{}", (world_.callerTime() - age).time_since_epoch().count(), token);
    }
    Json body = {{"system", builder_.systemName(step)}, {"payload", step.option("payload", "payload-of-" + token)}};
    if (step.option("resend", "no") == "yes") {
        body["resend"] = true;
    }
    const std::string deadline = step.option("deadline", "");
    if (!deadline.empty()) {
        body["deadline_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(duration(step, deadline)).count();
    }
    const CallerRequest request{step.words[0], step.words[1], "/v1/submit", body.dump(), key, "", world_.elapsed()};
    checker_.recordRequest(request);
    world_.send(request);
}

void Runner::load(const Step &step)
{
    const double rate = std::stod(step.option("rate", "100"));
    const Duration length = duration(step, step.option("for", "1s"));
    const std::string &id = step.words[0];
    const auto total = static_cast<unsigned>(rate * std::chrono::duration<double>(length).count());
    std::vector<std::string> hosts;
    for (const SeatDeclaration &seat : builder_.seats) {
        if (step.words[1] == "*" || step.words[1] == seat.name || step.words[1] == seat.zone) {
            hosts.push_back(seat.name);
        }
    }
    if (hosts.empty()) {
        step.fail(fmt::format("no seat or zone '{}' is declared", step.words[1]));
    }
    const Duration startedAt = world_.elapsed();
    for (unsigned i = 0; i < total; ++i) {
        // Open loop: arrivals do not depend on responses.
        const Duration arrivalAt = startedAt + Duration(static_cast<Duration::rep>(1e6 * i / rate));
        if (arrivalAt > world_.elapsed()) {
            world_.run(arrivalAt - world_.elapsed());
        }
        const std::string request = fmt::format("{}.{}", id, i);
        loads_[id].push_back(request);
        search(step, request, hosts[i % hosts.size()], step.option("query", "query-of-" + request));
    }
    const Duration remaining = startedAt + length - world_.elapsed();
    if (remaining.count() > 0) {
        world_.run(remaining);
    }
}

void Runner::publish(const Step &step)
{
    if (step.options.count("garbage") != 0) {
        world_.publish("environment: trial\ngeneration: 99\nzones: nonsense\n");
        return;
    }
    builder_.applyPublish(step);
    world_.appendLogLine(fmt::format("publish generation={}", builder_.generation));
    world_.publish(builder_.text());
}

void Runner::link(const Step &step)
{
    const Duration delay = duration(step, step.option("by", "0ms"));
    if (!world_.link(step.words[0], step.words[1], step.words[2], delay)) {
        step.fail(fmt::format("unsupported link, or unknown link condition '{}'", step.words[2]));
    }
}

void Runner::set(const Step &step)
{
    for (const auto &[trait, value] : step.options) {
        if (!world_.setTargetTrait(step.words[0], trait, value)) {
            step.fail(fmt::format("no target '{}' or trait '{}'", step.words[0], trait));
        }
    }
}

void Runner::checkExpectation(const Step &step, const std::string &name, const std::string &expected, const std::string &found) const
{
    const bool isUpperLimit = expected.starts_with("<=");
    const bool isLowerLimit = expected.starts_with(">=");
    if (!isUpperLimit && !isLowerLimit) {
        if (expected != found) {
            step.fail(fmt::format("expected {}={}, found {}", name, expected, found));
        }
        return;
    }
    const double limit = std::stod(expected.substr(2));
    const double value = std::stod(found);
    if ((isUpperLimit && value > limit) || (isLowerLimit && value < limit)) {
        step.fail(fmt::format("expected {}={}, found {}", name, expected, found));
    }
}

void Runner::expect(const Step &step)
{
    const auto &outcomes = world_.outcomes();
    const auto entry = outcomes.find(step.words[0]);
    if (entry == outcomes.end()) {
        step.fail(fmt::format("no request '{}' was sent", step.words[0]));
    }
    const CallerOutcome &outcome = entry->second;
    const Json answer = outcome.answered ? Json::parse(outcome.body) : Json::object();
    for (const auto &[name, expected] : step.options) {
        std::string found = "none";
        if (name == "answered") {
            found = outcome.answered ? "yes" : "no";
        } else if (name == "status") {
            found = std::to_string(outcome.status);
        } else if (name == "took_ms") {
            found = fmt::format("{:.3f}", ms(outcome.latency));
        } else if (name == "coverage" && answer.contains("coverage")) {
            found = fmt::format("{}/{}", text(answer["coverage"]["answered"]), text(answer["coverage"]["total"]));
        } else if (name == "missing" && answer.contains("coverage")) {
            found = answer["coverage"]["missing"].empty() ? "none" : text(answer["coverage"]["missing"][0]["shard"]);
        } else if (name == "code" && answer.contains("title")) {
            found = text(answer["title"]);
        } else if (answer.contains(name)) {
            found = text(answer[name]);
        }
        checkExpectation(step, name, expected, found);
    }
}

void Runner::expectTarget(const Step &step)
{
    const TargetRecord record = world_.record(step.words[0]);
    const std::map<std::string, unsigned> counts = {{"runs", record.runs},
                                                    {"submit_runs", record.submitRuns},
                                                    {"overloads", record.overloads},
                                                    {"peak_cold", record.peakCold},
                                                    {"peak", record.peak},
                                                    {"arrivals", record.arrivals},
                                                    {"cancelled", record.cancelled},
                                                    {"sheds", record.sheds},
                                                    {"expired", record.expired},
                                                    {"crashes", record.crashes}};
    for (const auto &[name, expected] : step.options) {
        const auto found = counts.find(name);
        if (found == counts.end()) {
            step.fail(fmt::format("a target's record has no '{}'", name));
        }
        checkExpectation(step, name, expected, std::to_string(found->second));
    }
}

void Runner::expectHost(const Step &step)
{
    const std::string body = world_.status(step.words[0]);
    const Json status = body.empty() ? Json::object() : Json::parse(body);
    for (const auto &[name, expected] : step.options) {
        std::string found = "none";
        if (name == "running") {
            found = body.empty() ? "no" : "yes";
        } else if (name == "generation" && status["document"].is_object()) {
            found = text(status["document"]["generation"]);
        } else if (name.starts_with("count.")) {
            found = std::to_string(world_.counter(step.words[0], "magnoliaspan_" + name.substr(6)));
        } else if (name.starts_with("state.")) {
            for (const Json &target : status["targets"]) {
                found = target["name"] == name.substr(6) ? text(target["state"]) : found;
            }
        } else if (status.contains(name)) {
            found = text(status[name]);
        }
        checkExpectation(step, name, expected, found);
    }
}

LoadReport Runner::report(const std::string &id) const
{
    LoadReport report;
    std::vector<double> times;
    double coverage = 0;
    for (const std::string &request : loads_.at(id)) {
        const CallerOutcome &outcome = world_.outcomes().at(request);
        ++report.sent;
        if (!outcome.answered) {
            ++report.lost;
            continue;
        }
        const Json answer = Json::parse(outcome.body);
        if (outcome.status != 200) {
            ++report.refused;
            ++report.refusalsByVerdict[text(answer["verdict"])];
            ++report.refusalsByCode[text(answer["title"])];
            continue;
        }
        ++report.answered;
        times.push_back(ms(outcome.latency));
        const double fraction = answer["coverage"]["answered"].get<double>() / answer["coverage"]["total"].get<double>();
        coverage += fraction;
        report.worstCoverage = std::min(report.worstCoverage, fraction);
    }
    std::sort(times.begin(), times.end());
    report.p50Ms = percentile(times, 0.5);
    report.p99Ms = percentile(times, 0.99);
    report.p999Ms = percentile(times, 0.999);
    report.meanCoverage = report.answered == 0 ? 0 : coverage / report.answered;
    return report;
}

// A search that was sent just before the step has not had its time yet.
void Runner::awaitAnswers(const std::string &load)
{
    // The default hard deadline of a system. A search that is not answered by then counts as lost.
    constexpr Duration longestWait = std::chrono::milliseconds(300);
    constexpr Duration interval = std::chrono::milliseconds(5);
    const auto isPending = [this](const std::string &request) {
        const CallerOutcome &outcome = world_.outcomes().at(request);
        return !outcome.answered && !outcome.lost;
    };
    const auto &requests = loads_.at(load);
    const Duration until = world_.elapsed() + longestWait;
    while (world_.elapsed() < until && std::any_of(requests.begin(), requests.end(), isPending)) {
        world_.run(interval);
    }
}

void Runner::expectLoad(const Step &step)
{
    if (loads_.count(step.words[0]) == 0) {
        step.fail(fmt::format("no load '{}' was run", step.words[0]));
    }
    awaitAnswers(step.words[0]);
    const LoadReport found = report(step.words[0]);
    const std::map<std::string, double> figures
        = {{"answered", found.answered},
           {"refused", found.refused},
           {"lost", found.lost},
           {"p50_ms", found.p50Ms},
           {"p99_ms", found.p99Ms},
           {"p999_ms", found.p999Ms},
           {"coverage", found.meanCoverage},
           {"worst_coverage", found.worstCoverage},
           {"answered_share", found.sent == 0 ? 0.0 : static_cast<double>(found.answered) / found.sent}};
    for (const auto &[name, expected] : step.options) {
        const auto figure = figures.find(name);
        if (figure == figures.end()) {
            step.fail(fmt::format("a load has no figure '{}'", name));
        }
        checkExpectation(step, name, expected, fmt::format("{:g}", figure->second));
    }
}

} // namespace magnoliaspan::testing
