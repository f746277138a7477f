/*
 * Part config: the table of fields of the documents.
 * The same table drives the checks, the defaults and the reference page.
 */
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// The documents that the program reads.
enum class DocumentKind {
    Settings,        ///< Of an entry host with the own interface.
    Environment,     ///< What operators publish for it.
    ForwardSettings, ///< Of an entry host that forwards along published routes.
};

/// What the text of a field must be.
enum class FieldType { Text, Name, Integer, Fraction, Duration, Address, Choice, List, Map };

/// \brief One row of the table.
struct FieldSpec {
    std::string_view path; ///< Dotted; a list's elements are written as list[].
    FieldType type;
    bool required;
    std::string_view defaultValue; ///< Empty when there is none.
    double minimum;                ///< For Integer and Fraction; milliseconds for Duration.
    double maximum;
    std::string_view choices; ///< For Choice, separated by a bar.
    std::string_view description;
};

/// \returns all fields of documents of \p kind.
std::span<const FieldSpec> schemaOf(DocumentKind kind);

/// \returns the row for \p path, or null.
const FieldSpec *findField(std::span<const FieldSpec> schema, std::string_view path);

/// \returns the reference page for all documents, in Markdown.
std::string referencePage();

} // namespace magnoliaspan
