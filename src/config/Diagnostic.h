/*
 * Error found in a settings file or document, with its position.
 */
#pragma once

#include <string>
#include <vector>

namespace magnoliaspan {

/// \brief An error in a document, with its position.
struct Diagnostic {
    std::string file;
    int line = 0;        ///< One-based; zero when the error concerns the whole document.
    std::string field;   ///< Path of the field, such as zones[1].state.
    std::string message; ///< Value found and value expected.

    /// \returns FILE:LINE: FIELD: MESSAGE.
    std::string toString() const;
};

using Diagnostics = std::vector<Diagnostic>;

} // namespace magnoliaspan
