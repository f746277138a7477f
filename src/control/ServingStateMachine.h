/*
 * State machine of the process from start to exit.
 * The transition table is in the source file, which is compiled as C++17.
 */
#pragma once

#include <memory>
#include <string_view>

namespace magnoliaspan {

/// Stage of the process.
enum class ServingStage {
    Starting,   ///< No configuration has been accepted yet.
    Serving,    ///< Ready.
    Announcing, ///< Reports that it is not ready, but still serves requests.
    Draining,   ///< Accepts no new requests; those in flight complete.
    Stopped,    ///< May exit.
};

/// Event that may change the stage.
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

    /// \brief Applies \p event.
    /// \returns true when the stage changed.
    bool process(ServingEvent event);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnoliaspan
