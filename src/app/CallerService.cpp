/*
 * Validates caller requests, starts their operations and encodes the responses.
 */
#include "app/CallerService.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusMethodNotAllowed = 405;
constexpr unsigned statusUnsupportedType = 415;
constexpr std::string_view problemType = "application/problem+json";
// An operation must complete this long before the caller's deadline, so that the response reaches the caller in time:
// a twentieth of the time limit, at most 5 ms.
constexpr Duration maxResponseReserve = std::chrono::milliseconds(5);
constexpr int responseReserveDivisor = 20;

ServiceReply problemReply(const Refusal &refusal, std::string_view requestId)
{
    return {refusal.status, std::string(problemType), encodeProblem(refusal, requestId), false};
}

bool isRequestId(std::string_view text)
{
    return text.size() <= CallerLimits::maxRequestIdBytes
           && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~' && c != '"' && c != '='; });
}

std::optional<Refusal> validateRequest(const ServiceRequest &request)
{
    const bool isKnownPath = request.target == "/v1/search" || request.target == "/v1/submit";
    if (!isKnownPath) {
        return Refusal{statusNotFound, "unknown_path", "expected /v1/search or /v1/submit", Verdict::NotRun};
    }
    if (request.method != "POST") {
        return Refusal{statusMethodNotAllowed, "method_not_allowed", "expected POST", Verdict::NotRun};
    }
    const std::string_view type(request.contentType);
    if (type.substr(0, type.find(';')) != "application/json") {
        return Refusal{statusUnsupportedType, "unsupported_type", "expected content type application/json", Verdict::NotRun};
    }
    if (!isRequestId(request.requestId)) {
        return Refusal{statusBadRequest,
                       "malformed_request",
                       "X-Request-Id is not 1 to 64 printable ASCII characters without space, '\"' and '='",
                       Verdict::NotRun};
    }
    return std::nullopt;
}

} // namespace

CallerService::CallerService(RequestServices &services,
                             FilterChain &filters,
                             SubmitRouter &submitRouter,
                             ActiveRequests &activeRequests,
                             std::string zone)
    : services_(services)
    , filters_(filters)
    , submitRouter_(submitRouter)
    , activeRequests_(activeRequests)
    , zone_(std::move(zone))
{
}

Service::CancelFunction CallerService::handle(ServiceRequest request, ReplyHandler handler)
{
    if (const auto refusal = validateRequest(request)) {
        handler(problemReply(*refusal, ""));
        return {};
    }
    const std::string requestId
        = request.requestId.empty() ? fmt::format("{}-{}", services_.seat, ++lastRequestNumber_) : request.requestId;
    return request.target == "/v1/search" ? search(request, requestId, std::move(handler)) : submit(request, requestId, std::move(handler));
}

std::optional<Refusal> CallerService::checkAdmission(std::string_view system,
                                                     std::string_view content,
                                                     std::optional<Duration> timeout,
                                                     std::string_view requestId)
{
    auto refusal = filters_.check({system, content, timeout, zone_});
    if (refusal) {
        services_.counters.add(fmt::format("magnoliaspan_refusals_total{{code=\"{}\"}}", refusal->code));
        services_.journal.record(
            LogCategory::Admit, requestId, fmt::format("request refused code={} verdict={}", refusal->code, toString(refusal->verdict)));
    }
    return refusal;
}

TimePoint CallerService::deadlineFor(std::string_view system, std::optional<Duration> timeout) const
{
    const SystemSpec &spec = *services_.configuration.current()->findSystem(system);
    const Duration timeLimit = std::min(timeout.value_or(spec.hardDeadline), spec.hardDeadline);
    return services_.clock.now() + timeLimit - std::min(maxResponseReserve, timeLimit / responseReserveDivisor);
}

Service::CancelFunction CallerService::search(const ServiceRequest &request, const std::string &requestId, ReplyHandler handler)
{
    auto parsed = parseSearchQuery(request.body, requestId);
    if (const auto *refusal = std::get_if<Refusal>(&parsed)) {
        handler(problemReply(*refusal, requestId));
        return {};
    }
    auto &query = std::get<SearchQuery>(parsed);
    if (const auto refusal = checkAdmission(query.system, query.text, query.timeout, requestId)) {
        handler(problemReply(*refusal, requestId));
        return {};
    }
    const TimePoint deadline = deadlineFor(query.system, query.timeout);
    const std::uint64_t number = ++lastSearchNumber_;
    auto onFinished = [this, number, requestId, token = activeRequests_.track(), handler = std::move(handler)](const SearchResult &result) {
        const auto operation = runningSearches_.extract(number);
        if (const auto *refusal = std::get_if<Refusal>(&result)) {
            handler(problemReply(*refusal, requestId));
            return;
        }
        handler({200, "application/json", encode(std::get<SearchAnswer>(result)), false});
    };
    auto operation = std::make_shared<SearchOperation>(services_, std::move(query), deadline, std::move(onFinished));
    runningSearches_.emplace(number, operation);
    operation->start();
    return [this, number] {
        const auto found = runningSearches_.find(number);
        if (found != runningSearches_.end()) {
            const auto cancelled = std::move(found->second);
            runningSearches_.erase(found);
            cancelled->cancel();
        }
    };
}

Service::CancelFunction CallerService::submit(const ServiceRequest &request, const std::string &requestId, ReplyHandler handler)
{
    auto parsed = parseSubmitCall(request.body, requestId, request.idempotencyKey);
    if (const auto *refusal = std::get_if<Refusal>(&parsed)) {
        handler(problemReply(*refusal, requestId));
        return {};
    }
    auto &call = std::get<SubmitCall>(parsed);
    const auto key = IdempotencyKey::parse(request.idempotencyKey);
    if (!key) {
        const Refusal refusal{statusBadRequest, "malformed_key", "Idempotency-Key is not ISSUE_TIME_IN_UNIX_MS-TOKEN", Verdict::NotRun};
        handler(problemReply(refusal, requestId));
        return {};
    }
    call.key = key->text;
    if (auto refusal = checkAdmission(call.system, call.payload, call.timeout, requestId)) {
        refusal->verdict = call.refusalVerdict();
        handler(problemReply(*refusal, requestId));
        return {};
    }
    const TimePoint deadline = deadlineFor(call.system, call.timeout);
    submitRouter_.submit(
        call, *key, deadline, [requestId, token = activeRequests_.track(), handler = std::move(handler)](const SubmitResult &result) {
            if (result.code.empty()) {
                handler({result.status, "application/json", encode(result, requestId), false});
                return;
            }
            handler(problemReply({result.status, result.code, result.detail, result.verdict}, requestId));
        });
    return {};
}

} // namespace magnoliaspan
