/*
 * Promotion of a trial document to another environment.
 */
#pragma once

#include "config/Diagnostic.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Rewrites the trial document \p trial as the document of \p environment.
///
/// Sets the environment and trial_digest, the digest of \p trial. The generation
/// is that of \p trial unless \p generation is given. Everything else is kept,
/// including comments. Nothing is published.
/// \param file name of the trial document in diagnostics.
/// \returns the text, or nothing when an entry was added to \p diagnostics.
std::optional<std::string> promote(std::string_view trial,
                                   const std::string &file,
                                   std::string_view environment,
                                   std::optional<std::int64_t> generation,
                                   Diagnostics &diagnostics);

} // namespace magnoliaspan
