/*
 * Parser of the scenario language: one step per line. The language is described in docs/SCENARIOS.md.
 */
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan::testing {

/// A syntax error or a failed expectation; the message of an error in a step starts with file and line.
class ScriptError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// One line of a script.
struct Step {
    std::string file;
    int line = 0;
    std::string verb;
    std::vector<std::string> words;
    std::map<std::string, std::string> options; ///< From words of the form key=value.

    /// \returns the value of option \p name, or \p defaultValue if it is not given.
    std::string option(const std::string &name, const std::string &defaultValue) const;

    /// Throws a ScriptError with the file and line of this step.
    [[noreturn]] void fail(const std::string &message) const;
};

/// Parses \p text; throws ScriptError for an unknown verb, a wrong number of words, or an unknown or repeated option.
std::vector<Step> parseScript(std::string_view text, const std::string &file);

} // namespace magnoliaspan::testing
