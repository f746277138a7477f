/*
 * Part config: one finding about a document.
 */
#pragma once

#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief An error in a document, with its place.
struct Diagnostic {
    std::string file;
    int line = 0;        ///< One-based; zero when the whole document is meant.
    std::string field;   ///< Path of the field, for instance zones[1].state.
    std::string message; ///< What was found and what was expected.

    /// \returns FILE:LINE: FIELD: MESSAGE.
    std::string toString() const;
};

using Diagnostics = std::vector<Diagnostic>;

} // namespace magnoliaspan
