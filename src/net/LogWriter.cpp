/*
 * Rate limit and buffer of log lines.
 */
#include "net/LogWriter.h"

#include "core/Text.h"

#include <algorithm>
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace magnoliaspan {

namespace {

// Lines are written in batches, to save system calls; largest delay of a line.
constexpr Duration writeInterval = std::chrono::milliseconds(100);
// In bytes: long lines of one second at the default rate.
constexpr std::size_t maxBuffered = 262'144;

} // namespace

LogWriter::LogWriter(const Clock &clock, Scheduler &scheduler, int descriptor, std::size_t linesPerSecond)
    : clock_(clock)
    , scheduler_(scheduler)
    , descriptor_(descriptor)
    , rate_(static_cast<double>(linesPerSecond))
    , tokens_(rate_)
    , tokensUpdatedAt_(clock.now())
{
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

LogWriter::~LogWriter()
{
    scheduler_.cancel(timer_);
    write();
}

std::uint64_t LogWriter::dropped() const
{
    return dropped_;
}

bool LogWriter::tryAcquireLine()
{
    const TimePoint now = clock_.now();
    tokens_ = std::min(rate_, tokens_ + rate_ * std::chrono::duration<double>(now - tokensUpdatedAt_).count());
    tokensUpdatedAt_ = now;
    if (tokens_ < 1 || buffer_.size() >= maxBuffered) {
        ++dropped_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

void LogWriter::sink_it_(const spdlog::details::log_msg &message)
{
    // Warnings and errors are rare; they are exempt from the rate limit, but not from the buffer size.
    if (!tryAcquireLine() && (message.level < spdlog::level::warn || buffer_.size() >= maxBuffered)) {
        return;
    }
    if (dropped_ > reportedDropped_) {
        buffer_
            += fmt::format("log: lines dropped by rate limit or full buffer count={} in_all={}\n", dropped_ - reportedDropped_, dropped_);
        reportedDropped_ = dropped_;
    }
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    constexpr char lineEnd = '\n';
    buffer_ += escapeForLog(std::string(line.data(), line.size() - 1));
    buffer_ += lineEnd;
    scheduleWrite();
}

void LogWriter::flush_()
{
    write();
}

void LogWriter::scheduleWrite()
{
    if (timer_ != TimerId::None) {
        return;
    }
    timer_ = scheduler_.callAt(clock_.now() + writeInterval, [this] {
        timer_ = TimerId::None;
        write();
        if (!buffer_.empty()) {
            scheduleWrite();
        }
    });
}

void LogWriter::write()
{
    while (!buffer_.empty()) {
        const auto written = ::write(descriptor_, buffer_.data(), buffer_.size());
        if (written <= 0) {
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace magnoliaspan
