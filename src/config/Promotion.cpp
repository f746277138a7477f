/*
 * Replaces the three head fields of a document line by line.
 */
#include "config/Promotion.h"

#include "config/EnvironmentDocument.h"

#include <fmt/format.h>

namespace magnoliaspan {

namespace {

bool startsField(std::string_view line, std::string_view field)
{
    return line.starts_with(field) && line.substr(field.size()).starts_with(":");
}

} // namespace

std::optional<std::string> promote(std::string_view trial,
                                   const std::string &file,
                                   std::string_view environment,
                                   std::optional<std::int64_t> generation,
                                   Diagnostics &diagnostics)
{
    const EnvironmentPtr document = EnvironmentDocument::parse(trial, file, diagnostics);
    if (!document) {
        return std::nullopt;
    }
    if (document->environment == environment) {
        diagnostics.push_back({file, 1, "environment", fmt::format("is '{}' already", environment)});
        return std::nullopt;
    }
    std::string text = fmt::format(
        "environment: {}\ngeneration: {}\ntrial_digest: {}\n", environment, generation.value_or(document->generation), document->digest);
    std::string_view rest = trial;
    while (!rest.empty()) {
        const auto end = rest.find('\n');
        const std::string_view line = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        const bool isReplacedField
            = startsField(line, "environment") || startsField(line, "generation") || startsField(line, "trial_digest");
        if (!isReplacedField) {
            text += line;
            text += '\n';
        }
    }
    // Head fields that are not at the start of a line were not removed, so the text would hold them twice.
    // Parsing the result reports that.
    if (!EnvironmentDocument::parse(text, file + " (promoted)", diagnostics)) {
        return std::nullopt;
    }
    return text;
}

} // namespace magnoliaspan
