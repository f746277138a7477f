/*
 * Part config: the table itself and the reference page made from it.
 */
#include "config/Schema.h"

#include <array>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

using enum FieldType;

constexpr double dayInMs = 86'400'000;

constexpr std::array settingsSchema = {
    FieldSpec{"seat", Name, true, "", 0, 0, "", "Entry host seat that this process fills, as published in the environment document."},
    FieldSpec{"zone", Name, true, "", 0, 0, "", "Availability zone of this process."},
    FieldSpec{"environment", Name, true, "", 0, 0, "", "Environment that this process serves; documents of others are refused."},
    FieldSpec{"caller_address", Address, true, "", 0, 0, "", "Where callers connect."},
    FieldSpec{"peer_address", Address, true, "", 0, 0, "", "Where other entry hosts connect."},
    FieldSpec{"admin_address", Address, true, "", 0, 0, "", "Where operators and the balancer connect."},
    FieldSpec{"platform_address", Address, true, "", 0, 0, "", "The platform's configuration and membership service."},
    FieldSpec{"peer_key", Text, true, "", 0, 0, "", "Shared secret of all entry hosts of the environment, 16 characters or more."},
    FieldSpec{"log_level", Choice, false, "info", 0, 0, "debug|info|warn|error", "Least severity that is logged."},
    FieldSpec{"shutdown_announce", Duration, false, "2s", 0, 60'000, "", "Time served while already reported as not ready."},
    FieldSpec{"shutdown_limit", Duration, false, "30s", 10, 600'000, "", "Time after which a shutdown ends even with requests in flight."},
    FieldSpec{"journal_lines", Integer, false, "20000", 1, 1'000'000, "", "Decision lines kept in memory for the explain command."},
};

constexpr std::array environmentSchema = {
    FieldSpec{"environment", Name, true, "", 0, 0, "", "Name of the environment, for instance trial or production."},
    FieldSpec{"generation", Integer, true, "", 1, 1e15, "", "Order of the document; a lower one never replaces a higher one."},
    FieldSpec{"trial_digest", Text, false, "", 0, 0, "", "Digest of the trial document this one was promoted from."},
    FieldSpec{"clock_offset_bound", Duration, false, "100ms", 1, 10'000, "", "Largest difference between the clocks of two hosts."},
    FieldSpec{"cold_slice",
              Duration,
              false,
              "1s",
              100,
              60'000,
              "",
              "Turn of one seat at a cold target that bears fewer requests than there are seats."},
    FieldSpec{"key_lifetime", Duration, false, "10m", 1'000, dayInMs, "", "Time for which idempotency keys are remembered and accepted."},
    FieldSpec{"zones", List, true, "", 1, 64, "", "Availability zones."},
    FieldSpec{"zones[].name", Name, true, "", 0, 0, "", "Name of the zone."},
    FieldSpec{"zones[].region", Name, true, "", 0, 0, "", "Region of the zone."},
    FieldSpec{"zones[].state", Choice, false, "in", 0, 0, "in|out", "Whether the zone takes new work."},
    FieldSpec{"seats", List, true, "", 1, 10'000, "", "Entry host seats."},
    FieldSpec{"seats[].name", Name, true, "", 0, 0, "", "Name of the seat."},
    FieldSpec{"seats[].zone", Name, true, "", 0, 0, "", "Zone of the seat."},
    FieldSpec{"seats[].peer", Address, true, "", 0, 0, "", "Peer address of the process in this seat."},
    FieldSpec{"systems", List, true, "", 1, 1'000, "", "Systems that callers may ask."},
    FieldSpec{"systems[].name", Name, true, "", 0, 0, "", "Name of the system."},
    FieldSpec{"systems[].policy",
              Choice,
              true,
              "",
              0,
              0,
              "latency|coverage",
              "Answer at the soft deadline with what arrived, or wait to the hard one."},
    FieldSpec{"systems[].soft_deadline", Duration, true, "", 1, 60'000, "", "When the latency policy answers with the coverage reached."},
    FieldSpec{"systems[].hard_deadline", Duration, true, "", 1, 60'000, "", "Largest time a request may take; also the default deadline."},
    FieldSpec{"systems[].minimum_coverage",
              Fraction,
              false,
              "0",
              0,
              1,
              "",
              "Least share of shards in an answer; below it the request is refused."},
    FieldSpec{"systems[].max_in_flight",
              Integer,
              false,
              "256",
              1,
              100'000,
              "",
              "Requests of this system that one entry host runs at once."},
    FieldSpec{"systems[].hedge_budget", Fraction, false, "0.05", 0, 1, "", "Hedged subrequests as a share of all subrequests."},
    FieldSpec{"systems[].retry_budget", Fraction, false, "0.1", 0, 1, "", "Retried subrequests as a share of all subrequests."},
    FieldSpec{"systems[].slots", Integer, true, "", 1, 1'000, "", "Requests that one target works on at once."},
    FieldSpec{"systems[].connections", Integer, true, "", 1, 100'000, "", "Connections that one target accepts."},
    FieldSpec{"systems[].cold_concurrency", Integer, false, "1", 1, 1'000, "", "Requests that a target bears at once during a cold start."},
    FieldSpec{"systems[].warm_after", Integer, false, "20", 1, 100'000, "", "Successes after which a cold target is given more."},
    FieldSpec{"systems[].shard_map_generation", Integer, true, "", 1, 1e15, "", "Generation of the shard map."},
    FieldSpec{"systems[].shards", List, true, "", 1, 10'000, "", "The shard map."},
    FieldSpec{"systems[].shards[].shard", Integer, true, "", 0, 1e9, "", "Number of the shard."},
    FieldSpec{"systems[].shards[].targets", List, true, "", 1, 10'000, "", "Names of the targets that serve the shard."},
    FieldSpec{"targets", List, true, "", 1, 100'000, "", "Targets of all systems."},
    FieldSpec{"targets[].name", Name, true, "", 0, 0, "", "Name of the target."},
    FieldSpec{"targets[].system", Name, true, "", 0, 0, "", "System that the target serves."},
    FieldSpec{"targets[].zone", Name, true, "", 0, 0, "", "Zone of the target."},
    FieldSpec{"targets[].address", Address, true, "", 0, 0, "", "Where the target listens."},
};

constexpr std::array forwardSchema = {
    FieldSpec{"host", Name, true, "", 0, 0, "", "Name of this entry host, for the log."},
    FieldSpec{"zone", Name, true, "", 0, 0, "", "Availability zone of this process."},
    FieldSpec{"zones", List, true, "", 1, 64, "", "Availability zones of the deployment."},
    FieldSpec{"zones[].name", Name, true, "", 0, 0, "", "Name of the zone."},
    FieldSpec{"zones[].region", Name, true, "", 0, 0, "", "Region of the zone."},
    FieldSpec{"caller_address", Address, true, "", 0, 0, "", "Where callers connect."},
    FieldSpec{"ready_address", Address, true, "", 0, 0, "", "Where the balancer asks whether this host takes callers."},
    FieldSpec{"metrics_address", Address, true, "", 0, 0, "", "Where metrics are served."},
    FieldSpec{"discovery_address", Address, true, "", 0, 0, "", "Where routes and targets are published."},
    FieldSpec{"peer_address", Address, true, "", 0, 0, "", "Where this host takes datagrams of others; all use the same port."},
    FieldSpec{"seeds", Text, false, "", 0, 0, "", "Hosts to meet first, as IP:PORT with commas between; the port is not used."},
    FieldSpec{"peer_key", Text, true, "", 0, 0, "", "Key shared by all hosts, by which they know each other's datagrams."},
    FieldSpec{"log_level", Choice, false, "info", 0, 0, "debug|info|warn|error", "Least severity that is logged."},
    FieldSpec{"log_lines_per_second", Integer, false, "400", 1, 1'000'000, "", "Log lines written at most; others are counted."},
    FieldSpec{"watch_time", Duration, false, "5s", 100, 30'000, "", "Longest time that one call waits for what is published to change."},
    FieldSpec{"shutdown_announce", Duration, false, "2500ms", 0, 60'000, "", "Time served while already reported as not ready."},
    FieldSpec{"shutdown_limit",
              Duration,
              false,
              "5600ms",
              10,
              600'000,
              "",
              "Time after which a shutdown ends even with requests in flight."},
    FieldSpec{"journal_lines", Integer, false, "2000", 1, 1'000'000, "", "Decision lines kept in memory."},
    FieldSpec{"assumed_hosts", Integer, false, "100", 1, 100'000, "", "Hosts taken to share the bounds of targets until they are known."},
    FieldSpec{"extra_send_ratio", Fraction, false, "0.1", 0, 1, "", "Sends beyond the first to a service, as a share of its requests."},
    FieldSpec{"extra_send_slack", Fraction, false, "0", 0, 1e6, "", "Extra sends beyond the ratio that all hosts may make in ten seconds."},
    FieldSpec{"cold_factor", Fraction, false, "1", 0, 100, "", "How far the published request rate of a cold target may be exceeded."},
    FieldSpec{"cold_slack", Fraction, false, "0", 0, 1e6, "", "Requests a second beyond that at a cold target, from all hosts."},
    FieldSpec{"max_in_flight", Integer, false, "512", 1, 1'000'000, "", "Requests that this host runs at once."},
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
    std::string page = "# Configuration\n\nMade by `magnoliaspan help configuration` from the table that drives the checks.\n\n"
                       "## Settings of a process\n\n";
    appendTable(page, DocumentKind::Settings);
    page += "\n## Environment document\n\n";
    appendTable(page, DocumentKind::Environment);
    page += "\n## Settings of a forwarding process\n\n";
    appendTable(page, DocumentKind::ForwardSettings);
    return page;
}

} // namespace magnoliaspan
