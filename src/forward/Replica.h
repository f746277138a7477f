/*
 * One target instance as used by this host: its pool of connections, its queue of attempts and its health.
 *
 * All state is learned from traffic: latency from complete responses, the failure rate from exchanges without one, and
 * reachability from connects.
 */
#pragma once

#include "control/ConcurrencyLimit.h"
#include "discovery/TargetEntry.h"
#include "forward/AttemptQueue.h"
#include "forward/ForwardEnvironment.h"
#include "forward/LatencyEstimate.h"
#include "forward/ReplicaHealth.h"
#include "forward/ReplicaScore.h"
#include "forward/TargetRequestLimit.h"
#include "forward/TargetStatement.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace magnoliaspan {

/// How an attempt ended.
enum class AttemptOutcome {
    Answered,           ///< A complete response of the right target to this request, successful or not.
    NotRun,             ///< The target states that it did not run it.
    OtherTarget,        ///< Another target has the address; it did not run it.
    NeverSent,          ///< No byte left this host.
    Withheld,           ///< No byte left this host: while it was queued, the request became suspect of crashing targets, or the
                        ///< target said that it takes none.
    ConnectionRejected, ///< A new connection was reset before the target can have read the request; likely, but not certain.
    Lost,               ///< It may have run: the response is missing, incomplete or malformed.
};

/// \returns the name used in logs and metrics.
std::string_view toString(AttemptOutcome outcome);

/// \brief Result of an attempt.
struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::NeverSent;
    TargetResponse response;                            ///< Set for Answered and NotRun.
    Duration elapsed{};                                 ///< Since it was sent.
    bool hasArrived = true;                             ///< Whether the target may have read it; may be false for ConnectionRejected.
    std::optional<Duration> connectTime = std::nullopt; ///< Taken to open the connection, if it was the first attempt on it.
};

/// \brief One request to be sent to one replica.
struct AttemptOptions {
    const ForwardRequest *request = nullptr;    ///< Outlives the attempt.
    std::string workKind;                       ///< Requests of one kind have similar latencies.
    TimePoint goal;                             ///< Time of the latency goal, after which the response loses most of its use.
    TimePoint deadline;                         ///< When the target is to stop work.
    bool idempotent = true;                     ///< Whether it may run twice; if not, long-idle connections are not used.
    Fingerprint fingerprint{};                  ///< Of the request, for the crash guard; also used once nobody waits for the response.
    std::shared_ptr<CrashTrial> trial;          ///< Set if the request is suspect of crashing targets.
    std::function<void(AttemptResult)> handler; ///< Called once, never from inside send(), unless the attempt is cancelled.
};

/// \brief Limits on this host's use of a replica.
struct ReplicaLimits {
    unsigned connections = 1; ///< This host's share.
    ColdLimits cold;
    bool otherRegion = false;
    double trafficShare = 1; ///< This host's share of the requests of all hosts, 0 to 1; it gets that share of a target's limit.
};

/// \brief Sends attempts to one target instance and tracks its load, latency and health.
class Replica
{
public:
    /// \param statement of the target instance, shared by all replicas of it; not null.
    Replica(const ForwardEnvironment &environment,
            TargetEntry entry,
            const ReplicaLimits &limits,
            std::shared_ptr<TargetStatement> statement = std::make_shared<TargetStatement>());
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    const TargetEntry &entry() const;
    const ReplicaLimits &limits() const;
    void setLimits(const ReplicaLimits &limits);

    /// \brief Sets ReplicaLimits::trafficShare.
    void setTrafficShare(double share);

    /// \brief Applies a changed entry of the same target instance.
    void updateEntry(const TargetEntry &entry);

    /// \brief Treats the target as cold for its warm-up time; it may have turned cold before its entry says so.
    void suspectCold();

    /// \returns whether it is, or may be, cold.
    bool isCold() const;

    /// \brief Acquires permission to send one request to a cold replica.
    /// \returns false if this host's share is used up.
    bool tryAcquireColdSend();

    /// \returns when the target said in a response that it leaves; nothing if it did not.
    std::optional<TimePoint> saidLeavingAt() const;

    /// \returns until when the target wants no requests from this host; in the past if it takes them.
    TimePoint pausedUntil() const;
    bool isPaused() const;

    /// \returns whether the target takes a request now: it asked for no pause, and this host's part of its limit permits one.
    bool takesRequest() const;

    /// \brief Stops use of this instance: it is gone, or its address belongs to another target.
    /// Queued attempts end as NeverSent; running ones continue.
    void retire();
    bool isRetired() const;

    /// \returns whether connects failed just now, so that nothing should be sent before unreachableUntil().
    bool isUnreachable() const;
    TimePoint unreachableUntil() const;

    /// \returns the input of replicaScore().
    ReplicaStats stats(const std::string &workKind, const LatencyBaseline &baseline) const;

    Duration expectedLatency(const std::string &workKind, const LatencyBaseline &baseline) const;

    /// \returns when an attempt queued now would complete if the queue drains at its present rate.
    TimePoint predictedCompletion(const std::string &workKind, const LatencyBaseline &baseline) const;

    /// \brief Sends a request on an idle or new connection, or queues it until one is free. Uses up a permission of
    /// takesRequest().
    AttemptId send(AttemptOptions options);

    /// \returns whether the attempt still waits for a connection, so that no byte of it has left this host.
    /// False for an attempt that has ended, even if its handler has not been called yet.
    bool isQueued(AttemptId attempt) const;

    /// \returns whether a connection is being opened for each queued attempt, so that none waits for others to end.
    bool isConnectingForQueue() const;

    /// \brief Drops an attempt at once; its handler is not called, and the connection that carries it is closed.
    void cancel(AttemptId attempt);

    /// \brief Drops the handler of an attempt but lets it run until \p until, so that its connection can be kept.
    void detach(AttemptId attempt, TimePoint until);

    /// \returns whether an attempt that may run twice could be sent now without opening a connection.
    bool hasIdleConnection() const;

    /// \returns attempts that run, are queued or were detached.
    std::size_t attemptCount() const;
    std::size_t connectionCount() const;

    /// \returns the time since a response of any kind arrived.
    Duration sinceLastResponse() const;

    /// \brief Opens a connection, whatever the state of the target, unless one is being opened.
    void probe();

    /// \brief Forgets failed connects and exchanges: this host was cut off from all targets, and reaches one again.
    void onContactRegained();

    /// \brief Expires queued attempts and closes connections that have been idle for too long; to be called regularly.
    void runMaintenance();

private:
    enum class ConnectionId : std::uint64_t { None = 0 };

    struct Attempt {
        AttemptOptions options;
        TimePoint queuedAt;
        std::optional<TimePoint> sentAt;
        bool unloaded = false;                        // Whether no other attempt of this host ran when it was sent.
        ConnectionId connection = ConnectionId::None; // None while queued.
        TimerId timer = TimerId::None;                // Cancels a detached attempt.
    };

    struct PooledConnection {
        std::unique_ptr<Connection> connection;
        bool connecting = true;
        AttemptId attempt = AttemptId::None; // The one that it carries.
        TimePoint openedAt;
        Duration connectDuration{}; // Valid once connected.
        bool fresh = true;          // Whether no response has arrived on it yet.
        TimePoint idleSince;
        Duration keepAlive;            // Given by the target; zero if it gives none.
        TimerId timer = TimerId::None; // Limits the time to connect.
    };

    ConnectionId findIdleConnection(bool idempotent) const;
    void openConnection();
    void onConnected(ConnectionId id, std::error_code error);
    void startAttempt(ConnectionId id, AttemptId attempt);
    void onReply(ConnectionId id, WireReply reply);
    unsigned busyConnections() const;
    std::size_t connectingCount() const;
    void recordLatency(const Attempt &attempt, Duration elapsed);
    void applyRequestLimit(const Attempt &attempt, const TargetResponse &response);
    bool mayHaveAccepted(const PooledConnection &pooled, TimePoint sentAt) const;
    void applyStatements(const TargetResponse &response);
    void applyPause(const RequestedPause &pause);
    void withholdQueued();
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
    void notifyCrashGuard(const Attempt &attempt, const AttemptResult &result, bool responded);
    void probeAfterLoss();
    void serveQueue();
    void finish(AttemptId id, AttemptResult result);
    void endAttempt(AttemptId id, AttemptResult result);
    void recordFailure(std::string_view cause);

    const ForwardEnvironment &environment_;
    TargetEntry entry_;
    ReplicaLimits limits_;
    ReplicaHealth health_;
    std::map<std::string, LatencyEstimate> latency_;         // By kind of work.
    std::map<std::string, LatencyEstimate> unloadedLatency_; // The same, only of attempts sent while no other ran.
    std::map<AttemptId, Attempt> attempts_;
    std::map<ConnectionId, PooledConnection> connections_;
    AttemptQueue queue_; // Invariant: attempts without a connection.
    ConcurrencyLimit concurrency_;
    std::uint64_t lastAttempt_ = 0;
    std::uint64_t lastConnection_ = 0;
    unsigned allowedConnections_; // Raised by each new connection that works, lowered when one is rejected.
    bool retired_ = false;
    std::optional<TimePoint> lastLossAt_;      // Of the last exchange lost, but for those on a new connection that was reset at once.
    std::optional<TimePoint> undecidedLossAt_; // Of the last connection lost with a request on it, until a later connect succeeds or fails.
    TimePoint connectBackoffUntil_{};          // Set while the target accepts no further connections.
    unsigned consecutiveRejections_ = 0;
    TargetRequestLimit requestLimit_;
    std::shared_ptr<TargetStatement> statement_; // Invariant: not null.
    std::shared_ptr<int> lifetimeToken_;         // Callbacks hold it weakly and do nothing once the replica is destroyed.
};

} // namespace magnoliaspan
