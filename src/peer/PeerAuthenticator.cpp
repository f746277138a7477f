/*
 * Creates and verifies authorizations; rejects replays by their nonce.
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

std::string PeerAuthenticator::computeMac(std::string_view time, std::string_view nonce, std::string_view path, std::string_view body) const
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
    const std::string nonce = fmt::format("{:x}.{:x}", nonceSeed_, ++nonceCounter_);
    return fmt::format("{} {} {}", time, nonce, computeMac(time, nonce, path, body));
}

bool PeerAuthenticator::verify(std::string_view authorization, std::string_view path, std::string_view body)
{
    const auto firstSpace = authorization.find(' ');
    const auto secondSpace = firstSpace == std::string_view::npos ? firstSpace : authorization.find(' ', firstSpace + 1);
    if (secondSpace == std::string_view::npos || authorization.size() > maxAuthorizationLength) {
        return false;
    }
    const std::string_view time = authorization.substr(0, firstSpace);
    const std::string_view nonce = authorization.substr(firstSpace + 1, secondSpace - firstSpace - 1);
    const std::string_view receivedMac = authorization.substr(secondSpace + 1);
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
    const std::string expectedMac = computeMac(time, nonce, path, body);
    if (!sameDigest(receivedMac, expectedMac)) {
        return false;
    }
    evictExpiredNonces(now);
    if (!seenNonces_.emplace(std::string(nonce), sent).second) {
        return false;
    }
    noncesByTime_.emplace(sent, std::string(nonce));
    return true;
}

void PeerAuthenticator::evictExpiredNonces(WallTime now)
{
    while (!noncesByTime_.empty() && noncesByTime_.begin()->first < now - 2 * window) {
        seenNonces_.erase(noncesByTime_.begin()->second);
        noncesByTime_.erase(noncesByTime_.begin());
    }
}

} // namespace magnoliaspan
