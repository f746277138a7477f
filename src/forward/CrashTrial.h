/*
 * Token of an attempt of a suspect request.
 */
#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace magnoliaspan {

/// \brief Trials of one request that have not ended.
struct RunningTrials {
    unsigned count = 0;
};

/// \brief Counts as a running trial until it ends.
class CrashTrial
{
public:
    /// \param running counts this trial; may be destroyed before the trial ends.
    /// \param ended called once, when the trial ends.
    CrashTrial(const std::shared_ptr<RunningTrials> &running, std::function<void()> ended)
        : running_(running)
        , ended_(std::move(ended))
    {
        ++running->count;
    }

    ~CrashTrial()
    {
        end();
    }

    CrashTrial(const CrashTrial &) = delete;
    CrashTrial &operator=(const CrashTrial &) = delete;

    /// \brief Ends the trial, also if its attempt goes on; what becomes of that is recorded all the same.
    void end()
    {
        const auto ended = std::exchange(ended_, nullptr);
        if (!ended) {
            return;
        }
        if (const auto running = running_.lock()) {
            --running->count;
        }
        ended();
    }

private:
    std::weak_ptr<RunningTrials> running_;
    std::function<void()> ended_; // Empty once the trial has ended.
};

} // namespace magnoliaspan
