/*
 * Scenario program: runs scripts, runs the stand-ins as separate processes, and demonstrates searches and
 * submits end to end.
 */
#include "scenario/FakeWorld.h"
#include "scenario/ProcessWorld.h"
#include "scenario/Runner.h"
#include "standins/StandInProcess.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>
#include <unistd.h>

DEFINE_string(world, "fake", "fake (manual clock) or process (real processes)");
DEFINE_uint64(seed, 1, "seed of all random choices of the fake world");
DEFINE_string(golden, "", "directory of golden logs; compares the log of the session with NAME.log");
DEFINE_bool(update, false, "write the golden logs instead of comparing");
DEFINE_bool(log, false, "print the log of the session");
DEFINE_string(csv, "", "append the results of each load step to this file");
DEFINE_string(product, "", "the magnoliaspan binary (default: beside this program's folder)");
DEFINE_int32(port, 20000, "first port of process worlds");
DEFINE_string(name, "", "name of a stand-in target");
DEFINE_string(address, "", "listening address of a stand-in, IP:PORT");
DEFINE_string(control, "", "control address of a stand-in, IP:PORT");
DEFINE_string(traits, "", "traits of a stand-in target, TRAIT=VALUE separated by semicolons");
DEFINE_string(record, "/dev/null", "record file of a stand-in target");
DEFINE_bool(cold, false, "start the stand-in target cold");

namespace magnoliaspan::testing {

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw ScriptError(path + ": cannot open file for reading");
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string ownPath()
{
    return std::filesystem::read_symlink("/proc/self/exe").string();
}

std::string productPath()
{
    if (!FLAGS_product.empty()) {
        return FLAGS_product;
    }
    return std::filesystem::path(ownPath()).parent_path().parent_path().string() + "/magnoliaspan";
}

std::unique_ptr<World> makeWorld(const std::vector<Step> &steps)
{
    if (FLAGS_world == "fake") {
        return std::make_unique<FakeWorld>(FLAGS_seed);
    }
    ProcessWorldSettings settings;
    settings.product = productPath();
    settings.standInProgram = ownPath();
    settings.directory = (std::filesystem::temp_directory_path() / fmt::format("magnoliaspan-{}", ::getpid())).string();
    settings.firstPort = static_cast<std::uint16_t>(FLAGS_port);
    for (const Step &step : steps) {
        if (step.verb == "link") {
            settings.linkedTargets.insert(step.words[1]);
        }
    }
    return std::make_unique<ProcessWorld>(settings);
}

void compareGolden(const std::string &name, const std::vector<std::string> &log)
{
    const std::string path = FLAGS_golden + "/" + name + ".log";
    std::string text;
    for (const std::string &line : log) {
        text += line + '\n';
    }
    if (FLAGS_update) {
        std::ofstream(path, std::ios::binary) << text;
        return;
    }
    const std::string expected = readFile(path);
    if (expected == text) {
        return;
    }
    const auto difference = std::mismatch(expected.begin(), expected.end(), text.begin(), text.end());
    const auto line = 1 + std::count(expected.begin(), difference.first, '\n');
    throw ScriptError(fmt::format("{}:{}: the log of the session differs from the golden log, first at this line", path, line));
}

void writeCsv(const std::string &script, const std::vector<Step> &steps, const Runner &runner)
{
    std::ofstream file(FLAGS_csv, std::ios::app);
    for (const Step &step : steps) {
        if (step.verb != "load") {
            continue;
        }
        const LoadReport report = runner.report(step.words[0]);
        file << fmt::format("{},{},{},{},{},{},{:.3f},{:.3f},{:.3f},{:.4f},{:.4f}\n",
                            script,
                            step.words[0],
                            report.sent,
                            report.answered,
                            report.refused,
                            report.lost,
                            report.p50Ms,
                            report.p99Ms,
                            report.p999Ms,
                            report.meanCoverage,
                            report.worstCoverage);
    }
}

void printLoads(const std::vector<Step> &steps, const Runner &runner)
{
    for (const Step &step : steps) {
        if (step.verb != "load") {
            continue;
        }
        const LoadReport report = runner.report(step.words[0]);
        std::string refusals;
        for (const auto &[code, count] : report.refusalsByCode) {
            refusals += fmt::format(" {}={}", code, count);
        }
        std::cout << fmt::format(
            "  load {}: sent={} answered={} refused={} lost={} p50={:.1f}ms p99={:.1f}ms p99.9={:.1f}ms coverage={:.4f} worst={:.4f}{}\n",
            step.words[0],
            report.sent,
            report.answered,
            report.refused,
            report.lost,
            report.p50Ms,
            report.p99Ms,
            report.p999Ms,
            report.meanCoverage,
            report.worstCoverage,
            refusals);
    }
}

bool runScript(const std::string &path)
{
    const std::string name = std::filesystem::path(path).stem().string();
    std::unique_ptr<World> world;
    bool passed = true;
    try {
        const std::vector<Step> steps = parseScript(readFile(path), path);
        world = makeWorld(steps);
        Runner runner(*world);
        runner.run(steps);
        printLoads(steps, runner);
        if (!FLAGS_csv.empty()) {
            writeCsv(name, steps, runner);
        }
        if (!FLAGS_golden.empty()) {
            compareGolden(name, world->log());
        }
    } catch (const std::exception &error) {
        std::cout << "FAIL " << name << ": " << error.what() << '\n';
        passed = false;
    }
    if (FLAGS_log && world) {
        for (const std::string &line : world->log()) {
            std::cout << line << '\n';
        }
    }
    if (passed) {
        std::cout << "pass " << name << '\n';
    }
    return passed;
}

int runScripts(const std::vector<std::string> &paths)
{
    unsigned failed = 0;
    for (const std::string &path : paths) {
        failed += runScript(path) ? 0 : 1;
    }
    std::cout << fmt::format("{} passed, {} failed\n", paths.size() - failed, failed);
    return failed == 0 ? 0 : 1;
}

Endpoint address(const std::string &text)
{
    const auto endpoint = Endpoint::parse(text);
    if (!endpoint) {
        throw ScriptError(fmt::format("expected an address IP:PORT, got '{}'", text));
    }
    return *endpoint;
}

void printSection(const std::string &title, const std::string &body)
{
    std::cout << "\n== " << title << '\n' << body << (body.ends_with('\n') ? "" : "\n");
}

int demonstrate()
{
    const std::string script
        = "zone north\nzone south\nseat north-1 north\nseat south-1 south\n"
          "system catalog policy=coverage soft=150ms hard=300ms shards=4\n"
          "target c-1 north shards=0,1\ntarget c-2 north shards=2,3\ntarget c-3 south shards=0,1\ntarget c-4 south shards=2,3\n";
    std::vector<Step> steps = parseScript(script, "demonstration");
    FLAGS_world = "process";
    const auto world = makeWorld(steps);
    Runner runner(*world);
    const auto runLines = [&runner](const std::string &line) { runner.run(parseScript(line, "demonstration")); };
    runLines(script);
    runLines("search first north-1 query=door-chime\nrun 500ms\nexpect first status=200 coverage=4/4");
    printSection("a search over four shards of one snapshot", world->outcomes().at("first").body);
    runLines("kill c-1\nsearch second north-1 query=door-chime\nrun 500ms\nexpect second status=200 coverage=4/4");
    printSection("the same search after a target was killed: the replica in the other zone answers", world->outcomes().at("second").body);
    std::cout << "\n(an entry host accepts idempotency keys one lease duration after its start)\n";
    runLines("run 6s\nsubmit claim north-1 payload=parcel\nrun 500ms\nexpect claim status=200 verdict=ran");
    printSection("a submit, which runs at most once", world->outcomes().at("claim").body);
    runLines("submit again south-1 payload=parcel key=claim resend=yes\nrun 500ms\nexpect again status=200 verdict=ran");
    printSection("the same key resent through the other zone: the recorded result is returned, the submit is not run again",
                 world->outcomes().at("again").body);
    runLines("search none north-1 system=catalog min=1 deadline=1ms\nrun 300ms");
    printSection("a search with a deadline that cannot be met", world->outcomes().at("none").body);
    std::cout << "\nall invariants hold\n";
    return 0;
}

int run(const std::vector<std::string> &words)
{
    if (words.empty()) {
        std::cerr << "usage: magnoliaspan-scenario run FILE... | demonstrate | target | platform\n";
        return 2;
    }
    if (words[0] == "run") {
        return runScripts({words.begin() + 1, words.end()});
    }
    if (words[0] == "demonstrate") {
        return demonstrate();
    }
    if (words[0] == "target") {
        return runTarget({FLAGS_name, address(FLAGS_address), address(FLAGS_control), FLAGS_traits, FLAGS_record, FLAGS_cold});
    }
    if (words[0] == "platform") {
        return runPlatform(address(FLAGS_address), address(FLAGS_control));
    }
    std::cerr << "unknown command '" << words[0] << "'\n";
    return 2;
}

} // namespace

} // namespace magnoliaspan::testing

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return magnoliaspan::testing::run({argv + 1, argv + argc});
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
