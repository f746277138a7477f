/*
 * Log of routing, placement and state decisions.
 * Each decision is one line: the prefix of its category, a text with key=value
 * fields and the id of the request it concerns. The newest lines are kept in a
 * bounded buffer for the explain command.
 */
#pragma once

#include "core/Clock.h"

#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan {

/// Component that takes a decision; determines the prefix of the log line.
enum class LogCategory { Admit, Plan, Route, Target, Config, Member, Zone, Quarantine, Submit, Peer, Shutdown, Pause };

/// \returns the log prefix of \p category.
std::string_view toString(LogCategory category);

/// \brief Formats decision lines, passes each to a sink and keeps the newest.
class Journal
{
public:
    using Sink = std::function<void(std::string_view line)>;

    /// \param sink receives each line; may be empty.
    /// \param capacity number of lines kept for explain(); at least one.
    Journal(const Clock &clock, Sink sink, std::size_t capacity);

    /// \brief Records one decision.
    /// \param requestId empty if the decision concerns no single request.
    /// \param text message with key=value fields, whose values are our own words or from toLogValue().
    void record(LogCategory category, std::string_view requestId, std::string_view text);

    /// \returns the kept lines of the request \p requestId, oldest first.
    std::vector<std::string> explain(std::string_view requestId) const;

private:
    struct Entry {
        std::string requestId;
        std::string line;
    };

    const Clock &clock_;
    Sink sink_;
    std::size_t capacity_;
    std::deque<Entry> entries_; // Invariant: at most capacity_ entries, oldest first.
    TimePoint start_;           // Origin of the at= field.
};

} // namespace magnoliaspan
