/*
 * Part control: the life of one target as its entry host believes it.
 * The transition table is in the source file, which compiles as C++17.
 */
#pragma once

#include <memory>
#include <string_view>

namespace magnoliaspan {

/// What an entry host believes of a target.
enum class TargetState {
    Unknown, ///< Never answered, or may have restarted: treated as cold.
    Cold,    ///< In a cold start: bears its cold concurrency only.
    Warming, ///< Past the cold start: its share grows with each success.
    Warm,    ///< Bears its full share.
    Leaving, ///< Takes no new work.
    Lost,    ///< Does not accept connections.
};

/// What an entry host learns of a target.
enum class TargetEvent {
    ReportedWarm,     ///< An answer to real work said warm.
    ReportedCold,     ///< An answer said cold.
    BootIdChanged,    ///< An answer carried another boot id.
    ConnectionLost,   ///< A connection ended that this host did not close.
    ConnectFailed,    ///< No connection could be opened.
    Connected,        ///< A connection was opened.
    ReportedLeaving,  ///< An answer or the membership list said leaving.
    Returned,         ///< A newer reading shows that it is back after leaving.
    ColdStartEnded,   ///< Enough successes since the cold start began.
    FullShareReached, ///< The growing share reached its bound.
};

/// \returns the name used in logs and reports.
std::string_view toString(TargetState state);

/// \brief State machine of one target.
class TargetStateMachine
{
public:
    TargetStateMachine();
    ~TargetStateMachine();
    TargetStateMachine(TargetStateMachine &&) noexcept;
    TargetStateMachine &operator=(TargetStateMachine &&) noexcept;

    TargetState state() const;

    /// \brief Applies \p event.
    /// \returns true when the state changed.
    bool process(TargetEvent event);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnoliaspan
