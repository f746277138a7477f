/*
 * In-memory network between fake processes with fault injection: partitions, refused connects, delay,
 * silent connections and lost requests or replies.
 */
#pragma once

#include "request/Service.h"
#include "scenario/ManualTime.h"
#include "transport/Transport.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace magnoliaspan::testing {

/// Faults injected on a link. A link is named by two nodes, either of which may be "*".
struct LinkState {
    bool cut = false;           ///< Partitioned: nothing is delivered, and connects do not complete.
    bool refused = false;       ///< Connects are refused after one round trip.
    Duration delay{};           ///< Added to the latency in each direction.
    TimePoint silencedAt{};     ///< Connections opened before this instant no longer deliver anything and report no error.
    bool losesRequests = false; ///< Connections break before the request is delivered.
    bool losesReplies = false;  ///< Connections break after the request has been handled, before the reply is delivered.
};

/// A fake process with a listening address.
struct Node {
    std::string name;
    Service *service = nullptr; ///< Null while the process is down.
    ProcessTime *time = nullptr;
    unsigned incarnation = 0; ///< Number of the process start; a connection is valid for one incarnation only.
    unsigned maxConnections = 1'000'000;
    Duration connectCost{};
    std::string zone;
};

class FakeConnection;

/// The nodes, links and connections of a fake world.
class FakeNetwork
{
public:
    explicit FakeNetwork(ManualTime &time);

    /// Makes \p node reachable at \p address with a new incarnation, replacing any previous node.
    void place(const std::string &address, Node node);

    /// Stops the node at \p address: its connections break and further connects are refused.
    void remove(const std::string &address);

    /// \returns the node at \p address, or null.
    Node *find(const std::string &address);

    /// \returns the faults of one link for modification.
    LinkState &link(const std::string &from, const std::string &to);

    /// \returns the combined faults from \p from to \p to, including those of wildcard links.
    LinkState linkState(const std::string &from, const std::string &to) const;

    /// \returns the latency in one direction: by zone, plus the delay of \p state.
    Duration oneWayDelay(const std::string &fromZone, const Node &to, const LinkState &state) const;

    ManualTime &time();

    /// Registers an open connection.
    void addConnection(const std::shared_ptr<FakeConnection> &connection);
    /// \returns the number of open connections to \p address.
    unsigned connectionsTo(const std::string &address) const;

private:
    ManualTime &time_;
    std::map<std::string, Node> nodes_; // By address.
    std::map<std::pair<std::string, std::string>, LinkState> links_;
    std::vector<std::weak_ptr<FakeConnection>> connections_;
};

/// Transport of one fake process; its callbacks run on the clock of that process.
class FakeTransport : public Transport
{
public:
    FakeTransport(FakeNetwork &network, ProcessTime &time, std::string name, std::string zone);

    std::unique_ptr<Connection> connect(const Endpoint &endpoint, ConnectHandler connected, ClosedHandler closed) override;

private:
    FakeNetwork &network_;
    ProcessTime &time_;
    std::string name_;
    std::string zone_;
};

} // namespace magnoliaspan::testing
