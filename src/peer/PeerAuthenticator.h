/*
 * Part peer: proves that a request came from an entry host of the same environment.
 */
#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Signs and checks requests between entry hosts with a shared key.
///
/// The authorization is TIME NONCE MAC; the MAC is HMAC-SHA-256 (RFC 2104) over
/// time, nonce, path and body. A request is accepted once, and only while its
/// time is within the window around this host's clock.
class PeerAuthenticator
{
public:
    /// Largest age of a request, clock offset included.
    static constexpr std::chrono::milliseconds window{5'000};

    /// \param nonceSeed makes the nonces of two processes differ.
    PeerAuthenticator(const Clock &clock, std::string key, std::uint64_t nonceSeed);

    /// \returns the authorization of a request.
    std::string sign(std::string_view path, std::string_view body);

    /// \returns whether \p authorization fits the request and was not used before.
    bool verify(std::string_view authorization, std::string_view path, std::string_view body);

private:
    std::string computeMac(std::string_view time, std::string_view nonce, std::string_view path, std::string_view body) const;
    void evictExpiredNonces(WallTime now);

    const Clock &clock_;
    std::string key_;
    std::uint64_t nonceSeed_;
    std::uint64_t nonceCounter_ = 0;
    std::multimap<WallTime, std::string> noncesByTime_;       // Same entries as seen_, by time.
    std::map<std::string, WallTime, std::less<>> seenNonces_; // Invariant: no entry is older than twice the window.
};

} // namespace magnoliaspan
