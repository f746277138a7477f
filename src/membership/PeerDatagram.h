/*
 * Datagrams of the membership protocol between hosts, and their encoding.
 */
#pragma once

#include "discovery/StatePosition.h"
#include "membership/CrashReport.h"
#include "membership/LoadAverage.h"
#include "membership/Member.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan {

/// Purpose of a datagram. The values are part of the wire format.
enum class DatagramType {
    Probe,        ///< Requests an acknowledgement.
    Ack,          ///< Acknowledges a probe, which proves that its sender is alive.
    Update,       ///< Carries updates only; no response is expected.
    LoadExchange, ///< Starts an exchange of load estimates.
    LoadAnswer,   ///< Answers an exchange.
};

/// \brief One datagram; each type carries updates.
struct PeerDatagram {
    DatagramType type = DatagramType::Update;
    std::uint64_t probeNumber = 0; ///< Of a probe with a time-out or an exchange, repeated in the response to it; else 0.
    Member sender;
    std::uint64_t aliveCount = 0; ///< Number of other hosts that the sender has as alive or suspect.
    StatePosition position;       ///< In the history of the published state, up to which the sender has read.
    bool reachesTargets = true;   ///< Whether the sender reaches any target.
    std::vector<Member> members;
    std::vector<CrashReport> crashes;
    std::optional<std::uint64_t> crashDigest; ///< Of all reports that the sender knows; not sent by hosts of an earlier release.
    bool hasCrashReports = false;             ///< Whether the sender has found out which reports other hosts know; false with no digest.
    std::optional<LoadSample> load;           ///< Invariant: set if, and only if, the type is LoadExchange or LoadAnswer.
};

/// \brief Encodes and decodes datagrams: a keyed hash, a space, and JSON.
/// The hash does not expire, so that clock jumps have no effect: a replayed datagram only repeats updates that are
/// superseded, or that were true.
class PeerDatagramCodec
{
public:
    /// Highest size in bytes: the payload of an Ethernet frame less headers, so that datagrams are not fragmented.
    static constexpr std::size_t maxBytes = 1'400;

    /// \param key shared by all hosts of the deployment.
    explicit PeerDatagramCodec(std::string key);

    std::string encode(const PeerDatagram &datagram) const;

    /// \param reason set to the cause if the datagram is refused.
    /// \returns the datagram, or no value if it is malformed, has another format version or was signed with another key.
    std::optional<PeerDatagram> decode(std::string_view text, std::string &reason) const;

    /// \returns an upper limit of the bytes that \p member takes in a datagram.
    static std::size_t maxEncodedSize(const Member &member);

private:
    std::string key_;
};

} // namespace magnoliaspan
