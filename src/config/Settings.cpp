/*
 * Loads the settings file of an entry host.
 */
#include "config/Settings.h"

#include "config/DocumentReader.h"

#include <fmt/format.h>

namespace magnoliaspan {

std::optional<Settings> Settings::parse(std::string_view text, const std::string &file, Diagnostics &diagnostics)
{
    const DocumentNode root = DocumentReader(DocumentKind::Settings).read(text, file, diagnostics);
    if (!diagnostics.empty()) {
        return std::nullopt;
    }
    Settings settings;
    settings.seat = root.text("seat");
    settings.zone = root.text("zone");
    settings.environment = root.text("environment");
    settings.callerAddress = root.endpoint("caller_address");
    settings.peerAddress = root.endpoint("peer_address");
    settings.adminAddress = root.endpoint("admin_address");
    settings.platformAddress = root.endpoint("platform_address");
    settings.peerKey = root.text("peer_key");
    settings.logLevel = root.text("log_level");
    settings.shutdownAnnounce = root.duration("shutdown_announce");
    settings.shutdownLimit = root.duration("shutdown_limit");
    settings.journalLines = static_cast<std::size_t>(root.integer("journal_lines"));
    if (settings.peerKey.size() < minPeerKeyLength) {
        diagnostics.push_back({file, root.line("peer_key"), "peer_key", fmt::format("is shorter than {} characters", minPeerKeyLength)});
        return std::nullopt;
    }
    return settings;
}

} // namespace magnoliaspan
