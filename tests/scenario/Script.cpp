/*
 * Table of verbs and the parser.
 */
#include "scenario/Script.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <sstream>

namespace magnoliaspan::testing {

namespace {

struct Verb {
    std::string_view name;
    std::size_t words;        // Number of words without options.
    std::string_view options; // Allowed options separated by blanks; "*" allows any.
};

constexpr std::array verbs = {
    Verb{"zone", 1, "region"},
    Verb{"seat", 2, "offset"},
    Verb{"system", 1, "policy soft hard min slots connections cold warm_after shards hedge retry max_in_flight"},
    Verb{"target", 2, "*"},
    Verb{"only", 1, ""},
    Verb{"run", 1, ""},
    Verb{"search", 2, "query deadline min limit system"},
    Verb{"submit", 2, "payload key age deadline resend system"},
    Verb{"leave", 1, ""},
    Verb{"expect", 1, "*"},
    Verb{"expect-target", 1, "*"},
    Verb{"expect-host", 1, "*"},
    Verb{"expect-load", 1, "*"},
    Verb{"set", 1, "*"},
    Verb{"kill", 1, ""},
    Verb{"restart", 1, "cold"},
    Verb{"replace", 1, ""},
    Verb{"freeze", 1, ""},
    Verb{"thaw", 1, ""},
    Verb{"link", 3, "by"},
    Verb{"platform", 1, ""},
    Verb{"list", 2, ""},
    Verb{"publish", 0, "zone state drop add generation shards target garbage same_generation"},
    Verb{"stop", 1, ""},
    Verb{"load", 2, "rate for query system deadline vary"},
};

bool allowsOption(std::string_view list, std::string_view option)
{
    if (list == "*") {
        return true;
    }
    std::istringstream stream{std::string(list)};
    for (std::string known; stream >> known;) {
        if (known == option) {
            return true;
        }
    }
    return false;
}

void validate(const Step &step)
{
    const auto verb = std::find_if(verbs.begin(), verbs.end(), [&step](const Verb &each) { return each.name == step.verb; });
    if (verb == verbs.end()) {
        step.fail(fmt::format("unknown verb '{}'", step.verb));
    }
    if (step.words.size() != verb->words) {
        step.fail(fmt::format("'{}' takes {} words, found {}", step.verb, verb->words, step.words.size()));
    }
    for (const auto &[name, value] : step.options) {
        if (!allowsOption(verb->options, name)) {
            step.fail(fmt::format("'{}' has no option '{}'", step.verb, name));
        }
    }
}

} // namespace

std::string Step::option(const std::string &name, const std::string &defaultValue) const
{
    const auto found = options.find(name);
    return found == options.end() ? defaultValue : found->second;
}

void Step::fail(const std::string &message) const
{
    throw ScriptError(fmt::format("{}:{}: {}", file, line, message));
}

std::vector<Step> parseScript(std::string_view text, const std::string &file)
{
    std::vector<Step> steps;
    std::istringstream lines{std::string(text)};
    int number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        std::istringstream words(line.substr(0, line.find('#')));
        Step step;
        step.file = file;
        step.line = number;
        if (!(words >> step.verb)) {
            continue;
        }
        for (std::string word; words >> word;) {
            const auto equals = word.find('=');
            if (equals == std::string::npos) {
                step.words.push_back(word);
                continue;
            }
            if (!step.options.emplace(word.substr(0, equals), word.substr(equals + 1)).second) {
                step.fail(fmt::format("option '{}' is given twice", word.substr(0, equals)));
            }
        }
        validate(step);
        steps.push_back(std::move(step));
    }
    return steps;
}

} // namespace magnoliaspan::testing
