/*
 * Encodes datagrams as JSON arrays, without field names to keep them short.
 */
#include "membership/PeerDatagram.h"

#include "core/Hmac.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace magnoliaspan {

namespace {

using nlohmann::json;

// Raised when the meaning of a field changes; datagrams of another version are refused.
constexpr int formatVersion = 1;
// Half of the digits of a SHA-256: infeasible to guess, and short.
constexpr std::size_t digestDigits = 32;
// Bytes of the commas, quotes and brackets around the fields of a member, the port, the state and the longest incarnation.
constexpr std::size_t maxMemberOverhead = 40;

json toJson(const Member &member)
{
    return json::array({member.name, member.zone, member.address.toString(), member.incarnation, static_cast<int>(member.state)});
}

// Throws json::exception or std::invalid_argument.
Member memberFromJson(const json &fields)
{
    Member member;
    member.name = fields.at(0).get<std::string>();
    member.zone = fields.at(1).get<std::string>();
    const auto address = Endpoint::parse(fields.at(2).get<std::string>());
    const int state = fields.at(4).get<int>();
    if (!address || member.name.empty() || state < 0 || state > static_cast<int>(HostState::Left)) {
        throw std::invalid_argument("member field out of range: expected a name, an address and a state from 0 to 3");
    }
    member.address = *address;
    member.incarnation = fields.at(3).get<std::uint64_t>();
    member.state = static_cast<HostState>(state);
    return member;
}

// Larger epochs cannot be exact in the number format of all JSON parsers; at one per second they are never reached.
constexpr std::uint64_t maxEpoch = 1ULL << 53;

bool exchangesLoad(DatagramType type)
{
    return type == DatagramType::LoadExchange || type == DatagramType::LoadAnswer;
}

// Throws json::exception or std::invalid_argument.
LoadSample loadFromJson(const json &fields)
{
    const LoadSample sample{fields.at(0).get<std::uint64_t>(), fields.at(1).get<double>()};
    if (sample.epoch > maxEpoch || !std::isfinite(sample.estimate) || sample.estimate < LoadAverage::minLoad
        || sample.estimate > LoadAverage::maxLoad) {
        throw std::invalid_argument(fmt::format("load sample out of range: epoch {}, estimate {}", sample.epoch, sample.estimate));
    }
    return sample;
}

// Ages beyond this are of no interest, and a sum of it and a time does not overflow.
constexpr std::int64_t maxAgeMilliseconds = 86'400'000;

// Throws json::exception or std::invalid_argument.
Duration ageFromJson(const json &field)
{
    const auto milliseconds = field.get<std::int64_t>();
    if (milliseconds < 0 || milliseconds > maxAgeMilliseconds) {
        throw std::invalid_argument(fmt::format("age of a crash report is {} ms, expected 0 to {}", milliseconds, maxAgeMilliseconds));
    }
    return std::chrono::milliseconds(milliseconds);
}

json toJson(Duration age)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return std::clamp<std::int64_t>(milliseconds, 0, maxAgeMilliseconds);
}

// Hosts of an earlier release send the request and the target only, and read no more than these.
// Throws json::exception or std::invalid_argument.
CrashReport lossFromJson(const json &fields)
{
    CrashReport report;
    report.key = {CrashReportKind::Loss, Fingerprint{fields.at(0).get<std::uint64_t>()}, fields.at(1).get<std::uint64_t>()};
    constexpr std::size_t serviceIndex = 2;
    if (fields.size() > serviceIndex) {
        report.service = fields.at(serviceIndex).get<std::uint64_t>();
        report.ages = CrashReportAges{ageFromJson(fields.at(serviceIndex + 1)), ageFromJson(fields.at(serviceIndex + 2))};
        if (report.ages->sent < report.ages->ended) {
            throw std::invalid_argument("ages of a crash report are out of order: sent after the target was lost");
        }
    }
    return report;
}

// Throws json::exception or std::invalid_argument.
CrashReport survivalFromJson(const json &fields)
{
    const auto service = fields.at(1).get<std::uint64_t>();
    const Duration age = ageFromJson(fields.at(2));
    return {{CrashReportKind::Survival, Fingerprint{fields.at(0).get<std::uint64_t>()}, service}, service, CrashReportAges{age, age}};
}

// Throws json::exception or std::invalid_argument.
PeerDatagram datagramFromJson(const json &fields)
{
    if (const int version = fields.at(0).get<int>(); version != formatVersion) {
        throw std::invalid_argument(fmt::format("format version is {}, expected {}", version, formatVersion));
    }
    PeerDatagram datagram;
    const int type = fields.at(1).get<int>();
    if (type < 0 || type > static_cast<int>(DatagramType::LoadAnswer)) {
        throw std::invalid_argument(fmt::format("datagram type is {}, expected 0 to {}", type, static_cast<int>(DatagramType::LoadAnswer)));
    }
    datagram.type = static_cast<DatagramType>(type);
    datagram.probeNumber = fields.at(2).get<std::uint64_t>();
    datagram.sender = memberFromJson(fields.at(3));
    datagram.aliveCount = fields.at(4).get<std::uint64_t>();
    datagram.position.revision = fields.at(5).get<std::int64_t>();
    for (const json &member : fields.at(6)) {
        datagram.members.push_back(memberFromJson(member));
    }
    for (const json &crash : fields.at(7)) {
        datagram.crashes.push_back(lossFromJson(crash));
    }
    if (exchangesLoad(datagram.type)) {
        datagram.load = loadFromJson(fields.at(8));
    }
    // Hosts of an earlier release do not send an era; their position is older than any other.
    constexpr std::size_t eraIndex = 9;
    if (fields.size() > eraIndex) {
        datagram.position.era = fields.at(eraIndex).get<std::int64_t>();
    }
    if (fields.size() > eraIndex + 1) {
        datagram.reachesTargets = fields.at(eraIndex + 1).get<bool>();
    }
    constexpr std::size_t survivalsIndex = 11;
    if (fields.size() > survivalsIndex) {
        for (const json &survival : fields.at(survivalsIndex)) {
            datagram.crashes.push_back(survivalFromJson(survival));
        }
        datagram.crashDigest = fields.at(survivalsIndex + 1).get<std::uint64_t>();
        datagram.hasCrashReports = fields.at(survivalsIndex + 2).get<bool>();
    }
    return datagram;
}

} // namespace

PeerDatagramCodec::PeerDatagramCodec(std::string key)
    : key_(std::move(key))
{
}

std::size_t PeerDatagramCodec::maxEncodedSize(const Member &member)
{
    return member.name.size() + member.zone.size() + member.address.address.size() + maxMemberOverhead;
}

std::string PeerDatagramCodec::encode(const PeerDatagram &datagram) const
{
    json members = json::array();
    for (const Member &member : datagram.members) {
        members.push_back(toJson(member));
    }
    json losses = json::array();
    json survivals = json::array();
    for (const CrashReport &crash : datagram.crashes) {
        json entry = json::array({static_cast<std::uint64_t>(crash.key.request), crash.key.subject});
        if (crash.key.kind == CrashReportKind::Survival) {
            entry.push_back(toJson(crash.ages.value_or(CrashReportAges{}).ended));
            survivals.push_back(std::move(entry));
            continue;
        }
        if (crash.ages) {
            entry.push_back(crash.service);
            entry.push_back(toJson(crash.ages->sent));
            entry.push_back(toJson(crash.ages->ended));
        }
        losses.push_back(std::move(entry));
    }
    json fields = json::array({formatVersion,
                               static_cast<int>(datagram.type),
                               datagram.probeNumber,
                               toJson(datagram.sender),
                               datagram.aliveCount,
                               datagram.position.revision,
                               std::move(members),
                               std::move(losses)});
    fields.push_back(datagram.load ? json::array({datagram.load->epoch, datagram.load->estimate}) : json());
    fields.push_back(datagram.position.era);
    fields.push_back(datagram.reachesTargets);
    fields.push_back(std::move(survivals));
    fields.push_back(datagram.crashDigest.value_or(0));
    fields.push_back(datagram.hasCrashReports);
    const std::string body = fields.dump(-1, ' ', false, json::error_handler_t::replace);
    return fmt::format("{} {}", hmacSha256(key_, body).substr(0, digestDigits), body);
}

std::optional<PeerDatagram> PeerDatagramCodec::decode(std::string_view text, std::string &reason) const
{
    if (text.size() <= digestDigits || text[digestDigits] != ' ') {
        reason = "no keyed hash: expected 32 digits and a space";
        return std::nullopt;
    }
    const std::string_view body = text.substr(digestDigits + 1);
    if (!sameDigest(text.substr(0, digestDigits), std::string_view(hmacSha256(key_, body)).substr(0, digestDigits))) {
        reason = "keyed hash does not match: other key or damaged datagram";
        return std::nullopt;
    }
    try {
        return datagramFromJson(json::parse(body));
    } catch (const std::exception &error) {
        reason = error.what();
        return std::nullopt;
    }
}

} // namespace magnoliaspan
