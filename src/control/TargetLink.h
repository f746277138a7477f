/*
 * Connections of this entry host to one target and the state it observes of
 * that target. Entry hosts of other zones are reached through links as well.
 *
 * A connection is verified once a response shows that it leads to the same
 * target instance, which is known not to be cold. Requests on connections that
 * are not verified stay within the cold share, since a target that restarted
 * unnoticed can only be reached through a new connection.
 */
#pragma once

#include "control/ConcurrencyLimit.h"
#include "control/LinkEnvironment.h"
#include "control/LinkLimits.h"
#include "control/TargetStateMachine.h"
#include "request/ShardMessages.h"
#include "transport/Connection.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnoliaspan {

/// Requirement of an exchange on its connection.
enum class ConnectionNeed {
    Any,               ///< Idempotent work: any usable connection.
    NewOrJustVerified, ///< Non-idempotent work: a connection that is new or was verified immediately before.
    New,               ///< A new connection, since the open ones may be silent.
};

/// Identifies an exchange within one link; zero means none.
enum class ExchangeId : std::uint64_t { None = 0 };

/// \brief Permit to send one subrequest now.
struct SendPermit {
    TimePoint deadline; ///< Latest deadline that the subrequest may have.
    bool cold = false;  ///< Counts against the cold share.
    ConnectionNeed need = ConnectionNeed::Any;
};

/// \brief Result of a subrequest.
struct LinkReply {
    std::error_code error;           ///< Set when there is no valid response.
    bool bytesSent = false;          ///< Whether any byte of the request may have reached the target.
    std::optional<ShardReply> reply; ///< The response; its request id and shard match the request.
    std::string bootId = {};         ///< Last known boot id of the target at the end of the exchange.

    /// \returns whether the work was run, as far as known.
    Verdict verdict() const;
};

/// \brief A subrequest to send over a link.
struct LinkRequest {
    WireRequest wire;
    std::string requestId;  ///< The response must repeat it.
    std::int64_t shard = 0; ///< The response must repeat it.
    TimePoint deadline;     ///< As sent to the target.
    TimePoint silentAfter;  ///< When a connection without a response counts as silent; not before the deadline where slow work is possible.
    std::function<void(LinkReply)> handler; ///< Called once unless the exchange is cancelled.
};

/// \brief Address of a link.
struct LinkAddress {
    std::string name; ///< Of the target or seat.
    std::string zone;
    Endpoint endpoint;
};

/// \brief Connection pool, limits and observed state of one target or peer.
class TargetLink
{
public:
    TargetLink(const LinkEnvironment &environment, LinkAddress address, const LinkLimits &limits);
    ~TargetLink();
    TargetLink(const TargetLink &) = delete;
    TargetLink &operator=(const TargetLink &) = delete;

    const LinkAddress &address() const;
    TargetState state() const;
    unsigned inFlight() const;
    unsigned openConnections() const;
    const std::vector<std::int64_t> &snapshots() const;
    const std::string &bootId() const;
    /// \returns the exponentially weighted mean latency, zero before the first response.
    /// It decreases with the time since its last update, so that a replica that was slow is tried again.
    Duration meanLatency() const;
    unsigned concurrencyLimit() const;

    /// \returns the instant of the last response, if any.
    std::optional<TimePoint> lastResponseAt() const;

    void setLimits(const LinkLimits &limits);

    /// \returns a permit to send a request with \p deadline now, or nothing when the limits do not allow it.
    std::optional<SendPermit> permitFor(ConnectionNeed need, TimePoint deadline) const;

    /// \brief Sends one subrequest with a permit obtained at the same instant.
    ExchangeId send(const SendPermit &permit, LinkRequest request);

    /// \brief Cancels an exchange; its handler is not called any more.
    /// Closes its connection, except that a request under the cold share runs to completion.
    void cancel(ExchangeId exchange);

    /// \brief Sets whether the membership list, or the peer itself, reports the target as leaving.
    void setListedLeaving(bool leaving);

    /// \brief Periodic maintenance: probes idle connections and reconnects to a lost or leaving target.
    void tick();

private:
    enum class ConnectionState { Connecting, Idle, Busy };
    enum class ConnectionId : std::uint64_t { None = 0 };

    struct RunningExchange {
        ExchangeId id = ExchangeId::None;
        LinkRequest request;
        TimePoint sentAt;
        TimerId timer = TimerId::None;
        bool cold = false;
        bool probe = false;     // A status probe, not a subrequest.
        bool verifying = false; // A status request that verifies the connection is in flight, before the subrequest is sent.
        ConnectionNeed need = ConnectionNeed::Any;
    };

    struct LinkConnection {
        std::unique_ptr<Connection> connection;
        ConnectionState state = ConnectionState::Connecting;
        TimePoint connectedAt;
        TimePoint lastResponseAt; // To a subrequest or to a probe.
        bool verified = false;
        std::optional<RunningExchange> exchange; // Set while Busy, and while Connecting for an exchange.
    };

    struct ConnectionChoice {
        ConnectionId existing = ConnectionId::None; // None opens a new connection.
        bool verified = false;
    };

    std::optional<ConnectionChoice> selectConnection(ConnectionNeed need) const;
    unsigned inFlightLimit(unsigned coldPermits) const;
    unsigned coldInFlight() const;
    ConnectionId openConnection(std::optional<RunningExchange> exchange);
    void onConnected(ConnectionId id, std::error_code error);
    void onConnectFailed(ConnectionId id);
    void startExchange(ConnectionId id, LinkConnection &connection);
    void onResponse(ConnectionId id, WireReply wire);
    void readResponse(ConnectionId id, const RunningExchange &exchange, std::string_view body, LinkReply &result);
    void onIdleClosed(ConnectionId id);
    void onTimeout(ConnectionId id);
    void closeConnection(ConnectionId id);
    void onConnectionLost();
    void holdColdPermit(const RunningExchange &exchange);
    void applyOutcome(const RunningExchange &exchange, const ShardReply &reply);
    void applyNotice(const RunningExchange &exchange, const TargetStatus &notice);
    void pauseSending();
    void recordLatency(Duration latency, double weight);
    void recordSuccess(const RunningExchange &exchange, const TargetStatus &notice);
    void onProbeResponse(const WireReply &wire);
    void startProbe(ConnectionId id, LinkConnection &connection);
    void closeSilentConnections(TimePoint sentAt);
    void process(TargetEvent event, std::string_view cause);
    std::function<void(WireReply)> responseHandler(ConnectionId id);

    LinkEnvironment environment_;
    LinkAddress address_;
    LinkLimits limits_;
    TargetStateMachine stateMachine_;
    ConcurrencyLimit concurrencyLimit_;
    std::map<ConnectionId, LinkConnection> connections_; // Invariant: at most limits_.connections entries.
    std::uint64_t lastConnectionId_ = 0;
    std::uint64_t lastExchangeId_ = 0;
    unsigned inFlight_ = 0;                  // Invariant: number of exchanges other than probes, on all connections.
    std::vector<TimePoint> heldColdPermits_; // Cold requests whose end at the target is unknown count as in flight until then.
    std::string bootId_;
    bool hasUnexplainedLoss_ = false; // A connection was lost and no response since shows whether the target restarted.
    std::string lastStatusBootId_;    // From the last status response.
    std::vector<std::int64_t> snapshots_;
    Duration meanLatency_{};
    TimePoint latencyUpdatedAt_{}; // Last update of meanLatency_.
    TimePoint pausedUntil_{};      // Nothing is sent before then, since the target shed or failed a request.
    Duration nextPause_;           // Doubles with each pause, until a request succeeds.
    std::optional<TimePoint> lastResponseAt_;
    TimePoint newestAnsweredSentAt_{}; // Send time of the newest answered exchange.
    unsigned successes_ = 0;           // Since the start of the last cold start.
    unsigned warmingGrowth_ = 0;       // Requests that a warming target may have in flight beyond the first.
    bool listedLeaving_ = false;
    TimePoint nextConnectAt_{};
    Duration connectBackoff_;
    std::shared_ptr<int> lifetimeToken_; // Callbacks hold it weakly and do nothing once the link is destroyed.
};

} // namespace magnoliaspan
