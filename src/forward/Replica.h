/*
 * Part forward: one start of a target as seen from this host, and the connections to it.
 *
 * A replica learns from traffic alone: latency from whole answers, failures
 * from exchanges without one, and whether it can be reached from its connects.
 */
#pragma once

#include "control/ConcurrencyLimit.h"
#include "discovery/TargetEntry.h"
#include "forward/ForwardEnvironment.h"
#include "forward/LatencyEstimate.h"
#include "forward/ReplicaHealth.h"
#include "forward/ReplicaScore.h"
#include "forward/SendQueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace magnoliaspan {

/// How a send ended.
enum class SendEnd {
    Answered,    ///< A whole answer of the right target to this request, good or not.
    NotRun,      ///< The target says that it did not run it.
    OtherTarget, ///< Another target has the address; it did not run it.
    NeverSent,   ///< No byte left this host.
    TurnedAway,  ///< A new connection was reset before the target can have read the request; a guess, not a promise.
    Lost,        ///< It may have run: no whole answer, or bytes that are none.
};

/// \returns the name used in logs and metrics.
std::string_view toString(SendEnd end);

/// \brief The end of a send.
struct SendResult {
    SendEnd end = SendEnd::NeverSent;
    TargetAnswer answer; ///< Set for Answered and NotRun.
    Duration elapsed{};
};

/// \brief One request to one replica.
struct SendOrder {
    const ForwardRequest *request = nullptr; ///< Outlives the send.
    std::string workKind;                    ///< Requests of one kind take about the same time.
    TimePoint goal;                          ///< When the answer loses most of its use.
    TimePoint deadline;                      ///< When the target is to stop work.
    bool repeatable = true;                  ///< Whether it may run again; if not, no connection that idled long is used.
    std::function<void(SendResult)> handler; ///< Called once, never from inside send(), unless the send is dropped.
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
    void update(const TargetEntry &entry);

    /// \brief Tells that the target may have turned cold without saying so.
    void suspectCold();

    /// \returns whether it is, or may be, cold.
    bool cold() const;

    /// \brief Takes leave to send one request to a cold replica. \returns false when its share is used up.
    bool takeColdSend();

    /// \brief Ends this start: it is gone, or its address belongs to another target. Sends that wait end as never sent.
    void end();
    bool ended() const;

    /// \returns whether connects failed just now, so that sending there is no use before reachableAgainAt().
    bool unreachable() const;
    TimePoint reachableAgainAt() const;

    /// \returns what replicaScore() needs to know.
    ReplicaView view(const std::string &workKind, const UsualLatency &usual) const;

    Duration expected(const std::string &workKind, const UsualLatency &usual) const;

    /// \returns when a send that joined the queue now would end, if the queue goes on at its present pace.
    TimePoint predictedEnd(const std::string &workKind, const UsualLatency &usual) const;

    /// \brief Sends \p order on an idle or new connection, or queues it until one is free.
    SendId send(SendOrder order);

    /// \returns whether the send still waits for a connection, so that no byte of it has left this host.
    /// A send that has ended does not wait, also while its handler is yet to be called.
    bool waiting(SendId send) const;

    /// \brief Drops a send at once; its connection is closed if it carries it.
    void abandon(SendId send);

    /// \brief Nobody waits for this send any more: it runs on until \p until, so that its connection can be kept.
    void release(SendId send, TimePoint until);

    /// \returns sends that run, wait or were released.
    std::size_t sends() const;
    std::size_t connections() const;

    /// \brief Closes connections that idled for long.
    void closeIdle();

private:
    enum class ConnectionId : std::uint64_t { None = 0 };

    struct Send {
        SendOrder order;
        TimePoint queuedAt;
        std::optional<TimePoint> sentAt;
        bool alone = false;                           // Whether no other send of this host ran when it was sent.
        ConnectionId connection = ConnectionId::None; // None while it waits for one.
        TimerId timer = TimerId::None;                // Ends a released send.
    };

    struct PooledConnection {
        std::unique_ptr<Connection> connection;
        bool connecting = true;
        SendId send = SendId::None; // The one that it carries, or is opened for.
        TimePoint openedAt;
        Duration connectTook{}; // Once it stands.
        bool fresh = true;      // Whether no answer ever came on it.
        TimePoint idleSince;
        Duration keepAlive;
        TimerId timer = TimerId::None; // Bounds the time to connect.
    };

    ConnectionId idleConnection(bool repeatable) const;
    void open();
    void connected(ConnectionId id, std::error_code error);
    void start(ConnectionId id, SendId send);
    void replied(ConnectionId id, WireReply reply);
    unsigned busyConnections() const;
    void learnLatency(const Send &send, Duration elapsed);
    void judge(Send &send, SendResult &result, WireReply reply);
    void connectionFree(ConnectionId id);
    void closed(ConnectionId id);
    void close(ConnectionId id);
    void makeRoom();
    bool mayOpen() const;
    bool mayStart() const;
    void expireQueued();
    void startQueued(ConnectionId id);
    bool allQueuedRepeatable() const;
    void failQueued();
    void turnedAway();
    void serveQueue();
    void finish(SendId id, SendResult result);
    void failed(std::string_view cause);

    const ForwardEnvironment &environment_;
    TargetEntry entry_;
    ReplicaLimits limits_;
    ReplicaHealth health_;
    std::map<std::string, LatencyEstimate> latency_;  // By kind of work.
    std::map<std::string, LatencyEstimate> unloaded_; // The same, of sends that had the replica to themselves.
    std::map<SendId, Send> sends_;
    std::map<ConnectionId, PooledConnection> connections_;
    SendQueue queue_; // Invariant: sends without a connection.
    ConcurrencyLimit concurrency_;
    std::uint64_t lastSend_ = 0;
    std::uint64_t lastLine_ = 0;
    unsigned allowedConnections_; // Grows with each new connection that works, shrinks when one is turned away.
    bool ended_ = false;
    TimePoint noConnectsUntil_{}; // The target has as many connections as it takes.
    unsigned turnedAway_ = 0;     // New connections that it reset, in a row.
    std::shared_ptr<int> alive_;  // Handlers hold it weakly, so that none outlives the replica.
};

} // namespace magnoliaspan
