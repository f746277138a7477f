/*
 * Part peer: when an authorization is taken.
 */
#include "peer/PeerAuthenticator.h"

#include "core/Hmac.h"

#include <charconv>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr std::size_t maxAuthorizationLength = 200;

} // namespace

PeerAuthenticator::PeerAuthenticator(const Clock &clock, std::string key, std::uint64_t nonceSeed)
    : clock_(clock)
    , key_(std::move(key))
    , nonceSeed_(nonceSeed)
{
}

std::string PeerAuthenticator::mac(std::string_view time, std::string_view nonce, std::string_view path, std::string_view body) const
{
    std::string message;
    message.reserve(time.size() + nonce.size() + path.size() + body.size() + 3);
    for (const std::string_view part : {time, nonce, path}) {
        message += part;
        message += '\n';
    }
    message += body;
    return hmacSha256(key_, message);
}

std::string PeerAuthenticator::sign(std::string_view path, std::string_view body)
{
    const std::string time = std::to_string(clock_.wallNow().time_since_epoch().count());
    const std::string nonce = fmt::format("{:x}.{:x}", nonceSeed_, ++lastNonce_);
    return fmt::format("{} {} {}", time, nonce, mac(time, nonce, path, body));
}

bool PeerAuthenticator::accept(std::string_view authorization, std::string_view path, std::string_view body)
{
    const auto first = authorization.find(' ');
    const auto second = first == std::string_view::npos ? first : authorization.find(' ', first + 1);
    if (second == std::string_view::npos || authorization.size() > maxAuthorizationLength) {
        return false;
    }
    const std::string_view time = authorization.substr(0, first);
    const std::string_view nonce = authorization.substr(first + 1, second - first - 1);
    const std::string_view given = authorization.substr(second + 1);
    std::int64_t unixMs = 0;
    const auto [end, error] = std::from_chars(time.data(), time.data() + time.size(), unixMs);
    if (error != std::errc{} || end != time.data() + time.size()) {
        return false;
    }
    const WallTime now = clock_.wallNow();
    const WallTime sent{std::chrono::milliseconds(unixMs)};
    if (sent < now - window || sent > now + window) {
        return false;
    }
    const std::string expected = mac(time, nonce, path, body);
    if (!sameDigest(given, expected)) {
        return false;
    }
    forgetOld(now);
    if (!seen_.emplace(std::string(nonce), sent).second) {
        return false;
    }
    byAge_.emplace(sent, std::string(nonce));
    return true;
}

void PeerAuthenticator::forgetOld(WallTime now)
{
    while (!byAge_.empty() && byAge_.begin()->first < now - 2 * window) {
        seen_.erase(byAge_.begin()->second);
        byAge_.erase(byAge_.begin());
    }
}

} // namespace magnoliaspan
