/*
 * Encodes fields as netstrings after a keyed hash of all of them.
 */
#include "handoff/HandoffMessages.h"

#include "core/Hmac.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr std::string_view callKind = "call";
constexpr std::string_view answerKind = "answer";
constexpr std::size_t digestDigits = 64;

void append(std::string &text, std::string_view field)
{
    text += fmt::format("{}:", field.size());
    text += field;
}

void append(std::string &text, std::int64_t number)
{
    append(text, std::string_view(fmt::format("{}", number)));
}

void append(std::string &text, const std::vector<WireHeader> &headers)
{
    append(text, static_cast<std::int64_t>(headers.size()));
    for (const WireHeader &header : headers) {
        append(text, std::string_view(header.name));
        append(text, std::string_view(header.value));
    }
}

/// Reads fields one after the other; remembers whether one was malformed.
class FieldReader
{
public:
    explicit FieldReader(std::string_view text)
        : rest_(text)
    {
    }

    std::string readString()
    {
        const auto colon = rest_.find(':');
        const auto size = colon == std::string_view::npos ? std::nullopt : parse(rest_.substr(0, colon));
        if (!size || *size < 0 || static_cast<std::uint64_t>(*size) > rest_.size() - colon - 1) {
            good_ = false;
            return {};
        }
        std::string value(rest_.substr(colon + 1, static_cast<std::size_t>(*size)));
        rest_.remove_prefix(colon + 1 + value.size());
        return value;
    }

    std::int64_t readNumber()
    {
        const auto number = parse(readString());
        good_ = good_ && number;
        return number.value_or(0);
    }

    /// Cuts longer times, whose sum with an instant would overflow.
    Duration readDuration()
    {
        constexpr Duration max = std::chrono::hours(24);
        return Duration(std::clamp<std::int64_t>(readNumber(), -max.count(), max.count()));
    }

    std::vector<WireHeader> readHeaders()
    {
        std::vector<WireHeader> headers;
        const std::int64_t count = readNumber();
        // A wrong count ends at the first field that is missing.
        for (std::int64_t index = 0; good_ && index < count; ++index) {
            std::string name = readString();
            headers.push_back({std::move(name), readString()});
        }
        return headers;
    }

    bool isComplete() const
    {
        return good_ && rest_.empty();
    }

private:
    static std::optional<std::int64_t> parse(std::string_view text)
    {
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc{} && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
    }

    std::string_view rest_;
    bool good_ = true;
};

} // namespace

HandoffCodec::HandoffCodec(std::string key)
    : key_(std::move(key))
{
}

// The kind is part of what is signed, so that a call cannot be passed off as an answer.
std::string HandoffCodec::sign(std::string_view kind, std::string_view fields) const
{
    return hmacSha256(key_, fmt::format("{} {}", kind, fields));
}

std::optional<std::string_view> HandoffCodec::verify(std::string_view kind, std::string_view body) const
{
    if (body.size() < digestDigits) {
        return std::nullopt;
    }
    const std::string_view fields = body.substr(digestDigits);
    return sameDigest(body.substr(0, digestDigits), sign(kind, fields)) ? std::optional(fields) : std::nullopt;
}

std::string HandoffCodec::encode(const HandoffCall &call) const
{
    const ForwardRequest &request = call.request;
    std::string fields;
    append(fields, std::string_view(request.id));
    append(fields, std::string_view(request.method));
    append(fields, std::string_view(request.target));
    append(fields, std::string_view(request.host));
    append(fields, static_cast<std::int64_t>(request.timeLeft.value_or(Duration::zero()).count()));
    append(fields, static_cast<std::int64_t>(call.goalLeft.count()));
    append(fields, request.headers);
    append(fields, std::string_view(request.body));
    return sign(callKind, fields) + fields;
}

std::optional<HandoffCall> HandoffCodec::decodeCall(std::string_view body) const
{
    const auto fields = verify(callKind, body);
    if (!fields) {
        return std::nullopt;
    }
    FieldReader reader(*fields);
    HandoffCall call;
    call.request.id = reader.readString();
    call.request.method = reader.readString();
    call.request.target = reader.readString();
    call.request.host = reader.readString();
    call.request.timeLeft = reader.readDuration();
    call.goalLeft = reader.readDuration();
    call.request.headers = reader.readHeaders();
    call.request.body = reader.readString();
    return reader.isComplete() ? std::optional(std::move(call)) : std::nullopt;
}

std::string HandoffCodec::encode(const HandoffAnswer &answer) const
{
    std::string fields;
    append(fields, static_cast<std::int64_t>(answer.reply.status));
    append(fields, std::string_view(answer.reply.contentType));
    append(fields, static_cast<std::int64_t>(answer.targetsReachable ? 1 : 0));
    append(fields, static_cast<std::int64_t>(answer.servicesReachable ? 1 : 0));
    append(fields, answer.reply.headers);
    append(fields, std::string_view(answer.reply.body));
    return sign(answerKind, fields) + fields;
}

std::optional<HandoffAnswer> HandoffCodec::decodeAnswer(std::string_view body) const
{
    const auto fields = verify(answerKind, body);
    if (!fields) {
        return std::nullopt;
    }
    FieldReader reader(*fields);
    HandoffAnswer answer;
    const std::int64_t status = reader.readNumber();
    answer.reply.contentType = reader.readString();
    answer.targetsReachable = reader.readNumber() != 0;
    answer.servicesReachable = reader.readNumber() != 0;
    answer.reply.headers = reader.readHeaders();
    answer.reply.body = reader.readString();
    constexpr std::int64_t minStatus = 200;
    constexpr std::int64_t maxStatus = 599;
    if (!reader.isComplete() || status < minStatus || status > maxStatus) {
        return std::nullopt;
    }
    answer.reply.status = static_cast<unsigned>(status);
    return answer;
}

} // namespace magnoliaspan
