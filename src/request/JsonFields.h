/*
 * Part request: strict access to fields of a JSON object.
 * Included by codecs only, since the JSON library is slow to compile.
 */
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspan::internal {

using Json = nlohmann::json;

/// Deepest nesting accepted in a body.
inline constexpr int maxJsonDepth = 16;

/// \returns the object in \p body, or nothing when it is malformed, not UTF-8, nested too deep or no object.
inline std::optional<Json> parseObject(std::string_view body)
{
    const auto callback = [](int depth, Json::parse_event_t, Json &) {
        if (depth > maxJsonDepth) {
            throw std::length_error("nested too deep");
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

/// \brief Reads fields and remembers whether any was missing or of another type.
class JsonFields
{
public:
    explicit JsonFields(const Json &object)
        : object_(object)
    {
    }

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
        if (field != nullptr && field->is_number_integer()) {
            value = field->get<std::int64_t>();
            return;
        }
        fail(name, "an integer");
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

    /// \returns the array \p name, or null.
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

    /// \returns what was wrong first, for instance: field 'system' is not a string.
    const std::string &error() const
    {
        return error_;
    }

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
