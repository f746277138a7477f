/*
 * Writes log lines to a file descriptor without blocking.
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

/// \brief An spdlog sink that buffers lines and writes them without blocking, however slow the reader is.
/// Lines beyond the rate limit or the buffer size are dropped and counted; the count is logged before the next line that is written.
class LogWriter : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    /// \param descriptor file descriptor to write to; set to non-blocking mode.
    /// \param linesPerSecond largest rate, averaged over a second; warnings and errors are exempt.
    LogWriter(const Clock &clock, Scheduler &scheduler, int descriptor, std::size_t linesPerSecond);
    ~LogWriter() override;

    /// \returns the number of lines dropped since the start.
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
    double rate_;   // In lines per second; also the burst size.
    double tokens_; // Invariant: between 0 and rate_.
    TimePoint tokensUpdatedAt_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reportedDropped_ = 0; // Of dropped_, those that were logged.
    TimerId timer_ = TimerId::None;
};

} // namespace magnoliaspan
