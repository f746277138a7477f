/*
 * JSON encoding of the messages exchanged with callers.
 */
#include "request/CallerMessages.h"

#include "request/JsonFields.h"

#include <fmt/format.h>

namespace magnoliaspan {

using internal::Json;
using internal::JsonFields;

namespace {

constexpr unsigned statusBadRequest = 400;

Refusal malformed(std::string detail)
{
    return {statusBadRequest, "malformed_request", std::move(detail), Verdict::NotRun};
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<std::string> unknownField(const Json &object, std::initializer_list<std::string_view> known)
{
    for (const auto &[name, value] : object.items()) {
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            return fmt::format("field '{}' is unknown", name);
        }
    }
    return std::nullopt;
}

void readTimeout(JsonFields &fields, std::optional<Duration> &timeout)
{
    if (!fields.has("deadline_ms")) {
        return;
    }
    std::int64_t value = 0;
    fields.read("deadline_ms", value);
    if (value < 1 || value > CallerLimits::maxTimeoutMs) {
        fields.fail("deadline_ms", fmt::format("from 1 to {}: got {}", CallerLimits::maxTimeoutMs, value).c_str());
    }
    timeout = std::chrono::milliseconds(value);
}

void readLimit(JsonFields &fields, unsigned &limit)
{
    if (!fields.has("limit")) {
        return;
    }
    std::int64_t value = 0;
    fields.read("limit", value);
    if (value < 1 || value > SearchQuery::maxLimit) {
        fields.fail("limit", fmt::format("from 1 to {}: got {}", SearchQuery::maxLimit, value).c_str());
        return;
    }
    limit = static_cast<unsigned>(value);
}

void readMinimumCoverage(JsonFields &fields, std::optional<double> &minimum)
{
    if (!fields.has("minimum_coverage")) {
        return;
    }
    double value = 0;
    fields.read("minimum_coverage", value);
    if (!(value >= 0 && value <= 1)) {
        fields.fail("minimum_coverage", fmt::format("from 0 to 1: got {}", value).c_str());
    }
    minimum = value;
}

} // namespace

std::variant<SearchQuery, Refusal> parseSearchQuery(std::string_view body, std::string_view requestId)
{
    const auto json = internal::parseObject(body);
    if (!json) {
        return malformed("the body is not a JSON object in UTF-8 with at most 16 levels of nesting");
    }
    if (const auto unknown = unknownField(*json, {"system", "query", "deadline_ms", "minimum_coverage", "limit"})) {
        return malformed(*unknown);
    }
    JsonFields fields(*json);
    SearchQuery query;
    query.requestId = std::string(requestId);
    fields.read("system", query.system);
    fields.read("query", query.text);
    readTimeout(fields, query.timeout);
    readMinimumCoverage(fields, query.minimumCoverage);
    readLimit(fields, query.limit);
    if (query.text.size() > CallerLimits::maxQueryBytes) {
        fields.fail("query", fmt::format("at most {} bytes long: got {}", CallerLimits::maxQueryBytes, query.text.size()).c_str());
    }
    if (!fields.good()) {
        return malformed(fields.error());
    }
    return query;
}

std::variant<SubmitCall, Refusal> parseSubmitCall(std::string_view body, std::string_view requestId, std::string_view key)
{
    const auto json = internal::parseObject(body);
    if (!json) {
        return malformed("the body is not a JSON object in UTF-8 with at most 16 levels of nesting");
    }
    if (const auto unknown = unknownField(*json, {"system", "payload", "routing", "deadline_ms", "key", "request_id", "resend"})) {
        return malformed(*unknown);
    }
    JsonFields fields(*json);
    SubmitCall call;
    call.requestId = std::string(requestId);
    call.key = std::string(key);
    fields.read("system", call.system);
    fields.read("payload", call.payload);
    if (fields.has("resend")) {
        fields.read("resend", call.resend);
    }
    if (fields.has("key")) {
        fields.read("key", call.key);
    }
    if (fields.has("request_id")) {
        fields.read("request_id", call.requestId);
    }
    if (fields.has("routing")) {
        fields.read("routing", call.routing);
    }
    readTimeout(fields, call.timeout);
    if (call.payload.size() > CallerLimits::maxPayloadBytes) {
        fields.fail("payload", fmt::format("at most {} bytes long: got {}", CallerLimits::maxPayloadBytes, call.payload.size()).c_str());
    }
    if (!fields.good()) {
        return malformed(fields.error());
    }
    return call;
}

std::string encode(const SearchAnswer &answer)
{
    Json missing = Json::array();
    for (const MissingShard &shard : answer.coverage.missing) {
        missing.push_back({{"shard", shard.shard}, {"reason", shard.reason}});
    }
    Json hits = Json::array();
    for (const Hit &hit : answer.hits) {
        hits.push_back({{"id", hit.id}, {"score", hit.score}, {"text", hit.text}});
    }
    const bool complete = answer.coverage.answered == answer.coverage.total;
    return dump({{"request_id", answer.requestId},
                 {"snapshot", answer.snapshot},
                 {"shard_map_generation", answer.mapGeneration},
                 {"complete", complete},
                 {"coverage", {{"answered", answer.coverage.answered}, {"total", answer.coverage.total}, {"missing", std::move(missing)}}},
                 {"hits", std::move(hits)}});
}

std::string encode(const SubmitCall &call)
{
    Json json = {{"system", call.system},
                 {"key", call.key},
                 {"routing", call.routing},
                 {"payload", call.payload},
                 {"request_id", call.requestId},
                 {"resend", call.resend}};
    if (call.timeout) {
        json["deadline_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*call.timeout).count();
    }
    return dump(json);
}

std::string encode(const SubmitResult &result, std::string_view requestId)
{
    return dump({{"request_id", requestId},
                 {"verdict", toString(result.verdict)},
                 {"status", result.status},
                 {"code", result.code},
                 {"detail", result.detail},
                 {"result", result.result}});
}

std::optional<SubmitResult> decodeSubmitResult(std::string_view body)
{
    const auto json = internal::parseObject(body);
    if (!json) {
        return std::nullopt;
    }
    JsonFields fields(*json);
    SubmitResult result;
    std::string verdict;
    std::int64_t status = 0;
    fields.read("verdict", verdict);
    fields.read("status", status);
    fields.read("code", result.code);
    fields.read("detail", result.detail);
    fields.read("result", result.result);
    const auto parsed = verdictFromString(verdict);
    if (!fields.good() || !parsed || status < 200 || status > 599) {
        return std::nullopt;
    }
    result.verdict = *parsed;
    result.status = static_cast<unsigned>(status);
    return result;
}

std::string encodeProblem(const Refusal &refusal, std::string_view requestId)
{
    return dump({{"type", "urn:magnoliaspan:" + refusal.code},
                 {"title", refusal.code},
                 {"status", refusal.status},
                 {"detail", refusal.detail},
                 {"verdict", toString(refusal.verdict)},
                 {"request_id", requestId}});
}

} // namespace magnoliaspan
