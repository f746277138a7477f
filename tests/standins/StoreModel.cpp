/*
 * Pages, long polls and strict queries of the store stand-in.
 */
#include "standins/StoreModel.h"

#include "unit/Base64.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

namespace magnoliaspan::testing {

namespace {

constexpr std::string_view listPath = "/api/kv-range";
constexpr std::string_view watchPath = "/api/kv-watch";

std::optional<int> parseHex(std::string_view digits)
{
    int value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return error == std::errc{} && end == digits.data() + digits.size() && digits.size() == 2 ? std::optional(value) : std::nullopt;
}

/// \returns the data that \p text of a query stands for, or no value if it holds characters that a query cannot.
std::optional<std::string> decodeQuery(std::string_view text)
{
    constexpr std::string_view otherAllowed = "-._~!$'()*,;:@/?=";
    std::string data;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (character == '%') {
            const auto value = parseHex(text.substr(index + 1, 2));
            if (!value) {
                return std::nullopt;
            }
            data += static_cast<char>(*value);
            index += 2;
            continue;
        }
        const bool isAlphanumeric
            = (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        if (!isAlphanumeric && character != '+' && otherAllowed.find(character) == std::string_view::npos) {
            return std::nullopt;
        }
        data += character == '+' ? ' ' : character;
    }
    return data;
}

/// \returns the parameters of \p query by name, or no value if one is malformed, unknown or repeated.
std::optional<std::map<std::string, std::string>> parseQuery(std::string_view query)
{
    static const std::set<std::string, std::less<>> known = {"prefix", "after", "stale_ok", "wait_ms"};
    std::map<std::string, std::string> parameters;
    while (!query.empty()) {
        const auto end = std::min(query.size(), query.find('&'));
        const std::string_view pair = query.substr(0, end);
        query.remove_prefix(std::min(query.size(), end + 1));
        const auto equals = pair.find('=');
        const auto value = equals == std::string_view::npos ? std::nullopt : decodeQuery(pair.substr(equals + 1));
        const std::string name(pair.substr(0, equals));
        if (!value || !known.contains(name) || !parameters.emplace(name, *value).second) {
            return std::nullopt;
        }
    }
    return parameters;
}

bool isUtf8(const std::string &text)
{
    try {
        return !nlohmann::json(text).dump().empty();
    } catch (const nlohmann::json::type_error &) {
        return false;
    }
}

std::int64_t numberOf(const std::map<std::string, std::string> &parameters, const std::string &name)
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? 0 : std::stoll(found->second);
}

std::string textOf(const std::map<std::string, std::string> &parameters, const std::string &name)
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? "" : found->second;
}

std::string join(const std::vector<std::string> &elements)
{
    return fmt::format("[{}]", fmt::join(elements, ","));
}

} // namespace

StoreModel::StoreModel(const Clock &clock, Scheduler &scheduler)
    : clock_(clock)
    , scheduler_(scheduler)
{
}

Service::CancelFunction StoreModel::handle(ServiceRequest request, ReplyHandler handler)
{
    ++calls;
    const std::string_view target(request.target);
    const auto question = std::min(target.size(), target.find('?'));
    const std::string_view path = target.substr(0, question);
    const auto parameters = parseQuery(target.substr(std::min(target.size(), question + 1)));
    const bool isRefused = refusesRawBytes && parameters && !isUtf8(textOf(*parameters, "after"));
    if (!parameters || isRefused || (path != listPath && path != watchPath)) {
        ++malformedCalls;
        handler({400, "application/json", "{}", true});
        return {};
    }
    if (path == watchPath) {
        return watch(*parameters, std::move(handler));
    }
    listPage(*parameters, handler);
    return {};
}

void StoreModel::listPage(const Parameters &parameters, const ReplyHandler &handler) const
{
    const std::string prefix = textOf(parameters, "prefix");
    const std::string after = textOf(parameters, "after");
    std::vector<std::string> page;
    bool truncated = false;
    for (auto it = after.empty() || repeatsPages ? elements_.begin() : elements_.upper_bound(after); it != elements_.end(); ++it) {
        if (it->second.removed || !it->first.starts_with(prefix)) {
            continue;
        }
        truncated = page.size() == pageItems;
        if (truncated) {
            break;
        }
        page.push_back(it->second.text);
    }
    handler({200,
             "application/json",
             fmt::format(R"({{"items":{},"truncated":{},"store_revision":{}}})", join(page), truncated, revision_),
             false});
}

Service::CancelFunction StoreModel::watch(const Parameters &parameters, ReplyHandler handler)
{
    Watch watch{textOf(parameters, "prefix"), numberOf(parameters, "after"), std::move(handler)};
    if (watch.after < historyStart_) {
        watch.handler({410, "application/json", "{}", false});
        return {};
    }
    const std::int64_t waitMs = numberOf(parameters, "wait_ms");
    if (waitMs == 0 || repeatsEvents || !eventsOf(watch).empty()) {
        respond(watch);
        return {};
    }
    const std::uint64_t number = ++lastWatch_;
    watches_.emplace(number, std::move(watch));
    scheduler_.callAt(clock_.now() + std::chrono::milliseconds(waitMs), [this, number] {
        const auto found = watches_.extract(number);
        if (!found.empty()) {
            respond(found.mapped());
        }
    });
    return [this, number] { watches_.erase(number); };
}

std::vector<std::string> StoreModel::eventsOf(const Watch &watch) const
{
    std::map<std::int64_t, std::string> events;
    for (const auto &[key, element] : elements_) {
        const bool isNew = element.revision > watch.after || (repeatsEvents && element.revision == revision_);
        if (isNew && key.starts_with(watch.prefix)) {
            events[element.revision] = element.text;
        }
    }
    std::vector<std::string> result;
    result.reserve(events.size());
    for (const auto &[revision, text] : events) {
        result.push_back(text);
    }
    return result;
}

void StoreModel::respond(const Watch &watch) const
{
    const std::int64_t revision = repeatsEvents ? watch.after : revision_;
    watch.handler({200, "application/json", fmt::format(R"({{"events":{},"store_revision":{}}})", join(eventsOf(watch)), revision), false});
}

void StoreModel::put(const std::string &key, std::string_view value)
{
    const nlohmann::json item
        = {{"key", key}, {"value", toBase64(value)}, {"rev", revision_ + 1}, {"created_rev", revision_ + 1}, {"lease", 0}};
    putElement(key, item.dump());
}

void StoreModel::putElement(const std::string &key, std::string element)
{
    ++revision_;
    const auto mark = element.find(revisionMark);
    if (mark != std::string::npos) {
        element.replace(mark, revisionMark.size(), std::to_string(revision_));
    }
    elements_[key] = {std::move(element), revision_, false};
    notifyWatches();
}

void StoreModel::remove(const std::string &key)
{
    ++revision_;
    elements_[key] = {nlohmann::json{{"key", key}, {"rev", revision_}, {"tombstone", true}}.dump(), revision_, true};
    notifyWatches();
}

void StoreModel::dropHistory()
{
    historyStart_ = ++revision_;
    for (const auto &[number, watch] : std::exchange(watches_, {})) {
        watch.handler({410, "application/json", "{}", false});
    }
}

void StoreModel::notifyWatches()
{
    std::vector<std::uint64_t> ready;
    for (const auto &[number, watch] : watches_) {
        if (!eventsOf(watch).empty()) {
            ready.push_back(number);
        }
    }
    for (const std::uint64_t number : ready) {
        const auto found = watches_.extract(number);
        if (!found.empty()) {
            respond(found.mapped());
        }
    }
}

} // namespace magnoliaspan::testing
