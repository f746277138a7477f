/*
 * Connection state machine of the fake network: delivery, loss and silent failure.
 */
#include "scenario/FakeNetwork.h"

#include "transport/TransportError.h"

#include <algorithm>

namespace magnoliaspan::testing {

namespace {

constexpr Duration sameZoneDelay = std::chrono::microseconds(250);
constexpr Duration crossZoneDelay = std::chrono::microseconds(500);

} // namespace

/// One connection, owned jointly by the client's handle and the events in flight.
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
        const LinkState state = node == nullptr ? LinkState{} : network_.linkState(from_, node->name);
        if (state.cut) {
            return;
        }
        const bool refused
            = node == nullptr || node->service == nullptr || state.refused || network_.connectionsTo(address_) >= node->maxConnections;
        const Duration delay = node == nullptr ? sameZoneDelay : network_.oneWayDelay(zone_, *node, state);
        const Duration wait = 2 * delay + (refused ? Duration::zero() : node->connectCost);
        scheduleOnClient(wait, [self = shared_from_this(), refused] { self->onConnectCompleted(refused); });
    }

    void exchange(WireRequest request, Connection::ReplyHandler handler)
    {
        handler_ = std::move(handler);
        const std::uint64_t number = ++exchanges_;
        const Node *node = network_.find(address_);
        if (isSilenced() || node == nullptr) {
            return;
        }
        const Duration delay = network_.oneWayDelay(zone_, *node, network_.linkState(from_, node->name));
        network_.time().callAt(network_.time().now() + delay, [self = shared_from_this(), number, request = std::move(request)] {
            self->onRequestArrived(number, request);
        });
    }

    void close()
    {
        open_ = false;
        handler_ = nullptr;
        connected_ = nullptr;
        closed_ = nullptr;
        Node *node = network_.find(address_);
        if (!cancelRequest_ || node == nullptr || node->time == nullptr || isSilenced()) {
            return;
        }
        const Duration delay = network_.oneWayDelay(zone_, *node, network_.linkState(from_, node->name));
        node->time->callAt(network_.time().now() + delay, [self = shared_from_this()] {
            const auto cancelRequest = std::move(self->cancelRequest_);
            self->cancelRequest_ = nullptr;
            if (cancelRequest && self->isPeerAlive()) {
                cancelRequest();
            }
        });
    }

    /// Breaks the connection from the server side. A silenced connection stays silent: the client gets no notice.
    void breakConnection()
    {
        if (!open_ || isSilenced()) {
            return;
        }
        open_ = false;
        cancelRequest_ = nullptr;
        scheduleOnClient(sameZoneDelay, [self = shared_from_this()] { self->onConnectionLost(); });
    }

    bool isOpenTo(const std::string &address) const
    {
        return open_ && address_ == address;
    }

private:
    void scheduleOnClient(Duration wait, std::function<void()> handler)
    {
        time_.callAt(time_.now() + wait, std::move(handler));
    }

    void onConnectCompleted(bool refused)
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
        network_.addConnection(shared_from_this());
        connected({});
    }

    // True if the network drops all traffic of this connection, as a firewall does that lost its state.
    bool isSilenced() const
    {
        const Node *node = network_.find(address_);
        if (node == nullptr) {
            return true;
        }
        const LinkState state = network_.linkState(from_, node->name);
        return state.cut || openedAt_ < state.silencedAt;
    }

    bool isPeerAlive() const
    {
        const Node *node = network_.find(address_);
        return node != nullptr && node->service != nullptr && node->incarnation == incarnation_;
    }

    void onRequestArrived(std::uint64_t number, const WireRequest &request)
    {
        if (!open_ || isSilenced() || !isPeerAlive()) {
            return;
        }
        Node &node = *network_.find(address_);
        if (network_.linkState(from_, node.name).losesRequests) {
            breakConnection();
            return;
        }
        node.time->callAt(network_.time().now(), [self = shared_from_this(), number, request] { self->serveRequest(number, request); });
    }

    void serveRequest(std::uint64_t number, const WireRequest &request)
    {
        if (!isPeerAlive()) {
            return;
        }
        Node &node = *network_.find(address_);
        ServiceRequest serviceRequest;
        serviceRequest.method = !request.method.empty() ? request.method : request.body.empty() ? "GET" : "POST";
        serviceRequest.headers = request.headers;
        serviceRequest.target = request.path;
        serviceRequest.contentType = "application/json";
        serviceRequest.authorization = request.authorization;
        serviceRequest.body = request.body;
        const auto replied = std::make_shared<bool>(false);
        auto cancelRequest
            = node.service->handle(std::move(serviceRequest), [weak = weak_from_this(), number, replied](ServiceReply reply) {
                  *replied = true;
                  if (const auto self = weak.lock()) {
                      self->cancelRequest_ = nullptr;
                      self->sendReply(number, std::move(reply));
                  }
              });
        if (!*replied) {
            cancelRequest_ = std::move(cancelRequest);
        }
    }

    void sendReply(std::uint64_t number, ServiceReply reply)
    {
        if (isSilenced() || !isPeerAlive()) {
            return;
        }
        const Node &node = *network_.find(address_);
        const LinkState state = network_.linkState(from_, node.name);
        if (state.losesReplies) {
            breakConnection();
            return;
        }
        scheduleOnClient(network_.oneWayDelay(zone_, node, state),
                         [self = shared_from_this(), number, reply = std::move(reply)] { self->onReply(number, reply); });
    }

    void onReply(std::uint64_t number, const ServiceReply &reply)
    {
        if (!open_ || number != exchanges_ || !handler_) {
            return;
        }
        const auto handler = std::move(handler_);
        handler_ = nullptr;
        const bool closes = reply.close;
        handler({{}, true, reply.status, reply.body, reply.headers});
        if (closes) {
            breakConnection();
        }
    }

    void onConnectionLost()
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
    ProcessTime &time_; // Clock of the client process.
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
    Service::CancelFunction cancelRequest_;
};

namespace {

class FakeConnectionHandle : public Connection
{
public:
    explicit FakeConnectionHandle(std::shared_ptr<FakeConnection> connection)
        : connection_(std::move(connection))
    {
    }

    ~FakeConnectionHandle() override
    {
        connection_->close();
    }

    FakeConnectionHandle(const FakeConnectionHandle &) = delete;
    FakeConnectionHandle &operator=(const FakeConnectionHandle &) = delete;

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
        if (connection && connection->isOpenTo(address)) {
            connection->breakConnection();
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

LinkState FakeNetwork::linkState(const std::string &from, const std::string &to) const
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

Duration FakeNetwork::oneWayDelay(const std::string &fromZone, const Node &to, const LinkState &state) const
{
    return (fromZone == to.zone ? sameZoneDelay : crossZoneDelay) + state.delay;
}

ManualTime &FakeNetwork::time()
{
    return time_;
}

void FakeNetwork::addConnection(const std::shared_ptr<FakeConnection> &connection)
{
    std::erase_if(connections_, [](const auto &weak) { return weak.expired(); });
    connections_.push_back(connection);
}

unsigned FakeNetwork::connectionsTo(const std::string &address) const
{
    unsigned count = 0;
    for (const auto &weak : connections_) {
        const auto connection = weak.lock();
        count += connection && connection->isOpenTo(address) ? 1 : 0;
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
    return std::make_unique<FakeConnectionHandle>(std::move(connection));
}

} // namespace magnoliaspan::testing
