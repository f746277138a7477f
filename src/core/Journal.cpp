/*
 * Formats decision lines and keeps the newest.
 */
#include "core/Journal.h"

#include "core/Text.h"

#include <cassert>
#include <fmt/format.h>

namespace magnoliaspan {

std::string_view toString(LogCategory category)
{
    switch (category) {
    case LogCategory::Admit:
        return "admit";
    case LogCategory::Plan:
        return "plan";
    case LogCategory::Route:
        return "route";
    case LogCategory::Target:
        return "target";
    case LogCategory::Config:
        return "config";
    case LogCategory::Member:
        return "member";
    case LogCategory::Zone:
        return "zone";
    case LogCategory::Quarantine:
        return "quarantine";
    case LogCategory::Submit:
        return "submit";
    case LogCategory::Peer:
        return "peer";
    case LogCategory::Shutdown:
        return "shutdown";
    case LogCategory::Pause:
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
    assert(capacity > 0 && "the capacity of a journal must be at least one line");
}

void Journal::record(LogCategory category, std::string_view requestId, std::string_view text)
{
    const auto elapsed = std::chrono::duration<double, std::milli>(clock_.now() - start_).count();
    const std::string request = requestId.empty() ? "" : fmt::format(" request={}", toLogValue(requestId));
    std::string line = escapeForLog(fmt::format("{}: {}{} at={:.3f}ms", toString(category), text, request, elapsed));
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
