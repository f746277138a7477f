/*
 * Part net: the one event loop of a process, without its I/O library in sight.
 */
#pragma once

#include "core/Clock.h"
#include "core/Scheduler.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace magnoliaspan {

/// \brief Runs timers and I/O handlers on one thread.
class EventLoop : public Scheduler
{
public:
    explicit EventLoop(const Clock &clock);
    ~EventLoop() override;

    TimerId callAt(TimePoint instant, std::function<void()> handler) override;
    void cancel(TimerId timer) override;

    /// \brief Calls \p handler each time the process receives SIGTERM or SIGINT.
    void onStopSignal(std::function<void()> handler);

    /// \brief Calls \p handler each time the process receives SIGHUP.
    void onReloadSignal(std::function<void()> handler);

    /// \brief Runs until stop().
    void run();

    /// \brief Ends run() after the handler that runs now.
    void stop();

    /// \returns the I/O library's context, for the other classes of this part.
    boost::asio::io_context &context();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnoliaspan
