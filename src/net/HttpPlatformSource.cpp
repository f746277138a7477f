/*
 * Sends the long polls and decodes their responses.
 */
#include "net/HttpPlatformSource.h"

#include "request/JsonFields.h"
#include "transport/TransportError.h"

#include <fmt/format.h>

namespace magnoliaspan {

using internal::Json;
using internal::JsonFields;

namespace {

// A watch without a response fails after the sum of both; it must stay below six seconds with some margin.
constexpr std::chrono::milliseconds longPollTime{3'000};
constexpr Duration replyTimeout = std::chrono::milliseconds(1'500);
constexpr unsigned statusOk = 200;

std::string longPollQuery(std::int64_t after)
{
    return after < 0 ? std::string() : fmt::format("&after={}&wait_ms={}", after, longPollTime.count());
}

std::optional<Json> parseReply(const WireReply &reply)
{
    if (reply.error || reply.status != statusOk) {
        return std::nullopt;
    }
    return internal::parseObject(reply.body);
}

} // namespace

HttpPlatformSource::HttpPlatformSource(const Clock &clock,
                                       Scheduler &scheduler,
                                       Transport &transport,
                                       Endpoint endpoint,
                                       std::string environment)
    : clock_(clock)
    , scheduler_(scheduler)
    , transport_(transport)
    , endpoint_(std::move(endpoint))
    , environment_(std::move(environment))
{
}

HttpPlatformSource::~HttpPlatformSource()
{
    for (const auto &call : calls_) {
        call->cancel();
    }
}

void HttpPlatformSource::get(std::string path, std::function<void(const WireReply &)> handler)
{
    const auto call = std::make_shared<SingleCall>(scheduler_);
    calls_.insert(call);
    call->start(transport_,
                endpoint_,
                {std::move(path), "", ""},
                clock_.now() + longPollTime + replyTimeout,
                [this, weak = std::weak_ptr<SingleCall>(call), handler = std::move(handler)](const WireReply &reply) {
                    calls_.erase(weak.lock());
                    handler(reply);
                });
}

void HttpPlatformSource::watchDocument(std::int64_t after, std::function<void(DocumentReadResult)> handler)
{
    get(fmt::format("/v1/document?environment={}{}", environment_, longPollQuery(after)),
        [handler = std::move(handler)](const WireReply &reply) {
            DocumentReadResult reading;
            reading.error = reply.error ? reply.error : make_error_code(TransportError::MalformedReply);
            if (const auto json = parseReply(reply)) {
                JsonFields fields(*json);
                fields.read("revision", reading.revision);
                fields.read("changed", reading.changed);
                fields.read("text", reading.text);
                if (fields.good()) {
                    reading.error = {};
                }
            }
            handler(std::move(reading));
        });
}

void HttpPlatformSource::watchMembership(std::int64_t after, std::function<void(MembershipReadResult)> handler)
{
    get(fmt::format("/v1/membership?environment={}{}", environment_, longPollQuery(after)),
        [handler = std::move(handler)](const WireReply &reply) {
            MembershipReadResult reading;
            reading.error = reply.error ? reply.error : make_error_code(TransportError::MalformedReply);
            if (const auto json = parseReply(reply)) {
                JsonFields fields(*json);
                fields.read("revision", reading.revision);
                fields.read("changed", reading.changed);
                const Json *members = fields.array("members");
                for (const Json &member : members == nullptr ? Json::array() : *members) {
                    if (!member.is_object()) {
                        fields.fail("members", "an array of objects");
                        break;
                    }
                    JsonFields memberFields(member);
                    std::string name;
                    std::string state;
                    memberFields.read("target", name);
                    memberFields.read("state", state);
                    if (memberFields.good()) {
                        reading.targets[name] = state == "leaving" ? MemberState::Leaving : MemberState::Live;
                    }
                }
                if (fields.good()) {
                    reading.error = {};
                }
            }
            handler(std::move(reading));
        });
}

} // namespace magnoliaspan
