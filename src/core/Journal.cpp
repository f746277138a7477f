/*
 * Part core: formatting and retention of decision lines.
 */
#include "core/Journal.h"

#include <cassert>
#include <fmt/format.h>

namespace magnoliaspan {

std::string_view toString(Part part)
{
    switch (part) {
    case Part::Admit:
        return "admit";
    case Part::Plan:
        return "plan";
    case Part::Route:
        return "route";
    case Part::Target:
        return "target";
    case Part::Config:
        return "config";
    case Part::Member:
        return "member";
    case Part::Zone:
        return "zone";
    case Part::Quarantine:
        return "quarantine";
    case Part::Submit:
        return "submit";
    case Part::Peer:
        return "peer";
    case Part::Shutdown:
        return "shutdown";
    case Part::Pause:
        break;
    }
    return "pause";
}

Journal::Journal(const Clock &clock, Sink sink, std::size_t capacity)
    : clock_(clock)
    , sink_(std::move(sink))
    , capacity_(capacity)
    , start_(clock.now())
{
    assert(capacity > 0 && "the journal needs room for one line");
}

void Journal::note(Part part, std::string_view requestId, std::string_view text)
{
    const auto elapsed = std::chrono::duration<double, std::milli>(clock_.now() - start_).count();
    std::string line = requestId.empty() ? fmt::format("{}: {} at={:.3f}ms", toString(part), text, elapsed)
                                         : fmt::format("{}: {} request={} at={:.3f}ms", toString(part), text, requestId, elapsed);
    if (sink_) {
        sink_(line);
    }
    if (entries_.size() == capacity_) {
        entries_.pop_front();
    }
    entries_.push_back({std::string(requestId), std::move(line)});
}

std::vector<std::string> Journal::explain(std::string_view requestId) const
{
    std::vector<std::string> lines;
    for (const Entry &entry : entries_) {
        if (entry.requestId != requestId) {
            continue;
        }
        lines.push_back(entry.line);
    }
    return lines;
}

} // namespace magnoliaspan
