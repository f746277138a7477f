/*
 * Part forward: one start of a target as seen from this host, and the connections to it.
 *
 * A replica learns from traffic alone: latency from whole answers, failures
 * from exchanges without one, and whether it can be reached from its connects.
 */
#pragma once

#include "control/ConcurrencyLimit.h"
#include "discovery/TargetEntry.h"
#include "forward/AttemptQueue.h"
#include "forward/ForwardEnvironment.h"
#include "forward/LatencyEstimate.h"
#include "forward/ReplicaHealth.h"
#include "forward/ReplicaScore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace magnoliaspan {

/// How a send ended.
enum class AttemptOutcome {
    Answered,           ///< A whole answer of the right target to this request, good or not.
    NotRun,             ///< The target says that it did not run it.
    OtherTarget,        ///< Another target has the address; it did not run it.
    NeverSent,          ///< No byte left this host.
    ConnectionRejected, ///< A new connection was reset before the target can have read the request; a guess, not a promise.
    Lost,               ///< It may have run: no whole answer, or bytes that are none.
};

/// \returns the name used in logs and metrics.
std::string_view toString(AttemptOutcome outcome);

/// \brief The end of a send.
struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::NeverSent;
    TargetResponse response; ///< Set for Answered and NotRun.
    Duration elapsed{};
};

/// \brief One request to one replica.
struct AttemptOptions {
    const ForwardRequest *request = nullptr;    ///< Outlives the send.
    std::string workKind;                       ///< Requests of one kind take about the same time.
    TimePoint goal;                             ///< When the answer loses most of its use.
    TimePoint deadline;                         ///< When the target is to stop work.
    bool idempotent = true;                     ///< Whether it may run again; if not, no connection that idled long is used.
    std::function<void(AttemptResult)> handler; ///< Called once, never from inside send(), unless the send is dropped.
};

/// \brief Bounds of this host's use of a replica.
struct ReplicaLimits {
    unsigned connections = 1; ///< This host's share.
    ColdLimits cold;
    bool otherRegion = false;
};

/// \brief Connections, load and beliefs of one target's start.
class Replica
{
public:
    Replica(const ForwardEnvironment &environment, TargetEntry entry, const ReplicaLimits &limits);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    const TargetEntry &entry() const;
    const ReplicaLimits &limits() const;
    void setLimits(const ReplicaLimits &limits);

    /// \brief Takes over a changed entry of the same start.
    void updateEntry(const TargetEntry &entry);

    /// \brief Tells that the target may have turned cold without saying so.
    void suspectCold();

    /// \returns whether it is, or may be, cold.
    bool isCold() const;

    /// \brief Takes leave to send one request to a cold replica. \returns false when its share is used up.
    bool tryAcquireColdSend();

    /// \brief Ends this start: it is gone, or its address belongs to another target. Sends that wait end as never sent.
    void retire();
    bool isRetired() const;

    /// \returns whether connects failed just now, so that sending there is no use before reachableAgainAt().
    bool isUnreachable() const;
    TimePoint unreachableUntil() const;

    /// \returns what replicaScore() needs to know.
    ReplicaStats stats(const std::string &workKind, const LatencyBaseline &baseline) const;

    Duration expectedLatency(const std::string &workKind, const LatencyBaseline &baseline) const;

    /// \returns when a send that joined the queue now would end, if the queue goes on at its present pace.
    TimePoint predictedCompletion(const std::string &workKind, const LatencyBaseline &baseline) const;

    /// \brief Sends \p order on an idle or new connection, or queues it until one is free.
    AttemptId send(AttemptOptions options);

    /// \returns whether the send still waits for a connection, so that no byte of it has left this host.
    /// A send that has ended does not wait, also while its handler is yet to be called.
    bool isQueued(AttemptId attempt) const;

    /// \brief Drops a send at once; its connection is closed if it carries it.
    void cancel(AttemptId attempt);

    /// \brief Nobody waits for this send any more: it runs on until \p until, so that its connection can be kept.
    void detach(AttemptId attempt, TimePoint until);

    /// \returns sends that run, wait or were released.
    std::size_t attemptCount() const;
    std::size_t connectionCount() const;

    /// \brief Closes connections that idled for long.
    void runMaintenance();

private:
    enum class ConnectionId : std::uint64_t { None = 0 };

    struct Attempt {
        AttemptOptions options;
        TimePoint queuedAt;
        std::optional<TimePoint> sentAt;
        bool unloaded = false;                        // Whether no other send of this host ran when it was sent.
        ConnectionId connection = ConnectionId::None; // None while it waits for one.
        TimerId timer = TimerId::None;                // Ends a released send.
    };

    struct PooledConnection {
        std::unique_ptr<Connection> connection;
        bool connecting = true;
        AttemptId attempt = AttemptId::None; // The one that it carries, or is opened for.
        TimePoint openedAt;
        Duration connectDuration{}; // Once it stands.
        bool fresh = true;          // Whether no answer ever came on it.
        TimePoint idleSince;
        Duration keepAlive;
        TimerId timer = TimerId::None; // Bounds the time to connect.
    };

    ConnectionId findIdleConnection(bool idempotent) const;
    void openConnection();
    void onConnected(ConnectionId id, std::error_code error);
    void startAttempt(ConnectionId id, AttemptId attempt);
    void onReply(ConnectionId id, WireReply reply);
    unsigned busyConnections() const;
    void recordLatency(const Attempt &attempt, Duration elapsed);
    void classifyReply(Attempt &attempt, AttemptResult &result, WireReply reply);
    void onConnectionIdle(ConnectionId id);
    void onClosed(ConnectionId id);
    void closeConnection(ConnectionId id);
    void freeConnectionSlot();
    bool canOpenConnection() const;
    bool canStartAttempt() const;
    void expireQueued();
    void startNextQueued(ConnectionId id);
    bool allQueuedIdempotent() const;
    void failQueued();
    void onConnectionRejected();
    void serveQueue();
    void finish(AttemptId id, AttemptResult result);
    void recordFailure(std::string_view cause);

    const ForwardEnvironment &environment_;
    TargetEntry entry_;
    ReplicaLimits limits_;
    ReplicaHealth health_;
    std::map<std::string, LatencyEstimate> latency_;         // By kind of work.
    std::map<std::string, LatencyEstimate> unloadedLatency_; // The same, of sends that had the replica to themselves.
    std::map<AttemptId, Attempt> attempts_;
    std::map<ConnectionId, PooledConnection> connections_;
    AttemptQueue queue_; // Invariant: sends without a connection.
    ConcurrencyLimit concurrency_;
    std::uint64_t lastAttempt_ = 0;
    std::uint64_t lastConnection_ = 0;
    unsigned allowedConnections_; // Grows with each new connection that works, shrinks when one is turned away.
    bool retired_ = false;
    TimePoint connectBackoffUntil_{};    // The target has as many connections as it takes.
    unsigned consecutiveRejections_ = 0; // New connections that it reset, in a row.
    std::shared_ptr<int> lifetimeToken_; // Handlers hold it weakly, so that none outlives the replica.
};

} // namespace magnoliaspan
