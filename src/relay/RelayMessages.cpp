/*
 * Encodes requests as a query string and responses as signed JSON.
 */
#include "relay/RelayMessages.h"

#include "core/Hmac.h"
#include "request/JsonFields.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

using internal::Json;
using internal::JsonFields;

constexpr std::string_view pathAll = "/published";
constexpr std::string_view pathAfter = "/published?after=";
constexpr std::string_view eraField = "&era=";
constexpr std::string_view waitField = "&wait_ms=";

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return value;
}

// Longer times are of no use, and would overflow a Duration.
Duration toDuration(std::int64_t milliseconds)
{
    constexpr std::chrono::milliseconds max = std::chrono::hours(24);
    return std::chrono::milliseconds(std::clamp<std::int64_t>(milliseconds, 0, max.count()));
}

bool readItem(const Json &json, PublishedItem &item)
{
    if (!json.is_object()) {
        return false;
    }
    JsonFields fields(json);
    fields.read("key", item.key);
    fields.read("revision", item.revision);
    if (fields.has("value")) {
        item.encoded.emplace();
        fields.read("value", *item.encoded);
    }
    return fields.good();
}

} // namespace

RelayCodec::RelayCodec(std::string key)
    : key_(std::move(key))
{
}

std::string RelayCodec::encode(const RelayRequest &request)
{
    if (!request.after) {
        return std::string(pathAll);
    }
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(request.wait).count();
    return fmt::format("{}{}{}{}{}{}", pathAfter, request.after->revision, eraField, request.after->era, waitField, wait);
}

std::optional<RelayRequest> RelayCodec::decodeRequest(std::string_view target)
{
    if (target == pathAll) {
        return RelayRequest{};
    }
    const auto eraAt = target.find(eraField);
    const auto waitAt = target.find(waitField);
    if (!target.starts_with(pathAfter) || waitAt == std::string_view::npos || eraAt >= waitAt) {
        return std::nullopt;
    }
    const auto revision = parseNumber(target.substr(pathAfter.size(), eraAt - pathAfter.size()));
    const auto era = parseNumber(target.substr(eraAt + eraField.size(), waitAt - eraAt - eraField.size()));
    const auto waitMs = parseNumber(target.substr(waitAt + waitField.size()));
    if (!revision || !era || !waitMs) {
        return std::nullopt;
    }
    return RelayRequest{StatePosition{*era, *revision}, toDuration(*waitMs)};
}

std::string RelayCodec::sign(std::string_view text) const
{
    return hmacSha256(key_, text);
}

std::string RelayCodec::encode(const DiscoveryReadResult &result) const
{
    Json items = Json::array();
    for (const PublishedItem &item : result.items) {
        Json json{{"key", item.key}, {"revision", item.revision}};
        if (item.encoded) {
            json["value"] = *item.encoded;
        }
        items.push_back(std::move(json));
    }
    const Json json{{"era", result.position.era},
                    {"revision", result.position.revision},
                    {"complete", result.complete},
                    {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(result.age).count()},
                    {"history_lost", result.historyLost},
                    {"unsettled", result.sourceRecentlyUnavailable},
                    {"source_unreachable", result.sourceUnreachable},
                    {"items", std::move(items)}};
    const std::string body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    return sign(body) + " " + body;
}

std::optional<DiscoveryReadResult> RelayCodec::decode(std::string_view body, const ItemDecoder &decoder) const
{
    const auto space = body.find(' ');
    if (space == std::string_view::npos || !sameDigest(body.substr(0, space), sign(body.substr(space + 1)))) {
        return std::nullopt;
    }
    const auto json = internal::parseObject(body.substr(space + 1));
    if (!json) {
        return std::nullopt;
    }
    JsonFields fields(*json);
    DiscoveryReadResult result;
    std::int64_t age = 0;
    fields.read("era", result.position.era);
    fields.read("revision", result.position.revision);
    fields.read("complete", result.complete);
    fields.read("age_ms", age);
    fields.read("history_lost", result.historyLost);
    fields.read("unsettled", result.sourceRecentlyUnavailable);
    // Hosts of an earlier release do not say it.
    if (fields.has("source_unreachable")) {
        fields.read("source_unreachable", result.sourceUnreachable);
    }
    result.age = toDuration(age);
    const Json *items = fields.array("items");
    if (items == nullptr || !fields.good()) {
        return std::nullopt;
    }
    for (const Json &element : *items) {
        PublishedItem item;
        if (!readItem(element, item)) {
            return std::nullopt;
        }
        if (auto change = decoder.decode(item)) {
            result.changes.push_back(std::move(*change));
        }
        result.items.push_back(std::move(item));
    }
    return result;
}

} // namespace magnoliaspan
