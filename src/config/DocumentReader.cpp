/*
 * Validation of documents, on top of yaml-cpp.
 */
#include "config/DocumentReader.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <fmt/format.h>
#include <set>
#include <yaml-cpp/yaml.h>

namespace magnoliaspan {

namespace {

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxDocumentBytes = 1'048'576;
constexpr std::size_t maxNesting = 16;
constexpr std::size_t maxFlowBrackets = 400'000;

bool isValidName(std::string_view text)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !text.empty() && text.size() <= maxNameLength && text.find_first_not_of(allowed) == std::string_view::npos;
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool matchesChoice(std::string_view text, std::string_view choices)
{
    while (!choices.empty()) {
        const auto bar = choices.find('|');
        if (choices.substr(0, bar) == text) {
            return true;
        }
        choices = bar == std::string_view::npos ? std::string_view{} : choices.substr(bar + 1);
    }
    return false;
}

// Checked before parsing, since the recursive parser would exhaust the stack on deeply nested flow collections.
bool exceedsFlowNesting(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t brackets = 0;
    for (const char c : text) {
        if (c == '[' || c == '{') {
            ++depth;
            ++brackets;
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
        if (depth > maxNesting || brackets > maxFlowBrackets) {
            return true;
        }
    }
    return false;
}

// Checked before parsing as well: block collections nest by indentation or by repeated dashes on one line.
bool exceedsBlockNesting(std::string_view text)
{
    std::size_t column = 0;
    bool inIndentation = true;
    for (const char c : text) {
        if (c == '\n') {
            column = 0;
            inIndentation = true;
            continue;
        }
        inIndentation = inIndentation && (c == ' ' || c == '-' || c == '?' || c == ':');
        column += inIndentation ? 1 : 0;
        if (column > 8 * maxNesting) {
            return true;
        }
    }
    return false;
}

/// Traverses a document and reports each violation of the schema.
class SchemaChecker
{
public:
    SchemaChecker(std::span<const FieldSpec> schema, std::string file, Diagnostics &diagnostics)
        : schema_(schema)
        , file_(std::move(file))
        , diagnostics_(diagnostics)
    {
    }

    void checkMap(const YAML::Node &node, const std::string &schemaPath, const std::string &displayPrefix)
    {
        if (!node.IsMap()) {
            report(node, displayPrefix.empty() ? "document" : displayPrefix, "expected a map");
            return;
        }
        std::set<std::string> seen;
        for (const auto &entry : node) {
            checkEntry(entry.first, entry.second, schemaPath, displayPrefix, seen);
        }
        for (const FieldSpec &field : schema_) {
            if (!field.required || !isChildOf(field.path, schemaPath)) {
                continue;
            }
            const std::string name(field.path.substr(schemaPath.size()));
            if (seen.count(name) == 0) {
                report(node, displayPrefix + name, "required field is missing");
            }
        }
    }

private:
    static bool isChildOf(std::string_view path, std::string_view parent)
    {
        return path.starts_with(parent) && path.substr(parent.size()).find_first_of(".[") == std::string_view::npos;
    }

    void report(const YAML::Node &node, const std::string &field, std::string message)
    {
        diagnostics_.push_back({file_, node.Mark().line + 1, field, std::move(message)});
    }

    void checkEntry(const YAML::Node &key,
                    const YAML::Node &value,
                    const std::string &schemaPath,
                    const std::string &displayPrefix,
                    std::set<std::string> &seen)
    {
        const std::string name = key.IsScalar() ? key.Scalar() : "?";
        const std::string displayPath = displayPrefix + name;
        const FieldSpec *field = findField(schema_, schemaPath + name);
        if (field == nullptr || name.find_first_of(".[") != std::string::npos) {
            report(key, displayPath, "unknown field");
            return;
        }
        if (!seen.insert(name).second) {
            report(key, displayPath, "field is given twice");
            return;
        }
        checkValue(value, *field, displayPath);
    }

    void checkValue(const YAML::Node &value, const FieldSpec &field, const std::string &displayPath)
    {
        if (field.type == FieldType::List) {
            checkList(value, field, displayPath);
            return;
        }
        if (!value.IsScalar()) {
            report(value, displayPath, "expected a single value");
            return;
        }
        const std::string message = scalarError(value.Scalar(), field);
        if (!message.empty()) {
            report(value, displayPath, message);
        }
    }

    void checkList(const YAML::Node &value, const FieldSpec &field, const std::string &displayPath)
    {
        if (!value.IsSequence()) {
            report(value, displayPath, "expected a list");
            return;
        }
        const auto size = static_cast<double>(value.size());
        if (size < field.minimum || size > field.maximum) {
            report(value, displayPath, fmt::format("has {} entries, expected {} to {}", size, field.minimum, field.maximum));
        }
        const std::string elements = std::string(field.path) + "[].";
        const bool hasMapElements
            = std::any_of(schema_.begin(), schema_.end(), [&elements](const FieldSpec &row) { return row.path.starts_with(elements); });
        std::size_t index = 0;
        for (const YAML::Node &element : value) {
            const std::string elementPath = fmt::format("{}[{}]", displayPath, index++);
            if (hasMapElements) {
                checkMap(element, elements, elementPath + ".");
            } else if (!element.IsScalar() || !isValidName(element.Scalar())) {
                report(element, elementPath, "expected a name");
            }
        }
    }

    static std::string scalarError(const std::string &text, const FieldSpec &field)
    {
        switch (field.type) {
        case FieldType::Name:
            return isValidName(text) ? ""
                                     : fmt::format("'{}' is not a name (1 to {} letters, digits, '-', '_', '.')",
                                                   text.substr(0, maxNameLength),
                                                   maxNameLength);
        case FieldType::Integer: {
            const auto value = parseNumber<std::int64_t>(text);
            const bool isValid = value && static_cast<double>(*value) >= field.minimum && static_cast<double>(*value) <= field.maximum;
            return isValid ? "" : fmt::format("'{}' is not an integer from {} to {}", text, field.minimum, field.maximum);
        }
        case FieldType::Fraction: {
            const auto value = parseNumber<double>(text);
            const bool isValid = value && *value >= field.minimum && *value <= field.maximum;
            return isValid ? "" : fmt::format("'{}' is not a number from {} to {}", text, field.minimum, field.maximum);
        }
        case FieldType::Duration: {
            const auto value = parseDuration(text);
            const double ms = value ? std::chrono::duration<double, std::milli>(*value).count() : -1;
            const bool isValid = ms >= field.minimum && ms <= field.maximum;
            return isValid
                       ? ""
                       : fmt::format("'{}' is not a duration from {} ms to {} ms, such as 250ms or 2s", text, field.minimum, field.maximum);
        }
        case FieldType::Address:
            return Endpoint::parse(text) ? "" : fmt::format("'{}' is not an IP address and port, such as 127.0.0.1:7100", text);
        case FieldType::Choice:
            return matchesChoice(text, field.choices) ? "" : fmt::format("'{}' is not one of {}", text, field.choices);
        default:
            return "";
        }
    }

    std::span<const FieldSpec> schema_;
    std::string file_;
    Diagnostics &diagnostics_;
};

} // namespace

std::string Diagnostic::toString() const
{
    return fmt::format("{}:{}: {}: {}", file, line, field, message);
}

std::optional<Duration> parseDuration(std::string_view text)
{
    struct Unit {
        std::string_view suffix;
        std::int64_t microseconds;
    };
    constexpr std::array<Unit, 4> units = {{{"us", 1}, {"ms", 1'000}, {"s", 1'000'000}, {"m", 60'000'000}}};
    constexpr std::int64_t maxMicroseconds = 1'000'000'000'000;
    for (const Unit &unit : units) {
        if (!text.ends_with(unit.suffix)) {
            continue;
        }
        const auto number = parseNumber<std::int64_t>(text.substr(0, text.size() - unit.suffix.size()));
        if (!number) {
            continue;
        }
        const bool inRange = *number >= 0 && *number <= maxMicroseconds / unit.microseconds;
        return inRange ? std::optional<Duration>(Duration(*number * unit.microseconds)) : std::nullopt;
    }
    return std::nullopt;
}

struct DocumentNode::Impl {
    YAML::Node node;
    std::span<const FieldSpec> schema;
    std::string path; // Invariant: schema path of this map, either empty or ending in a dot.
};

std::string DocumentNode::text(std::string_view field) const
{
    const YAML::Node value = impl_->node[std::string(field)];
    if (value) {
        return value.Scalar();
    }
    const FieldSpec *row = findField(impl_->schema, impl_->path + std::string(field));
    assert(row != nullptr && "the field must be in the schema");
    return std::string(row->defaultValue);
}

std::int64_t DocumentNode::integer(std::string_view field) const
{
    return parseNumber<std::int64_t>(text(field)).value_or(0);
}

double DocumentNode::fraction(std::string_view field) const
{
    return parseNumber<double>(text(field)).value_or(0);
}

Duration DocumentNode::duration(std::string_view field) const
{
    return parseDuration(text(field)).value_or(Duration::zero());
}

Endpoint DocumentNode::endpoint(std::string_view field) const
{
    return Endpoint::parse(text(field)).value_or(Endpoint{});
}

std::vector<DocumentNode> DocumentNode::list(std::string_view field) const
{
    std::vector<DocumentNode> nodes;
    const std::string path = impl_->path + std::string(field) + "[].";
    for (const YAML::Node &element : impl_->node[std::string(field)]) {
        DocumentNode node;
        node.impl_ = std::make_shared<Impl>(Impl{element, impl_->schema, path});
        nodes.push_back(std::move(node));
    }
    return nodes;
}

std::vector<std::string> DocumentNode::stringList(std::string_view field) const
{
    std::vector<std::string> values;
    for (const YAML::Node &element : impl_->node[std::string(field)]) {
        values.push_back(element.Scalar());
    }
    return values;
}

int DocumentNode::line(std::string_view field) const
{
    const YAML::Node value = field.empty() ? impl_->node : impl_->node[std::string(field)];
    return (value ? value.Mark().line : impl_->node.Mark().line) + 1;
}

DocumentReader::DocumentReader(DocumentKind kind)
    : kind_(kind)
{
}

DocumentNode DocumentReader::read(std::string_view text, const std::string &file, Diagnostics &diagnostics) const
{
    DocumentNode root;
    if (text.size() > maxDocumentBytes) {
        diagnostics.push_back({file, 0, "document", fmt::format("has {} bytes, expected at most {}", text.size(), maxDocumentBytes)});
        return root;
    }
    if (exceedsFlowNesting(text) || exceedsBlockNesting(text)) {
        diagnostics.push_back({file, 0, "document", fmt::format("nests deeper than {} levels", maxNesting)});
        return root;
    }
    try {
        const YAML::Node node = YAML::Load(std::string(text));
        SchemaChecker(schemaOf(kind_), file, diagnostics).checkMap(node, "", "");
        root.impl_ = std::make_shared<DocumentNode::Impl>(DocumentNode::Impl{node, schemaOf(kind_), ""});
    } catch (const YAML::Exception &error) {
        diagnostics.push_back({file, error.mark.line + 1, "document", error.msg});
    }
    return root;
}

} // namespace magnoliaspan
