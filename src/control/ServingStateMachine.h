/*
 * Part control: the stages of a process from start to exit.
 * The transition table is in the source file, which compiles as C++17.
 */
#pragma once

#include <memory>
#include <string_view>

namespace magnoliaspan {

/// Stage of the process's life.
enum class ServingStage {
    Starting,   ///< Has no accepted configuration yet.
    Serving,    ///< Ready.
    Announcing, ///< Reported as not ready, still serving.
    Draining,   ///< Takes no new requests; those in flight end.
    Stopped,    ///< May exit.
};

/// What moves the stage.
enum class ServingEvent { ConfigurationAccepted, StopRequested, AnnouncementElapsed, LastRequestCompleted, ShutdownLimitReached };

/// \returns the name used in logs and reports.
std::string_view toString(ServingStage stage);

/// \brief State machine of the process.
class ServingStateMachine
{
public:
    ServingStateMachine();
    ~ServingStateMachine();

    ServingStage stage() const;

    /// \brief Applies \p event. \returns true when the stage changed.
    bool process(ServingEvent event);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnoliaspan
