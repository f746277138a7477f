/*
 * State machine of one target, as observed by an entry host.
 * The transition table is in the source file, which is compiled as C++17.
 */
#pragma once

#include <memory>
#include <string_view>

namespace magnoliaspan {

/// Last observed state of a target.
enum class TargetState {
    Unknown, ///< Has not responded yet, or may have restarted: treated as cold.
    Cold,    ///< In a cold start: limited to its cold concurrency.
    Warming, ///< After the cold start: its limit grows with each success.
    Warm,    ///< Takes its full share.
    Leaving, ///< Takes no new requests.
    Lost,    ///< Does not accept connections.
};

/// Observation that may change the state.
enum class TargetEvent {
    ReportedWarm,     ///< A response to a subrequest reported warm.
    ReportedCold,     ///< A response reported cold.
    BootIdChanged,    ///< A response carried another boot id.
    ConnectionLost,   ///< A connection was closed by the other side or failed.
    ConnectFailed,    ///< No connection could be opened.
    Connected,        ///< A connection was opened.
    ReportedLeaving,  ///< A response, the membership list or a peer reported leaving.
    Returned,         ///< A later observation shows that it no longer leaves.
    ColdStartEnded,   ///< Enough successes since the start of the cold start.
    FullShareReached, ///< The growing limit reached this host's share.
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
