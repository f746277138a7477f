/*
 * Part config: reads one YAML document, checks it against the schema table and
 * gives typed access to its fields.
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

/// \returns the duration written as a number and a unit (us, ms, s, m), or nothing.
std::optional<Duration> parseDuration(std::string_view text);

/// \brief A checked map inside a document.
/// Accessors may be called for fields that the schema requires or defaults;
/// the document must have passed DocumentReader::read() without diagnostics.
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

    /// \returns the one-based line of \p field, or of the map when the field is absent.
    int line(std::string_view field = {}) const;

private:
    friend class DocumentReader;
    struct Impl;
    std::shared_ptr<const Impl> impl_;
};

/// \brief Parses and checks documents of one kind.
class DocumentReader
{
public:
    explicit DocumentReader(DocumentKind kind);

    /// \brief Parses \p text and checks each field against the schema.
    /// \param file name used in diagnostics.
    /// \returns the root node; unusable when \p diagnostics received an entry.
    DocumentNode read(std::string_view text, const std::string &file, Diagnostics &diagnostics) const;

private:
    DocumentKind kind_;
};

} // namespace magnoliaspan
