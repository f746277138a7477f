/*
 * Part config: makes the production document from a trial document.
 */
#pragma once

#include "config/Diagnostic.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Writes the trial document \p trial as the document of \p environment.
///
/// The environment's name and the trial's digest are set; the generation is
/// the trial's, or \p generation when it is given. All else stays as it is,
/// comments included. Nothing is published.
/// \returns the text, or nothing when \p diagnostics received an entry.
std::optional<std::string> promote(std::string_view trial,
                                   const std::string &file,
                                   std::string_view environment,
                                   std::optional<std::int64_t> generation,
                                   Diagnostics &diagnostics);

} // namespace magnoliaspan
