/*
 * Test fakes: delivery, loss and silence.
 */
#include "scenario/FakeNetwork.h"

#include "transport/TransportError.h"

#include <algorithm>

namespace magnoliaspan::testing {

namespace {

constexpr Duration sameZone = std::chrono::microseconds(250);
constexpr Duration otherZone = std::chrono::microseconds(500);

} // namespace

/// One connection; the client's handle and the events in flight share it.
class FakeConnection : public std::enable_shared_from_this<FakeConnection>
{
public:
    FakeConnection(FakeNetwork &network, ProcessTime &time, std::string from, std::string zone, std::string address)
        : network_(network)
        , time_(time)
        , from_(std::move(from))
        , zone_(std::move(zone))
        , address_(std::move(address))
    {
    }

    void connect(Transport::ConnectHandler connected, Transport::ClosedHandler closed)
    {
        connected_ = std::move(connected);
        closed_ = std::move(closed);
        const Node *node = network_.find(address_);
        const LinkState state = node == nullptr ? LinkState{} : network_.stateOf(from_, node->name);
        if (state.cut) {
            return;
        }
        const bool refused
            = node == nullptr || node->service == nullptr || state.refused || network_.connectionsTo(address_) >= node->maxConnections;
        const Duration way = node == nullptr ? sameZone : network_.oneWay(zone_, *node, state);
        const Duration wait = 2 * way + (refused ? Duration::zero() : node->connectCost);
        toClient(wait, [self = shared_from_this(), refused] { self->connectEnded(refused); });
    }

    void exchange(WireRequest request, Connection::ReplyHandler handler)
    {
        handler_ = std::move(handler);
        const std::uint64_t number = ++exchanges_;
        const Node *node = network_.find(address_);
        if (silent() || node == nullptr) {
            return;
        }
        const Duration way = network_.oneWay(zone_, *node, network_.stateOf(from_, node->name));
        network_.time().callAt(network_.time().now() + way,
                               [self = shared_from_this(), number, request = std::move(request)] { self->arrive(number, request); });
    }

    void close()
    {
        open_ = false;
        handler_ = nullptr;
        connected_ = nullptr;
        closed_ = nullptr;
        Node *node = network_.find(address_);
        if (!abandon_ || node == nullptr || node->time == nullptr || silent()) {
            return;
        }
        const Duration way = network_.oneWay(zone_, *node, network_.stateOf(from_, node->name));
        node->time->callAt(network_.time().now() + way, [self = shared_from_this()] {
            const auto abandon = std::move(self->abandon_);
            self->abandon_ = nullptr;
            if (abandon && self->alive()) {
                abandon();
            }
        });
    }

    /// The other end is gone.
    void breakNow()
    {
        if (!open_ || silent()) {
            return;
        }
        open_ = false;
        abandon_ = nullptr;
        toClient(sameZone, [self = shared_from_this()] { self->broken(); });
    }

    bool opens(const std::string &address) const
    {
        return open_ && address_ == address;
    }

private:
    void toClient(Duration wait, std::function<void()> handler)
    {
        time_.callAt(time_.now() + wait, std::move(handler));
    }

    void connectEnded(bool refused)
    {
        if (!connected_) {
            return;
        }
        const auto connected = std::move(connected_);
        connected_ = nullptr;
        const Node *node = network_.find(address_);
        if (refused || node == nullptr || node->service == nullptr) {
            connected(TransportError::ConnectFailed);
            return;
        }
        incarnation_ = node->incarnation;
        openedAt_ = network_.time().now();
        open_ = true;
        network_.add(shared_from_this());
        connected({});
    }

    // Whether something between the ends has lost track of this connection.
    bool silent() const
    {
        const Node *node = network_.find(address_);
        if (node == nullptr) {
            return true;
        }
        const LinkState state = network_.stateOf(from_, node->name);
        return state.cut || openedAt_ < state.silencedAt;
    }

    bool alive() const
    {
        const Node *node = network_.find(address_);
        return node != nullptr && node->service != nullptr && node->incarnation == incarnation_;
    }

    void arrive(std::uint64_t number, const WireRequest &request)
    {
        if (!open_ || silent() || !alive()) {
            return;
        }
        Node &node = *network_.find(address_);
        if (network_.stateOf(from_, node.name).losesRequests) {
            breakNow();
            return;
        }
        node.time->callAt(network_.time().now(), [self = shared_from_this(), number, request] { self->serve(number, request); });
    }

    void serve(std::uint64_t number, const WireRequest &request)
    {
        if (!alive()) {
            return;
        }
        Node &node = *network_.find(address_);
        ServiceRequest arrived;
        arrived.method = !request.method.empty() ? request.method : request.body.empty() ? "GET" : "POST";
        arrived.headers = request.headers;
        arrived.target = request.path;
        arrived.contentType = "application/json";
        arrived.authorization = request.authorization;
        arrived.body = request.body;
        const auto replied = std::make_shared<bool>(false);
        auto abandon = node.service->handle(std::move(arrived), [weak = weak_from_this(), number, replied](ServiceReply reply) {
            *replied = true;
            if (const auto self = weak.lock()) {
                self->abandon_ = nullptr;
                self->sendBack(number, std::move(reply));
            }
        });
        if (!*replied) {
            abandon_ = std::move(abandon);
        }
    }

    void sendBack(std::uint64_t number, ServiceReply reply)
    {
        if (silent() || !alive()) {
            return;
        }
        const Node &node = *network_.find(address_);
        const LinkState state = network_.stateOf(from_, node.name);
        if (state.losesReplies) {
            breakNow();
            return;
        }
        toClient(network_.oneWay(zone_, node, state),
                 [self = shared_from_this(), number, reply = std::move(reply)] { self->replied(number, reply); });
    }

    void replied(std::uint64_t number, const ServiceReply &reply)
    {
        if (!open_ || number != exchanges_ || !handler_) {
            return;
        }
        const auto handler = std::move(handler_);
        handler_ = nullptr;
        const bool closes = reply.close;
        handler({{}, true, reply.status, reply.body, reply.headers});
        if (closes) {
            breakNow();
        }
    }

    void broken()
    {
        if (handler_) {
            const auto handler = std::move(handler_);
            handler_ = nullptr;
            handler({TransportError::ConnectionLost, true, 0, ""});
            return;
        }
        const auto closed = std::move(closed_);
        closed_ = nullptr;
        if (closed) {
            closed();
        }
    }

    FakeNetwork &network_;
    ProcessTime &time_; // Of the client.
    std::string from_;
    std::string zone_;
    std::string address_;
    unsigned incarnation_ = 0;
    TimePoint openedAt_{};
    bool open_ = false;
    std::uint64_t exchanges_ = 0;
    Transport::ConnectHandler connected_;
    Transport::ClosedHandler closed_;
    Connection::ReplyHandler handler_;
    Service::CancelFunction abandon_;
};

namespace {

class FakeHandle : public Connection
{
public:
    explicit FakeHandle(std::shared_ptr<FakeConnection> connection)
        : connection_(std::move(connection))
    {
    }

    ~FakeHandle() override
    {
        connection_->close();
    }

    FakeHandle(const FakeHandle &) = delete;
    FakeHandle &operator=(const FakeHandle &) = delete;

    void exchange(WireRequest request, ReplyHandler handler) override
    {
        connection_->exchange(std::move(request), std::move(handler));
    }

    void close() override
    {
        connection_->close();
    }

private:
    std::shared_ptr<FakeConnection> connection_;
};

} // namespace

FakeNetwork::FakeNetwork(ManualTime &time)
    : time_(time)
{
}

void FakeNetwork::place(const std::string &address, Node node)
{
    const unsigned incarnation = nodes_[address].incarnation + 1;
    nodes_[address] = std::move(node);
    nodes_[address].incarnation = incarnation;
}

void FakeNetwork::remove(const std::string &address)
{
    nodes_[address].service = nullptr;
    const auto connections = connections_;
    for (const auto &weak : connections) {
        const auto connection = weak.lock();
        if (connection && connection->opens(address)) {
            connection->breakNow();
        }
    }
}

Node *FakeNetwork::find(const std::string &address)
{
    const auto found = nodes_.find(address);
    return found == nodes_.end() ? nullptr : &found->second;
}

LinkState &FakeNetwork::link(const std::string &from, const std::string &to)
{
    return links_[{from, to}];
}

LinkState FakeNetwork::stateOf(const std::string &from, const std::string &to) const
{
    LinkState result;
    for (const auto &key : {std::pair{from, to}, std::pair{from, std::string("*")}, std::pair{std::string("*"), to}}) {
        const auto found = links_.find(key);
        if (found == links_.end()) {
            continue;
        }
        const LinkState &state = found->second;
        result.cut = result.cut || state.cut;
        result.refused = result.refused || state.refused;
        result.delay += state.delay;
        result.silencedAt = std::max(result.silencedAt, state.silencedAt);
        result.losesRequests = result.losesRequests || state.losesRequests;
        result.losesReplies = result.losesReplies || state.losesReplies;
    }
    return result;
}

Duration FakeNetwork::oneWay(const std::string &fromZone, const Node &to, const LinkState &state) const
{
    return (fromZone == to.zone ? sameZone : otherZone) + state.delay;
}

ManualTime &FakeNetwork::time()
{
    return time_;
}

void FakeNetwork::add(const std::shared_ptr<FakeConnection> &connection)
{
    std::erase_if(connections_, [](const auto &weak) { return weak.expired(); });
    connections_.push_back(connection);
}

unsigned FakeNetwork::connectionsTo(const std::string &address) const
{
    unsigned count = 0;
    for (const auto &weak : connections_) {
        const auto connection = weak.lock();
        count += connection && connection->opens(address) ? 1 : 0;
    }
    return count;
}

FakeTransport::FakeTransport(FakeNetwork &network, ProcessTime &time, std::string name, std::string zone)
    : network_(network)
    , time_(time)
    , name_(std::move(name))
    , zone_(std::move(zone))
{
}

std::unique_ptr<Connection> FakeTransport::connect(const Endpoint &endpoint, ConnectHandler connected, ClosedHandler closed)
{
    auto connection = std::make_shared<FakeConnection>(network_, time_, name_, zone_, endpoint.toString());
    connection->connect(std::move(connected), std::move(closed));
    return std::make_unique<FakeHandle>(std::move(connection));
}

} // namespace magnoliaspan::testing
