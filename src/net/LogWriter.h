/*
 * Part net: writes log lines to standard output without ever waiting for its reader.
 */
#pragma once

#include "core/Clock.h"
#include "core/Scheduler.h"

#include <cstdint>
#include <memory>
#include <string>

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace magnoliaspan {

/// \brief An spdlog sink that gathers lines and writes them when the descriptor takes them.
/// Lines beyond the rate or the buffer are left out and counted; the count is written as soon as there is room.
class LogWriter : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    /// \param descriptor to write to; made non-blocking.
    /// \param linesPerSecond written at most, averaged over a second.
    LogWriter(const Clock &clock, Scheduler &scheduler, int descriptor, std::size_t linesPerSecond);
    ~LogWriter() override;

    /// \returns lines left out so far.
    std::uint64_t dropped() const;

protected:
    void sink_it_(const spdlog::details::log_msg &message) override; // NOLINT(readability-identifier-naming): spdlog's name
    void flush_() override;                                          // NOLINT(readability-identifier-naming): spdlog's name

private:
    bool tryAcquireLine();
    void scheduleWrite();
    void write();

    const Clock &clock_;
    Scheduler &scheduler_;
    int descriptor_;
    double rate_;
    double tokens_; // Invariant: from 0 to rate_.
    TimePoint tokensUpdatedAt_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reportedDropped_ = 0; // Of dropped_, those that a line has told of.
    TimerId timer_ = TimerId::None;
};

} // namespace magnoliaspan
