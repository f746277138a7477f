/*
 * JSON encoding of the messages exchanged with targets and relaying entry hosts.
 */
#include "request/ShardMessages.h"

#include "request/JsonFields.h"

#include <array>

namespace magnoliaspan {

using internal::Json;
using internal::JsonFields;

namespace {

constexpr std::array outcomes = {ShardOutcome::Answered,
                                 ShardOutcome::Shed,
                                 ShardOutcome::Draining,
                                 ShardOutcome::SnapshotUnavailable,
                                 ShardOutcome::DeadlinePassed,
                                 ShardOutcome::Failed};

std::optional<ShardOutcome> outcomeFromString(std::string_view text)
{
    for (const ShardOutcome outcome : outcomes) {
        if (toString(outcome) == text) {
            return outcome;
        }
    }
    return std::nullopt;
}

std::int64_t toUnixMs(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime fromUnixMs(std::int64_t value)
{
    return WallTime(std::chrono::milliseconds(value));
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void addTargetStatus(Json &json, const TargetStatus &status)
{
    json["boot_id"] = status.bootId;
    json["state"] = status.cold ? "cold" : "warm";
    json["leaving"] = status.leaving;
    json["held_snapshots"] = status.snapshots;
}

void readTargetStatus(JsonFields &fields, TargetStatus &status)
{
    std::string state;
    fields.read("boot_id", status.bootId);
    fields.read("state", state);
    fields.read("leaving", status.leaving);
    status.cold = state == "cold";
    if (state != "cold" && state != "warm") {
        fields.fail("state", "cold or warm");
    }
    const Json *snapshots = fields.array("held_snapshots");
    if (snapshots == nullptr) {
        return;
    }
    if (snapshots->size() > internal::maxSnapshotsPerStatus) {
        fields.fail("held_snapshots", "an array within the size limit");
        return;
    }
    for (const Json &snapshot : *snapshots) {
        if (!snapshot.is_number_integer()) {
            fields.fail("held_snapshots", "an array of integers");
            return;
        }
        status.snapshots.push_back(snapshot.get<std::int64_t>());
    }
}

void readHits(JsonFields &fields, std::vector<Hit> &hits)
{
    const Json *array = fields.array("hits");
    if (array == nullptr) {
        return;
    }
    if (array->size() > internal::maxHitsPerReply) {
        fields.fail("hits", "an array within the size limit");
        return;
    }
    for (const Json &element : *array) {
        if (!element.is_object()) {
            fields.fail("hits", "an array of objects");
            return;
        }
        JsonFields hitFields(element);
        Hit hit;
        hitFields.read("id", hit.id);
        hitFields.read("score", hit.score);
        hitFields.read("text", hit.text);
        if (!hitFields.good()) {
            fields.fail("hits", "an array of hits");
            return;
        }
        hits.push_back(std::move(hit));
    }
}

} // namespace

std::string_view toString(ShardOutcome outcome)
{
    switch (outcome) {
    case ShardOutcome::Answered:
        return "answered";
    case ShardOutcome::Shed:
        return "shed";
    case ShardOutcome::Draining:
        return "draining";
    case ShardOutcome::SnapshotUnavailable:
        return "snapshot_unavailable";
    case ShardOutcome::DeadlinePassed:
        return "deadline_passed";
    case ShardOutcome::Failed:
        break;
    }
    return "failed";
}

std::string encode(const ShardSearch &message)
{
    return dump({{"request_id", message.requestId},
                 {"system", message.system},
                 {"query", message.query},
                 {"shard", message.shard},
                 {"snapshot", message.snapshot},
                 {"map_generation", message.mapGeneration},
                 {"limit", message.limit},
                 {"deadline_unix_ms", toUnixMs(message.deadline)}});
}

std::string encode(const ShardSubmit &message)
{
    return dump({{"request_id", message.requestId},
                 {"system", message.system},
                 {"key", message.key},
                 {"payload", message.payload},
                 {"shard", message.shard},
                 {"deadline_unix_ms", toUnixMs(message.deadline)}});
}

std::string encode(const ShardReply &message)
{
    Json json = {{"request_id", message.requestId},
                 {"shard", message.shard},
                 {"snapshot", message.snapshot},
                 {"outcome", toString(message.outcome)},
                 {"verdict", toString(message.verdict)},
                 {"result", message.result}};
    addTargetStatus(json, message.targetStatus);
    Json hits = Json::array();
    for (const Hit &hit : message.hits) {
        hits.push_back({{"id", hit.id}, {"score", hit.score}, {"text", hit.text}});
    }
    json["hits"] = std::move(hits);
    return dump(json);
}

std::string encode(const TargetStatus &message)
{
    Json json = Json::object();
    addTargetStatus(json, message);
    return dump(json);
}

std::optional<ShardSearch> decodeShardSearch(std::string_view body)
{
    const auto json = internal::parseObject(body);
    if (!json) {
        return std::nullopt;
    }
    JsonFields fields(*json);
    ShardSearch message;
    std::int64_t limit = 0;
    std::int64_t deadline = 0;
    fields.read("request_id", message.requestId);
    fields.read("system", message.system);
    fields.read("query", message.query);
    fields.read("shard", message.shard);
    fields.read("snapshot", message.snapshot);
    fields.read("map_generation", message.mapGeneration);
    fields.read("limit", limit);
    fields.read("deadline_unix_ms", deadline);
    if (!fields.good() || limit < 0 || limit > static_cast<std::int64_t>(internal::maxHitsPerReply)) {
        return std::nullopt;
    }
    message.limit = static_cast<unsigned>(limit);
    message.deadline = fromUnixMs(deadline);
    return message;
}

std::optional<ShardSubmit> decodeShardSubmit(std::string_view body)
{
    const auto json = internal::parseObject(body);
    if (!json) {
        return std::nullopt;
    }
    JsonFields fields(*json);
    ShardSubmit message;
    std::int64_t deadline = 0;
    fields.read("request_id", message.requestId);
    fields.read("system", message.system);
    fields.read("key", message.key);
    fields.read("payload", message.payload);
    fields.read("shard", message.shard);
    fields.read("deadline_unix_ms", deadline);
    if (!fields.good()) {
        return std::nullopt;
    }
    message.deadline = fromUnixMs(deadline);
    return message;
}

std::optional<ShardReply> decodeShardReply(std::string_view body)
{
    const auto json = internal::parseObject(body);
    if (!json) {
        return std::nullopt;
    }
    JsonFields fields(*json);
    ShardReply message;
    std::string outcome;
    std::string verdict;
    fields.read("request_id", message.requestId);
    fields.read("shard", message.shard);
    fields.read("snapshot", message.snapshot);
    fields.read("outcome", outcome);
    fields.read("verdict", verdict);
    fields.read("result", message.result);
    readTargetStatus(fields, message.targetStatus);
    readHits(fields, message.hits);
    const auto parsedOutcome = outcomeFromString(outcome);
    const auto parsedVerdict = verdictFromString(verdict);
    if (!fields.good() || !parsedOutcome || !parsedVerdict) {
        return std::nullopt;
    }
    message.outcome = *parsedOutcome;
    message.verdict = *parsedVerdict;
    return message;
}

std::optional<TargetStatus> decodeTargetStatus(std::string_view body)
{
    const auto json = internal::parseObject(body);
    if (!json) {
        return std::nullopt;
    }
    JsonFields fields(*json);
    TargetStatus status;
    readTargetStatus(fields, status);
    if (!fields.good()) {
        return std::nullopt;
    }
    return status;
}

} // namespace magnoliaspan
