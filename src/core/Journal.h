/*
 * Part core: the record of routing, placement and state decisions.
 * Each decision is one line: a fixed prefix for its part, the request it
 * concerns, and key=value fields. The newest lines stay in a bounded ring for
 * the explain command.
 */
#pragma once

#include "core/Clock.h"

#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspan {

/// The part of the program that takes a decision; gives the log line its prefix.
enum class LogCategory { Admit, Plan, Route, Target, Config, Member, Zone, Quarantine, Submit, Peer, Shutdown, Pause };

/// \returns the fixed log prefix of \p part.
std::string_view toString(LogCategory category);

/// \brief Collects decision lines and hands each to a sink.
class Journal
{
public:
    using Sink = std::function<void(std::string_view line)>;

    /// \param capacity lines kept for explain(); at least one.
    Journal(const Clock &clock, Sink sink, std::size_t capacity);

    /// \brief Records one decision. \p requestId is empty for decisions that concern no request.
    void record(LogCategory category, std::string_view requestId, std::string_view text);

    /// \returns the lines kept for \p requestId, oldest first.
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
    TimePoint start_;
};

} // namespace magnoliaspan
