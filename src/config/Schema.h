/*
 * Schema of the settings files and the environment document.
 * The validation, the defaults and the reference page are all derived from this table.
 */
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// Kinds of documents that the program reads.
enum class DocumentKind {
    Settings,        ///< Settings of an entry host that serves searches and submits.
    Environment,     ///< Published by operators for these entry hosts.
    ForwardSettings, ///< Settings of an entry host that forwards along published routes.
};

/// Type of the value of a field.
enum class FieldType { Text, Name, Integer, Fraction, Duration, Address, Choice, List, Map };

/// \brief Schema of one field.
struct FieldSpec {
    std::string_view path; ///< Path with dots; the elements of a list are written as list[].
    FieldType type;
    bool required;
    std::string_view defaultValue; ///< Empty when the field has no default.
    double minimum;                ///< For Integer and Fraction; in milliseconds for Duration; number of entries for List.
    double maximum;                ///< Inclusive, as minimum; in the same unit.
    std::string_view choices;      ///< For Choice: the allowed values, separated by '|'.
    std::string_view description;  ///< Meaning of the field, for the reference page.
};

/// \returns the schema of all fields of documents of \p kind.
std::span<const FieldSpec> schemaOf(DocumentKind kind);

/// \returns the schema of the field at \p path, or null.
const FieldSpec *findField(std::span<const FieldSpec> schema, std::string_view path);

/// \returns the reference page of all fields, in Markdown.
std::string referencePage();

} // namespace magnoliaspan
