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
#include "control/TargetMachine.h"
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
    FreshOrJustProved, ///< Non-idempotent work: a connection that is new or is proved right before.
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
    std::optional<TimePoint> lastAnswer() const;

    void setLimits(const LinkLimits &limits);

    /// \brief Asks whether work due at \p deadline may be sent now.
    std::optional<SendPermit> permit(ConnectionNeed need, TimePoint deadline) const;

    /// \brief Sends one subrequest by a permit obtained at the same instant.
    ExchangeId send(const SendPermit &permit, LinkRequest request);

    /// \brief Gives up an exchange; its handler is not called any more.
    /// Its connection is closed, except that work on a cold share runs to its end.
    void abandon(ExchangeId exchange);

    /// \brief Tells what the membership list says.
    void listed(bool leaving);

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
        bool probe = false;   // A status probe, not work.
        bool proving = false; // A status request goes ahead of the work, to prove the connection.
        ConnectionNeed need = ConnectionNeed::Any;
    };

    struct LinkConnection {
        std::unique_ptr<Connection> connection;
        ConnectionState state = ConnectionState::Connecting;
        TimePoint connectedAt;
        TimePoint lastAnswer; // Of work or of a probe.
        bool proved = false;
        std::optional<RunningExchange> exchange; // Set while Busy, and while Connecting for an exchange.
    };

    struct Choice {
        ConnectionId existing = ConnectionId::None; // None opens a new connection.
        bool proved = false;
    };

    std::optional<Choice> choose(ConnectionNeed need) const;
    unsigned sharedBound(unsigned coldPermits) const;
    unsigned coldInFlight() const;
    ConnectionId open(std::optional<RunningExchange> exchange);
    void connected(ConnectionId id, std::error_code error);
    void connectFailed(ConnectionId id);
    void start(ConnectionId id, LinkConnection &connection);
    void answered(ConnectionId id, WireReply wire);
    void read(ConnectionId id, const RunningExchange &exchange, std::string_view body, LinkReply &result);
    void idleClosed(ConnectionId id);
    void timedOut(ConnectionId id);
    void drop(ConnectionId id);
    void connectionLost();
    void holdCold(const RunningExchange &exchange);
    void judge(const RunningExchange &exchange, const ShardReply &reply);
    void learn(const RunningExchange &exchange, const TargetStatus &notice);
    void pauseSending();
    void addLatency(Duration latency, double weight);
    void countSuccess(const RunningExchange &exchange, const TargetStatus &notice);
    void probeAnswered(const WireReply &wire);
    void startProbe(ConnectionId id, LinkConnection &connection);
    void suspectFellows(TimePoint sentAt);
    void process(TargetEvent event, std::string_view cause);
    std::function<void(WireReply)> replyHandler(ConnectionId id);

    LinkEnvironment environment_;
    LinkAddress address_;
    LinkLimits limits_;
    TargetMachine machine_;
    ConcurrencyLimit limit_;
    std::map<ConnectionId, LinkConnection> connections_; // Invariant: at most limits_.connections entries.
    std::uint64_t lastConnection_ = 0;
    std::uint64_t lastExchange_ = 0;
    unsigned inFlight_ = 0;            // Invariant: exchanges that are work, on all connections.
    std::vector<TimePoint> coldHolds_; // Work on the cold share whose end at the target is not known before then.
    std::string bootId_;
    bool lossUnexplained_ = false; // A connection was lost and no answer has shown since whether the target restarted.
    std::string statusBootId_;     // Last one that the status showed.
    std::vector<std::int64_t> snapshots_;
    Duration meanLatency_{};
    TimePoint latencyAt_{};   // When meanLatency_ was renewed.
    TimePoint pausedUntil_{}; // Nothing is sent before then, since the target shed or answered wrongly.
    Duration pause_;          // The next one; doubles until an answer is good.
    std::optional<TimePoint> lastAnswer_;
    TimePoint newestAnswered_{}; // When the newest of the answered exchanges was sent.
    unsigned successes_ = 0;     // Since the last cold start began.
    unsigned growth_ = 0;        // Requests beyond the first that a warming target is given.
    bool listedLeaving_ = false;
    TimePoint nextConnect_{};
    Duration connectBackoff_;
    std::shared_ptr<int> alive_; // Handlers hold it weakly, so that none outlives the link.
};

} // namespace magnoliaspan
