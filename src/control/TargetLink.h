/*
 * Part control: all that one entry host knows of one target, and its
 * connections to it. Other zones' entry hosts are reached by links too.
 *
 * A connection is proved once an answer shows that the same start of the
 * target, known not to be cold, is behind it. Work on connections that are not
 * proved stays within the cold share, since a target that restarted
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

/// What an exchange needs of its connection.
enum class ConnectionNeed {
    Any,               ///< Idempotent work: any usable connection.
    NewOrJustVerified, ///< Non-idempotent work: a connection that is new or is proved right before.
    New,               ///< A new connection, because those that stand may be silent.
};

/// Identifies an exchange of one link; zero names none.
enum class ExchangeId : std::uint64_t { None = 0 };

/// \brief Leave to send one subrequest now.
struct SendPermit {
    TimePoint deadline; ///< The subrequest's deadline may not be later.
    bool cold = false;  ///< Counts against the cold share.
    ConnectionNeed need = ConnectionNeed::Any;
};

/// \brief How a subrequest ended.
struct LinkReply {
    std::error_code error;           ///< Set when there is no valid answer.
    bool bytesSent = false;          ///< Whether any byte of the request may have reached the target.
    std::optional<ShardReply> reply; ///< The answer; its request id and shard match the request.
    std::string bootId = {};         ///< Known start of the target when the exchange ended.

    /// \returns what is known of whether the work was run.
    Verdict verdict() const;
};

/// \brief A subrequest as handed to a link.
struct LinkRequest {
    WireRequest wire;
    std::string requestId;  ///< The answer must repeat it.
    std::int64_t shard = 0; ///< The answer must repeat it.
    TimePoint deadline;     ///< As sent to the target.
    TimePoint silentAfter;  ///< When an unanswered connection counts as silent; at least the deadline where slow work is possible.
    std::function<void(LinkReply)> handler; ///< Called once unless the exchange is abandoned.
};

/// \brief Address of a link.
struct LinkAddress {
    std::string name; ///< Of the target or seat.
    std::string zone;
    Endpoint endpoint;
};

/// \brief One target or peer as seen from this entry host.
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
    /// \returns the exponentially weighted latency, zero before the first answer.
    /// A belief that nothing has renewed loses weight with time, so that a replica that was slow is tried again.
    Duration meanLatency() const;
    unsigned concurrencyLimit() const;

    /// \returns the instant of the last answer, if any.
    std::optional<TimePoint> lastResponseAt() const;

    void setLimits(const LinkLimits &limits);

    /// \brief Asks whether work due at \p deadline may be sent now.
    std::optional<SendPermit> permitFor(ConnectionNeed need, TimePoint deadline) const;

    /// \brief Sends one subrequest by a permit obtained at the same instant.
    ExchangeId send(const SendPermit &permit, LinkRequest request);

    /// \brief Gives up an exchange; its handler is not called any more.
    /// Its connection is closed, except that work on a cold share runs to its end.
    void cancel(ExchangeId exchange);

    /// \brief Tells what the membership list says.
    void setListedLeaving(bool leaving);

    /// \brief Does what is due: proves idle connections, looks for a lost or leaving target again.
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
        bool probe = false;     // A status probe, not work.
        bool verifying = false; // A status request goes ahead of the work, to prove the connection.
        ConnectionNeed need = ConnectionNeed::Any;
    };

    struct LinkConnection {
        std::unique_ptr<Connection> connection;
        ConnectionState state = ConnectionState::Connecting;
        TimePoint connectedAt;
        TimePoint lastResponseAt; // Of work or of a probe.
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
    void applyNotice(const RunningExchange &exchange, const TargetNotice &notice);
    void pauseSending();
    void recordLatency(Duration latency, double weight);
    void recordSuccess(const RunningExchange &exchange, const TargetNotice &notice);
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
    unsigned inFlight_ = 0;                  // Invariant: exchanges that are work, on all connections.
    std::vector<TimePoint> heldColdPermits_; // Work on the cold share whose end at the target is not known before then.
    std::string bootId_;
    bool hasUnexplainedLoss_ = false; // A connection was lost and no answer has shown since whether the target restarted.
    std::string lastStatusBootId_;    // Last one that the status showed.
    std::vector<std::int64_t> snapshots_;
    Duration meanLatency_{};
    TimePoint latencyUpdatedAt_{}; // When meanLatency_ was renewed.
    TimePoint pausedUntil_{};      // Nothing is sent before then, since the target shed or answered wrongly.
    Duration nextPause_;           // The next one; doubles until an answer is good.
    std::optional<TimePoint> lastResponseAt_;
    TimePoint newestAnsweredSentAt_{}; // When the newest of the answered exchanges was sent.
    unsigned successes_ = 0;           // Since the last cold start began.
    unsigned warmingGrowth_ = 0;       // Requests beyond the first that a warming target is given.
    bool listedLeaving_ = false;
    TimePoint nextConnectAt_{};
    Duration connectBackoff_;
    std::shared_ptr<int> lifetimeToken_; // Handlers hold it weakly, so that none outlives the link.
};

} // namespace magnoliaspan
