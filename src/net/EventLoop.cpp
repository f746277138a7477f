/*
 * Implements the event loop with Boost.Asio.
 */
#include "net/EventLoop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <exception>
#include <initializer_list>
#include <unordered_map>

namespace magnoliaspan {

namespace asio = boost::asio;

namespace {

/// Calls a handler each time the process receives one of a set of signals.
class SignalWaiter
{
public:
    explicit SignalWaiter(asio::io_context &context)
        : signals_(context)
    {
    }

    void start(std::initializer_list<int> signals, std::function<void()> handler)
    {
        handler_ = std::move(handler);
        for (const int signal : signals) {
            signals_.add(signal);
        }
        wait();
    }

private:
    void wait()
    {
        signals_.async_wait([this](boost::system::error_code error, int) {
            if (error) {
                return;
            }
            handler_();
            wait();
        });
    }

    asio::signal_set signals_;
    std::function<void()> handler_;
};

} // namespace

class EventLoop::Impl
{
public:
    explicit Impl(const Clock &clock)
        : clock(clock)
        , stopSignals(context)
        , reloadSignals(context)
    {
    }

    const Clock &clock;
    asio::io_context context{1};
    SignalWaiter stopSignals;
    SignalWaiter reloadSignals;
    std::unordered_map<std::uint64_t, std::unique_ptr<asio::steady_timer>> timers;
    std::uint64_t lastTimer = 0;
    std::function<void(std::string_view)> exceptionHandler;
};

EventLoop::EventLoop(const Clock &clock)
    : impl_(std::make_unique<Impl>(clock))
{
}

EventLoop::~EventLoop() = default;

TimerId EventLoop::callAt(TimePoint instant, std::function<void()> handler)
{
    const std::uint64_t id = ++impl_->lastTimer;
    auto timer = std::make_unique<asio::steady_timer>(impl_->context, instant);
    timer->async_wait([impl = impl_.get(), id, handler = std::move(handler)](boost::system::error_code error) {
        if (error || impl->timers.erase(id) == 0) {
            return;
        }
        handler();
    });
    impl_->timers.emplace(id, std::move(timer));
    return TimerId{id};
}

void EventLoop::cancel(TimerId timer)
{
    impl_->timers.erase(static_cast<std::uint64_t>(timer));
}

void EventLoop::onStopSignal(std::function<void()> handler)
{
    impl_->stopSignals.start({SIGTERM, SIGINT}, std::move(handler));
}

void EventLoop::onReloadSignal(std::function<void()> handler)
{
    impl_->reloadSignals.start({SIGHUP}, std::move(handler));
}

void EventLoop::onException(std::function<void(std::string_view reason)> handler)
{
    impl_->exceptionHandler = std::move(handler);
}

void EventLoop::run()
{
    const auto keepRunning = asio::make_work_guard(impl_->context);
    impl_->context.restart();
    while (!impl_->context.stopped()) {
        try {
            impl_->context.run();
        } catch (const std::exception &error) {
            if (!impl_->exceptionHandler) {
                throw;
            }
            impl_->exceptionHandler(error.what());
        }
    }
}

void EventLoop::stop()
{
    impl_->context.stop();
}

asio::io_context &EventLoop::context()
{
    return impl_->context;
}

} // namespace magnoliaspan
