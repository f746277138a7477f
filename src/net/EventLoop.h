/*
 * Event loop of a process; its interface does not depend on the I/O library.
 */
#pragma once

#include "core/Clock.h"
#include "core/Scheduler.h"

#include <functional>
#include <memory>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace magnoliaspan {

/// \brief Runs timers, signal handlers and I/O handlers on one thread.
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

    /// \brief Calls \p handler with the reason of each exception that a handler of the loop lets out.
    void onException(std::function<void(std::string_view reason)> handler);

    /// \brief Runs handlers until stop(), also while none is pending.
    /// An exception of a handler leaves run() only if onException() was not called; what the handler had yet to do stays undone.
    void run();

    /// \brief Makes run() return after the current handler.
    void stop();

    /// \returns the context of the I/O library, for the other classes of this module.
    boost::asio::io_context &context();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnoliaspan
