/*
 * Scenario language: a script is a list of steps, one a line. The page
 * docs/SCENARIOS.md says all of it.
 */
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan::testing {

/// A step that could not be read or did not hold; names the file and line.
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
    std::map<std::string, std::string> options; ///< From key=value words.

    /// \returns the option, or \p absent.
    std::string option(const std::string &name, const std::string &defaultValue) const;

    /// Throws a ScriptError with this step's place.
    [[noreturn]] void fail(const std::string &message) const;
};

/// \returns the steps of \p text; throws ScriptError for unknown verbs, wrong numbers of words or unknown options.
std::vector<Step> parseScript(std::string_view text, const std::string &file);

} // namespace magnoliaspan::testing
