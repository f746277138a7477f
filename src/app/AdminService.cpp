/*
 * Reports the state of the entry host as last observed, with the age and source of each part.
 */
#include "app/AdminService.h"

#include <nlohmann/json.hpp>

namespace magnoliaspan {

namespace {

using Json = nlohmann::json;

constexpr unsigned statusNotFound = 404;
constexpr unsigned statusMethodNotAllowed = 405;
constexpr unsigned statusUnavailable = 503;

Json ageInMs(std::optional<TimePoint> instant, TimePoint now)
{
    if (!instant) {
        return nullptr;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *instant).count();
}

Json describeLink(const TargetLink &link, TimePoint now)
{
    return {{"name", link.address().name},
            {"zone", link.address().zone},
            {"address", link.address().endpoint.toString()},
            {"state", toString(link.state())},
            {"age_ms", ageInMs(link.lastResponseAt(), now)},
            {"source", link.lastResponseAt() ? "its last answer" : "none yet"},
            {"boot_id", link.bootId()},
            {"snapshots", link.snapshots()},
            {"in_flight", link.inFlight()},
            {"limit", link.concurrencyLimit()},
            {"connections", link.openConnections()},
            {"mean_latency_us", link.meanLatency().count()}};
}

ServiceReply textReply(unsigned status, std::string body)
{
    return {status, "text/plain; charset=utf-8", std::move(body), false};
}

} // namespace

AdminService::AdminService(EntryHost &host)
    : host_(host)
{
}

Service::CancelFunction AdminService::handle(ServiceRequest request, ReplyHandler handler)
{
    handler(respond(request));
    return {};
}

ServiceReply AdminService::respond(const ServiceRequest &request) const
{
    if (request.method != "GET") {
        return textReply(statusMethodNotAllowed, "expected GET\n");
    }
    const std::string_view target(request.target);
    const std::string_view path = target.substr(0, target.find('?'));
    if (path == "/live") {
        return textReply(200, "live\n");
    }
    if (path == "/ready") {
        return readinessReply();
    }
    if (path == "/metrics") {
        return {200, "text/plain; version=0.0.4", host_.counters().exposition(), false};
    }
    if (path == "/status") {
        return statusReply();
    }
    if (path == "/explain") {
        return explanationReply(target.substr(std::min(target.size(), path.size() + 1)));
    }
    return textReply(statusNotFound, "expected /live, /ready, /metrics, /status or /explain?request=ID\n");
}

ServiceReply AdminService::readinessReply() const
{
    if (host_.isReady()) {
        return textReply(200, "ready\n");
    }
    return textReply(statusUnavailable, "not ready: " + host_.notReadyReason() + "\n");
}

ServiceReply AdminService::statusReply() const
{
    const TimePoint now = host_.clock().now();
    const ConfigurationController &configuration = host_.configuration();
    Json document = nullptr;
    if (const EnvironmentPtr current = configuration.current()) {
        document = {{"generation", current->generation},
                    {"digest", current->digest},
                    {"source", configuration.source()},
                    {"age_ms", ageInMs(configuration.acceptedAt(), now)}};
    }
    Json targets = Json::array();
    for (const auto &[name, link] : host_.targets().targets()) {
        targets.push_back(describeLink(*link, now));
    }
    Json peers = Json::array();
    for (const auto &[name, link] : host_.targets().peers()) {
        peers.push_back(describeLink(*link, now));
    }
    const Json report = {{"seat", host_.settings().seat},
                         {"zone", host_.settings().zone},
                         {"stage", toString(host_.serving().stage())},
                         {"ready", host_.isReady()},
                         {"beliefs_fresh", host_.pauseDetector().isStateFresh(now)},
                         {"document", std::move(document)},
                         {"last_refused_document", configuration.lastRefusalReason()},
                         {"platform",
                          {{"document_reading_age_ms", ageInMs(host_.platform().lastDocumentReadAt(), now)},
                           {"membership_reading_age_ms", ageInMs(host_.platform().lastMembershipReadAt(), now)},
                           {"membership_revision", host_.membership().revision()}}},
                         {"requests_in_flight", host_.requestsInFlight()},
                         {"quarantined", host_.quarantine().fingerprintsWith(Suspicion::Quarantined).size()},
                         {"keys_remembered", host_.submitRouter().keyStore().size()},
                         {"targets", std::move(targets)},
                         {"peers", std::move(peers)}};
    return {200, "application/json", report.dump(2) + "\n", false};
}

ServiceReply AdminService::explanationReply(std::string_view query) const
{
    constexpr std::string_view parameter = "request=";
    if (!query.starts_with(parameter)) {
        return textReply(statusNotFound, "expected /explain?request=ID\n");
    }
    const std::string_view id = query.substr(parameter.size());
    const std::vector<std::string> lines = host_.journal().explain(id);
    if (lines.empty()) {
        return textReply(statusNotFound, "no decision recorded for request '" + std::string(id) + "'\n");
    }
    std::string body;
    for (const std::string &line : lines) {
        body += line + '\n';
    }
    return textReply(200, std::move(body));
}

} // namespace magnoliaspan
