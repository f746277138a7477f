/*
 * Test fakes: connections between fake processes, with the ways they fail.
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

/// How a link behaves; both names of a link are of nodes, or "*".
struct LinkState {
    bool cut = false;           ///< Nothing passes; connects get no answer.
    bool refused = false;       ///< Connects are refused at once.
    Duration delay{};           ///< Added one way.
    TimePoint silencedAt{};     ///< Connections opened before then carry nothing any more.
    bool losesRequests = false; ///< Connections break before the request arrives.
    bool losesReplies = false;  ///< Connections break after the request arrived.
};

/// A process that listens.
struct Node {
    std::string name;
    Service *service = nullptr; ///< Null while it is down.
    ProcessTime *time = nullptr;
    unsigned incarnation = 0; ///< Counts starts; connections belong to one.
    unsigned maxConnections = 1'000'000;
    Duration connectCost{};
    std::string zone;
};

class FakeConnection;

/// All nodes and links of a fake world.
class FakeNetwork
{
public:
    explicit FakeNetwork(ManualTime &time);

    /// Makes a node reachable at \p address; the node may be replaced later.
    void place(const std::string &address, Node node);

    /// Ends a node: its connections break, connects are refused.
    void remove(const std::string &address);

    /// \returns the node at \p address, or null.
    Node *find(const std::string &address);

    LinkState &link(const std::string &from, const std::string &to);

    /// \returns the state that holds from \p from to \p to, wildcards included.
    LinkState linkState(const std::string &from, const std::string &to) const;

    Duration oneWayDelay(const std::string &fromZone, const Node &to, const LinkState &state) const;

    ManualTime &time();

    void addConnection(const std::shared_ptr<FakeConnection> &connection);
    unsigned connectionsTo(const std::string &address) const;

private:
    ManualTime &time_;
    std::map<std::string, Node> nodes_; // By address.
    std::map<std::pair<std::string, std::string>, LinkState> links_;
    std::vector<std::weak_ptr<FakeConnection>> connections_;
};

/// The transport of one fake process.
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
