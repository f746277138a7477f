/*
 * Parses a YAML document, validates it against the schema and provides typed
 * access to its fields.
 */
#pragma once

#include "config/Diagnostic.h"
#include "config/Schema.h"
#include "core/Endpoint.h"
#include "core/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan {

/// \brief Parses an integer followed by a unit (us, ms, s, m), such as 250ms.
/// \returns the duration, or nothing when \p text is malformed, negative or above 1e12 us.
std::optional<Duration> parseDuration(std::string_view text);

/// \brief A validated map of a document.
/// \pre DocumentReader::read() added no diagnostics. Accessors may only be called
/// for fields that the schema requires or gives a default.
class DocumentNode
{
public:
    std::string text(std::string_view field) const;
    std::int64_t integer(std::string_view field) const;
    double fraction(std::string_view field) const;
    Duration duration(std::string_view field) const;
    Endpoint endpoint(std::string_view field) const;
    std::vector<DocumentNode> list(std::string_view field) const;
    std::vector<std::string> stringList(std::string_view field) const;

    /// \returns the one-based line of \p field, or of the map when \p field is empty or absent.
    int line(std::string_view field = {}) const;

private:
    friend class DocumentReader;
    struct Impl;
    std::shared_ptr<const Impl> impl_;
};

/// \brief Parses and validates documents of one kind.
class DocumentReader
{
public:
    explicit DocumentReader(DocumentKind kind);

    /// \brief Parses \p text and validates each field against the schema.
    /// \param file name of the document in diagnostics.
    /// \returns the root node; must not be accessed when an entry was added to \p diagnostics.
    DocumentNode read(std::string_view text, const std::string &file, Diagnostics &diagnostics) const;

private:
    DocumentKind kind_;
};

} // namespace magnoliaspan
