/*
 * Authenticates requests between the entry hosts of one environment.
 */
#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Signs and verifies requests between entry hosts with a shared key.
///
/// The authorization is TIME NONCE MAC; the MAC is HMAC-SHA-256 (RFC 2104) over
/// time, nonce, path and body. A request is accepted only once, and only if its
/// time differs from this host's clock by at most the window.
class PeerAuthenticator
{
public:
    /// Largest accepted difference between a request's time and this host's clock; covers transit time and clock offset.
    static constexpr std::chrono::milliseconds window{5'000};

    /// \param nonceSeed must differ between processes, so that their nonces differ.
    PeerAuthenticator(const Clock &clock, std::string key, std::uint64_t nonceSeed);

    /// \returns the authorization for a request, valid for one use.
    std::string sign(std::string_view path, std::string_view body);

    /// \brief Verifies \p authorization and marks its nonce as used.
    /// \returns whether it is valid for the request and was not used before.
    bool verify(std::string_view authorization, std::string_view path, std::string_view body);

private:
    std::string computeMac(std::string_view time, std::string_view nonce, std::string_view path, std::string_view body) const;
    void evictExpiredNonces(WallTime now);

    const Clock &clock_;
    std::string key_;
    std::uint64_t nonceSeed_;
    std::uint64_t nonceCounter_ = 0;
    std::multimap<WallTime, std::string> noncesByTime_;       // Invariant: same entries as seenNonces_, ordered by time.
    std::map<std::string, WallTime, std::less<>> seenNonces_; // Invariant: no entry is older than twice the window.
};

} // namespace magnoliaspan
