/*
 * Part membership: what hosts tell each other in one datagram.
 */
#pragma once

#include "control/QuarantineController.h"
#include "membership/Member.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan {

/// \brief One target was lost while it ran a request.
struct CrashReport {
    Fingerprint request{};
    std::uint64_t targetInstance = 0; ///< Hash of the target's start, so that hosts that saw the same loss count it once.

    // clang-tidy 14 takes the zero that is compared with here for a pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const CrashReport &) const = default;
};

/// What a datagram is for.
enum class DatagramType {
    Probe,  ///< Asks for an answer.
    Ack,    ///< Proves that its sender is alive.
    Update, ///< Only tells.
};

/// \brief One datagram.
struct PeerDatagram {
    DatagramType type = DatagramType::Update;
    std::uint64_t probeNumber = 0; ///< Of a probe, repeated by its answer.
    Member sender;
    std::uint64_t aliveCount = 0; ///< Other hosts that the sender takes to be alive.
    std::int64_t revision = 0;    ///< Of the published state that the sender knows.
    std::vector<Member> members;
    std::vector<CrashReport> crashes;
};

/// \brief Writes and reads datagrams: a keyed hash, a space, and JSON.
/// The hash holds for no time, so that clocks that jump do no harm: an old datagram that is sent again tells news that
/// have been superseded, or that were true.
class PeerDatagramCodec
{
public:
    /// Payload of an Ethernet frame, less headers, so that no datagram is split on the way.
    static constexpr std::size_t maxBytes = 1'400;

    explicit PeerDatagramCodec(std::string key);

    std::string encode(const PeerDatagram &datagram) const;

    /// \param reason why it was not read, when it was not.
    std::optional<PeerDatagram> decode(std::string_view text, std::string &reason) const;

    /// \returns bytes that \p member takes at most in a datagram.
    static std::size_t maxEncodedSize(const Member &member);

private:
    std::string key_;
};

} // namespace magnoliaspan
