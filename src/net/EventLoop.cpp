/*
 * Part net: the event loop over Boost.Asio.
 */
#include "net/EventLoop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <unordered_map>

namespace magnoliaspan {

namespace asio = boost::asio;

class EventLoop::Impl
{
public:
    explicit Impl(const Clock &clock)
        : clock(clock)
        , signals(context)
        , reloads(context)
    {
    }

    void waitForSignal()
    {
        signals.async_wait([this](boost::system::error_code error, int) {
            if (error) {
                return;
            }
            stopSignal();
            waitForSignal();
        });
    }

    void waitForReload()
    {
        reloads.async_wait([this](boost::system::error_code error, int) {
            if (error) {
                return;
            }
            reloadSignal();
            waitForReload();
        });
    }

    const Clock &clock;
    asio::io_context context{1};
    asio::signal_set signals;
    asio::signal_set reloads;
    std::function<void()> stopSignal;
    std::function<void()> reloadSignal;
    std::unordered_map<std::uint64_t, std::unique_ptr<asio::steady_timer>> timers;
    std::uint64_t lastTimer = 0;
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
    impl_->stopSignal = std::move(handler);
    impl_->signals.add(SIGTERM);
    impl_->signals.add(SIGINT);
    impl_->waitForSignal();
}

void EventLoop::onReloadSignal(std::function<void()> handler)
{
    impl_->reloadSignal = std::move(handler);
    impl_->reloads.add(SIGHUP);
    impl_->waitForReload();
}

void EventLoop::run()
{
    const auto keepRunning = asio::make_work_guard(impl_->context);
    impl_->context.restart();
    impl_->context.run();
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
