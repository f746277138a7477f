/*
 * Loads the settings file of a forwarding host.
 */
#include "config/ForwardSettings.h"

#include "config/DocumentReader.h"
#include "core/Text.h"

#include <fmt/format.h>

namespace magnoliaspan {

namespace {

ForwardLimits readLimits(const DocumentNode &root)
{
    ForwardLimits limits;
    limits.hosts = static_cast<unsigned>(root.integer("assumed_hosts"));
    limits.extraSendRatio = root.fraction("extra_send_ratio");
    limits.extraSendSlack = root.fraction("extra_send_slack");
    limits.coldFactor = root.fraction("cold_factor");
    limits.coldSlack = root.fraction("cold_slack");
    limits.maxInFlight = static_cast<std::size_t>(root.integer("max_in_flight"));
    return limits;
}

// A seed may name any port of its host; the peer port, which all hosts share, replaces it.
std::optional<std::vector<Endpoint>> parseSeeds(std::string_view text, std::uint16_t peerPort)
{
    std::vector<Endpoint> seeds;
    for (const std::string_view part : splitAtCommas(text)) {
        auto seed = Endpoint::parse(part);
        if (!seed) {
            return std::nullopt;
        }
        seed->port = peerPort;
        seeds.push_back(*seed);
    }
    return seeds;
}

} // namespace

std::optional<ForwardSettings> ForwardSettings::parse(std::string_view text, const std::string &file, Diagnostics &diagnostics)
{
    const DocumentNode root = DocumentReader(DocumentKind::ForwardSettings).read(text, file, diagnostics);
    if (!diagnostics.empty()) {
        return std::nullopt;
    }
    ForwardSettings settings;
    settings.host = root.text("host");
    settings.zone = root.text("zone");
    for (const DocumentNode &zone : root.list("zones")) {
        settings.regionOfZone[zone.text("name")] = zone.text("region");
    }
    settings.callerAddress = root.endpoint("caller_address");
    settings.readyAddress = root.endpoint("ready_address");
    settings.metricsAddress = root.endpoint("metrics_address");
    settings.discoveryAddress = root.endpoint("discovery_address");
    settings.peerAddress = root.endpoint("peer_address");
    settings.peerKey = root.text("peer_key");
    settings.logLevel = root.text("log_level");
    settings.logLinesPerSecond = static_cast<std::size_t>(root.integer("log_lines_per_second"));
    settings.watchTime = root.duration("watch_time");
    settings.shutdownAnnounce = root.duration("shutdown_announce");
    settings.shutdownLimit = root.duration("shutdown_limit");
    settings.journalLines = static_cast<std::size_t>(root.integer("journal_lines"));
    settings.limits = readLimits(root);
    if (!settings.regionOfZone.contains(settings.zone)) {
        diagnostics.push_back({file, root.line("zone"), "zone", fmt::format("'{}' is not among the zones", settings.zone)});
        return std::nullopt;
    }
    const auto seeds = parseSeeds(root.text("seeds"), settings.peerAddress.port);
    if (!seeds) {
        diagnostics.push_back({file, root.line("seeds"), "seeds", "must be IP:PORT or a comma-separated list of IP:PORT"});
        return std::nullopt;
    }
    settings.seeds = *seeds;
    return settings;
}

} // namespace magnoliaspan
