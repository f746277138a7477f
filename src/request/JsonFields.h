/*
 * Strict access to the fields of a JSON object.
 * Included by codecs only, because the JSON library is slow to compile.
 */
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspan::internal {

using Json = nlohmann::json;

/// Largest number of nesting levels accepted in a body.
inline constexpr int maxJsonDepth = 16;

/// \returns the object in \p body, or nothing if it is malformed, not UTF-8, nested deeper than maxJsonDepth or not an object.
inline std::optional<Json> parseObject(std::string_view body)
{
    const auto callback = [](int depth, Json::parse_event_t, Json &) {
        if (depth > maxJsonDepth) {
            throw std::length_error("JSON nested deeper than the limit");
        }
        return true;
    };
    try {
        Json value = Json::parse(body, callback);
        if (value.is_object()) {
            return value;
        }
    } catch (const std::exception &) {
        return std::nullopt;
    }
    return std::nullopt;
}

/// \brief Reads fields of a JSON object and records the first one that is missing or invalid.
class JsonFields
{
public:
    explicit JsonFields(const Json &object)
        : object_(object)
    {
    }

    /// \brief Reads the field \p name into \p value; records an error if it is missing or of another type.
    void read(const char *name, std::string &value)
    {
        const Json *field = find(name);
        if (field != nullptr && field->is_string()) {
            value = field->get<std::string>();
            return;
        }
        fail(name, "a string");
    }

    void read(const char *name, std::int64_t &value)
    {
        const Json *field = find(name);
        constexpr std::uint64_t max = std::numeric_limits<std::int64_t>::max();
        const bool isTooLarge = field != nullptr && field->is_number_unsigned() && field->get<std::uint64_t>() > max;
        if (field != nullptr && field->is_number_integer() && !isTooLarge) {
            value = field->get<std::int64_t>();
            return;
        }
        fail(name, "an integer of 64 bits");
    }

    void read(const char *name, double &value)
    {
        const Json *field = find(name);
        if (field != nullptr && field->is_number()) {
            value = field->get<double>();
            return;
        }
        fail(name, "a number");
    }

    void read(const char *name, bool &value)
    {
        const Json *field = find(name);
        if (field != nullptr && field->is_boolean()) {
            value = field->get<bool>();
            return;
        }
        fail(name, "true or false");
    }

    /// \returns the array \p name; records an error and returns null if it is missing or not an array.
    const Json *array(const char *name)
    {
        const Json *field = find(name);
        if (field != nullptr && field->is_array()) {
            return field;
        }
        fail(name, "an array");
        return nullptr;
    }

    bool has(const char *name) const
    {
        return object_.contains(name);
    }

    bool good() const
    {
        return error_.empty();
    }

    /// \returns the first error, for instance: field 'system' is not a string. Empty if there was none.
    const std::string &error() const
    {
        return error_;
    }

    /// \brief Records that the field \p name is not \p expected, unless there was an error before.
    void fail(const char *name, const char *expected)
    {
        if (error_.empty()) {
            error_ = std::string("field '") + name + "' is not " + expected;
        }
    }

private:
    const Json *find(const char *name) const
    {
        const auto found = object_.find(name);
        return found == object_.end() ? nullptr : &*found;
    }

    const Json &object_;
    std::string error_;
};

} // namespace magnoliaspan::internal
