/*
 * Schema tables and the reference page generated from them.
 */
#include "config/Schema.h"

#include <array>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

using enum FieldType;

constexpr double dayInMs = 86'400'000;

constexpr std::array settingsSchema = {
    FieldSpec{"seat", Name, true, "", 0, 0, "", "Seat of this entry host, as published in the environment document."},
    FieldSpec{"zone", Name, true, "", 0, 0, "", "Availability zone of this process."},
    FieldSpec{"environment",
              Name,
              true,
              "",
              0,
              0,
              "",
              "Environment that this process serves; documents of other environments are refused."},
    FieldSpec{"caller_address", Address, true, "", 0, 0, "", "Address on which callers connect."},
    FieldSpec{"peer_address", Address, true, "", 0, 0, "", "Address on which other entry hosts connect."},
    FieldSpec{"admin_address", Address, true, "", 0, 0, "", "Address on which operators and the load balancer connect."},
    FieldSpec{"platform_address", Address, true, "", 0, 0, "", "Address of the configuration and membership service of the platform."},
    FieldSpec{"peer_key", Text, true, "", 0, 0, "", "Secret shared by all entry hosts of the environment, at least 16 characters."},
    FieldSpec{"log_level", Choice, false, "info", 0, 0, "debug|info|warn|error", "Lowest severity that is logged."},
    FieldSpec{"shutdown_announce",
              Duration,
              false,
              "2s",
              0,
              60'000,
              "",
              "Time for which a shutdown still serves requests while it reports not ready."},
    FieldSpec{"shutdown_limit",
              Duration,
              false,
              "30s",
              10,
              600'000,
              "",
              "Time after which a shutdown completes even with requests in flight."},
    FieldSpec{"journal_lines", Integer, false, "20000", 1, 1'000'000, "", "Decision log lines kept in memory for the explain command."},
};

constexpr std::array environmentSchema = {
    FieldSpec{"environment", Name, true, "", 0, 0, "", "Name of the environment, such as trial or production."},
    FieldSpec{"generation", Integer, true, "", 1, 1e15, "", "Version of the document; a lower generation never replaces a higher one."},
    FieldSpec{"trial_digest", Text, false, "", 0, 0, "", "Digest of the trial document that this document was promoted from."},
    FieldSpec{"clock_offset_bound", Duration, false, "100ms", 1, 10'000, "", "Largest difference between the clocks of two hosts."},
    FieldSpec{"cold_slice",
              Duration,
              false,
              "1s",
              100,
              60'000,
              "",
              "Time slot of one seat at a cold target that can process fewer concurrent requests than there are seats."},
    FieldSpec{"key_lifetime", Duration, false, "10m", 1'000, dayInMs, "", "Time for which idempotency keys are stored and accepted."},
    FieldSpec{"zones", List, true, "", 1, 64, "", "Availability zones."},
    FieldSpec{"zones[].name", Name, true, "", 0, 0, "", "Name of the zone."},
    FieldSpec{"zones[].region", Name, true, "", 0, 0, "", "Region of the zone."},
    FieldSpec{"zones[].state", Choice, false, "in", 0, 0, "in|out", "Whether the zone takes new requests; out takes it out of service."},
    FieldSpec{"seats", List, true, "", 1, 10'000, "", "Entry host seats."},
    FieldSpec{"seats[].name", Name, true, "", 0, 0, "", "Name of the seat."},
    FieldSpec{"seats[].zone", Name, true, "", 0, 0, "", "Zone of the seat."},
    FieldSpec{"seats[].peer", Address, true, "", 0, 0, "", "Peer address of the entry host in this seat."},
    FieldSpec{"systems", List, true, "", 1, 1'000, "", "Systems that callers may send requests to."},
    FieldSpec{"systems[].name", Name, true, "", 0, 0, "", "Name of the system."},
    FieldSpec{"systems[].policy",
              Choice,
              true,
              "",
              0,
              0,
              "latency|coverage",
              "Respond at the soft deadline with the coverage reached, or wait until the hard deadline."},
    FieldSpec{"systems[].soft_deadline",
              Duration,
              true,
              "",
              1,
              60'000,
              "",
              "Time after which the latency policy responds with the coverage reached."},
    FieldSpec{"systems[].hard_deadline",
              Duration,
              true,
              "",
              1,
              60'000,
              "",
              "Longest time that a request may take; also the default deadline."},
    FieldSpec{"systems[].minimum_coverage",
              Fraction,
              false,
              "0",
              0,
              1,
              "",
              "Lowest share of shards in a response; below it the request is refused."},
    FieldSpec{"systems[].max_in_flight",
              Integer,
              false,
              "256",
              1,
              100'000,
              "",
              "Requests of this system that one entry host processes at once."},
    FieldSpec{"systems[].hedge_budget", Fraction, false, "0.05", 0, 1, "", "Hedges as a share of all subrequests."},
    FieldSpec{"systems[].retry_budget", Fraction, false, "0.1", 0, 1, "", "Retries as a share of all subrequests."},
    FieldSpec{"systems[].slots", Integer, true, "", 1, 1'000, "", "Requests that one target processes at once."},
    FieldSpec{"systems[].connections", Integer, true, "", 1, 100'000, "", "Connections that one target accepts."},
    FieldSpec{"systems[].cold_concurrency",
              Integer,
              false,
              "1",
              1,
              1'000,
              "",
              "Requests that one target processes at once during a cold start."},
    FieldSpec{"systems[].warm_after", Integer, false, "20", 1, 100'000, "", "Successes after which a cold target is given more requests."},
    FieldSpec{"systems[].shard_map_generation", Integer, true, "", 1, 1e15, "", "Generation of the shard map."},
    FieldSpec{"systems[].shards", List, true, "", 1, 10'000, "", "Shard map: the targets of each shard."},
    FieldSpec{"systems[].shards[].shard", Integer, true, "", 0, 1e9, "", "Number of the shard."},
    FieldSpec{"systems[].shards[].targets", List, true, "", 1, 10'000, "", "Names of the targets that serve the shard."},
    FieldSpec{"targets", List, true, "", 1, 100'000, "", "Targets of all systems."},
    FieldSpec{"targets[].name", Name, true, "", 0, 0, "", "Name of the target."},
    FieldSpec{"targets[].system", Name, true, "", 0, 0, "", "System that the target serves."},
    FieldSpec{"targets[].zone", Name, true, "", 0, 0, "", "Zone of the target."},
    FieldSpec{"targets[].address", Address, true, "", 0, 0, "", "Address on which the target listens."},
};

constexpr std::array forwardSchema = {
    FieldSpec{"host", Name, true, "", 0, 0, "", "Name of this entry host, in the log and among the other hosts."},
    FieldSpec{"zone", Name, true, "", 0, 0, "", "Availability zone of this process."},
    FieldSpec{"zones", List, true, "", 1, 64, "", "Availability zones of the deployment."},
    FieldSpec{"zones[].name", Name, true, "", 0, 0, "", "Name of the zone."},
    FieldSpec{"zones[].region", Name, true, "", 0, 0, "", "Region of the zone."},
    FieldSpec{"caller_address", Address, true, "", 0, 0, "", "Address on which callers connect."},
    FieldSpec{"ready_address", Address, true, "", 0, 0, "", "Address on which the load balancer checks the readiness of this host."},
    FieldSpec{"metrics_address", Address, true, "", 0, 0, "", "Address on which metrics are served."},
    FieldSpec{"discovery_address", Address, true, "", 0, 0, "", "Address of the discovery service, which publishes routes and targets."},
    FieldSpec{"peer_address",
              Address,
              true,
              "",
              0,
              0,
              "",
              "Address for datagrams and relay requests of other hosts; all hosts use the same port."},
    FieldSpec{"seeds",
              Text,
              false,
              "",
              0,
              0,
              "",
              "Hosts contacted first to join the membership, as comma-separated IP:PORT; the port is not used."},
    FieldSpec{"peer_key", Text, true, "", 0, 0, "", "Secret shared by all hosts, which authenticates their datagrams and relay messages."},
    FieldSpec{"log_level", Choice, false, "info", 0, 0, "debug|info|warn|error", "Lowest severity that is logged."},
    FieldSpec{"log_lines_per_second",
              Integer,
              false,
              "400",
              1,
              1'000'000,
              "",
              "Log lines written per second at most; further lines are dropped and counted."},
    FieldSpec{"watch_time", Duration, false, "5s", 100, 30'000, "", "Longest time that one discovery call waits for a change."},
    FieldSpec{"shutdown_announce",
              Duration,
              false,
              "2500ms",
              0,
              60'000,
              "",
              "Time for which a shutdown still serves requests while it reports not ready."},
    FieldSpec{"shutdown_limit",
              Duration,
              false,
              "5600ms",
              10,
              600'000,
              "",
              "Time after which a shutdown completes even with requests in flight."},
    FieldSpec{"journal_lines", Integer, false, "2000", 1, 1'000'000, "", "Decision log lines kept in memory."},
    FieldSpec{"assumed_hosts",
              Integer,
              false,
              "100",
              1,
              100'000,
              "",
              "Assumed number of hosts that share the limits of the targets, until the actual number is known."},
    FieldSpec{"extra_send_ratio",
              Fraction,
              false,
              "0.1",
              0,
              1,
              "",
              "Extra sends (hedges and retries) of a service as a share of its requests."},
    FieldSpec{"extra_send_slack",
              Fraction,
              false,
              "0",
              0,
              1e6,
              "",
              "Extra sends beyond the ratio that all hosts together may make in ten seconds."},
    FieldSpec{"cold_factor", Fraction, false, "1", 0, 100, "", "Factor applied to the published request rate of a cold target."},
    FieldSpec{"cold_slack",
              Fraction,
              false,
              "0",
              0,
              1e6,
              "",
              "Requests per second beyond that rate that all hosts together may send to a cold target."},
    FieldSpec{"max_in_flight", Integer, false, "512", 1, 1'000'000, "", "Requests that this host processes at once."},
};

std::string_view typeName(FieldType type)
{
    switch (type) {
    case Text:
        return "text";
    case Name:
        return "name";
    case Integer:
        return "integer";
    case Fraction:
        return "number";
    case FieldType::Duration:
        return "duration (us, ms, s, m)";
    case Address:
        return "IP:PORT";
    case Choice:
        return "choice";
    case List:
        return "list";
    case Map:
        break;
    }
    return "map";
}

std::string rangeText(const FieldSpec &field)
{
    switch (field.type) {
    case Integer:
    case Fraction:
        return fmt::format("{} to {}", field.minimum, field.maximum);
    case List:
        return fmt::format("{} to {} entries", field.minimum, field.maximum);
    case FieldType::Duration:
        return fmt::format("{} ms to {} ms", field.minimum, field.maximum);
    case Choice: {
        std::string text(field.choices);
        for (auto bar = text.find('|'); bar != std::string::npos; bar = text.find('|', bar)) {
            text.replace(bar, 1, ", ");
        }
        return text;
    }
    default:
        return "";
    }
}

void appendTable(std::string &page, DocumentKind kind)
{
    page += "| field | type | required | default | range | meaning |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const FieldSpec &field : schemaOf(kind)) {
        page += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n",
                            field.path,
                            typeName(field.type),
                            field.required ? "yes" : "no",
                            field.defaultValue,
                            rangeText(field),
                            field.description);
    }
}

} // namespace

std::span<const FieldSpec> schemaOf(DocumentKind kind)
{
    switch (kind) {
    case DocumentKind::Settings:
        return settingsSchema;
    case DocumentKind::ForwardSettings:
        return forwardSchema;
    case DocumentKind::Environment:
        break;
    }
    return environmentSchema;
}

const FieldSpec *findField(std::span<const FieldSpec> schema, std::string_view path)
{
    for (const FieldSpec &field : schema) {
        if (field.path == path) {
            return &field;
        }
    }
    return nullptr;
}

std::string referencePage()
{
    std::string page = "# Configuration\n\nGenerated by `magnoliaspan help configuration` from the schema that settings and documents are "
                       "validated against.\n\n"
                       "## Settings of a process\n\n";
    appendTable(page, DocumentKind::Settings);
    page += "\n## Environment document\n\n";
    appendTable(page, DocumentKind::Environment);
    page += "\n## Settings of a forwarding process\n\n";
    appendTable(page, DocumentKind::ForwardSettings);
    return page;
}

} // namespace magnoliaspan
