/*
 * Implements the codec with libjsonrpccpp; compiled as C++14, which the library's headers need.
 */
#include "peer/PeerCodec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace magnoliaspan {

namespace {

const char *const helloMethod = "hello";
const char *const fetchMethod = "document";
const int versionError = -32001; // In the range that JSON-RPC leaves to servers.
const int fieldError = -32602;   // JSON-RPC: invalid parameters.

/// Captures the request that the client encodes and returns a given reply.
class CapturingConnector : public jsonrpc::IClientConnector
{
public:
    explicit CapturingConnector(std::string reply)
        : reply_(std::move(reply))
    {
    }

    void SendRPCMessage(const std::string &message, std::string &result) throw(
        jsonrpc::JsonRpcException) override // NOLINT(readability-identifier-naming): name of the library
    {
        request = message;
        result = reply_;
    }

    std::string request;

private:
    std::string reply_;
};

std::string encodeCall(const char *method, const Json::Value &parameters)
{
    CapturingConnector connector(R"({"jsonrpc":"2.0","id":1,"result":null})");
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    client.CallMethod(method, parameters);
    return connector.request;
}

// The library throws for each kind of malformed reply.
std::unique_ptr<Json::Value> decodeReply(const std::string &reply)
{
    try {
        CapturingConnector connector(reply);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        return std::make_unique<Json::Value>(client.CallMethod(helloMethod, Json::Value(Json::objectValue)));
    } catch (const std::exception &) {
        return nullptr;
    }
}

Json::Value numbers(const std::vector<std::uint64_t> &values)
{
    Json::Value list(Json::arrayValue);
    for (const std::uint64_t value : values) {
        list.append(Json::UInt64(value));
    }
    return list;
}

Json::Value toJson(const PeerState &state)
{
    Json::Value json(Json::objectValue);
    json["version"] = state.version;
    json["seat"] = state.seat;
    json["started_at"] = Json::Int64(state.startedAt);
    json["generation"] = Json::Int64(state.generation);
    json["digest"] = state.digest;
    json["leaving"] = state.leaving;
    json["newest_start"] = Json::Int64(state.newestStart);
    json["quarantined"] = numbers(state.quarantined);
    json["suspects"] = numbers(state.suspects);
    Json::Value snapshots(Json::objectValue);
    for (const auto &entry : state.snapshots) {
        snapshots[entry.first] = Json::Int64(entry.second);
    }
    json["snapshots"] = snapshots;
    return json;
}

bool readNumbers(const Json::Value &list, std::vector<std::uint64_t> &values)
{
    if (!list.isArray() || list.size() > PeerState::maxQuarantined) {
        return false;
    }
    for (const Json::Value &value : list) {
        if (!value.isUInt64()) {
            return false;
        }
        values.push_back(value.asUInt64());
    }
    return true;
}

bool readSnapshots(const Json::Value &json, PeerState &state)
{
    if (!json.isObject() || json.size() > PeerState::maxSystems) {
        return false;
    }
    for (const std::string &name : json.getMemberNames()) {
        if (!json[name].isInt64()) {
            return false;
        }
        state.snapshots[name] = json[name].asInt64();
    }
    return true;
}

bool fromJson(const Json::Value &json, PeerState &state)
{
    const bool typed = json.isObject() && json["version"].isInt() && json["seat"].isString() && json["started_at"].isInt64()
                       && json["generation"].isInt64() && json["digest"].isString() && json["leaving"].isBool()
                       && json["newest_start"].isInt64();
    if (!typed) {
        return false;
    }
    state.version = json["version"].asInt();
    state.seat = json["seat"].asString();
    state.startedAt = json["started_at"].asInt64();
    state.generation = json["generation"].asInt64();
    state.digest = json["digest"].asString();
    state.leaving = json["leaving"].asBool();
    state.newestStart = json["newest_start"].asInt64();
    return readNumbers(json["quarantined"], state.quarantined) && readNumbers(json["suspects"], state.suspects)
           && readSnapshots(json["snapshots"], state);
}

/// Captures the reply that the protocol handler encodes.
class CapturingServerConnector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override // NOLINT(readability-identifier-naming): name of the library
    {
        return true;
    }

    bool StopListening() override // NOLINT(readability-identifier-naming): name of the library
    {
        return true;
    }

    bool SendResponse(const std::string &response, void *addInfo) override // NOLINT(readability-identifier-naming): name of the library
    {
        *static_cast<std::string *>(addInfo) = response;
        return true;
    }
};

} // namespace

std::string PeerCodec::encodeHello(const PeerState &state)
{
    return encodeCall(helloMethod, toJson(state));
}

std::string PeerCodec::encodeDocumentRequest()
{
    return encodeCall(fetchMethod, Json::Value(Json::objectValue));
}

std::unique_ptr<PeerState> PeerCodec::decodeState(const std::string &reply)
{
    const auto json = decodeReply(reply);
    auto state = std::make_unique<PeerState>();
    if (!json || !fromJson(*json, *state) || state->version != PeerState::protocolVersion) {
        return nullptr;
    }
    return state;
}

std::unique_ptr<std::string> PeerCodec::decodeDocument(const std::string &reply)
{
    const auto json = decodeReply(reply);
    if (!json || !json->isString()) {
        return nullptr;
    }
    return std::make_unique<std::string>(json->asString());
}

class PeerDispatcher::Impl : public jsonrpc::AbstractServer<PeerDispatcher::Impl>
{
public:
    Impl(CapturingServerConnector &connector, PeerHandlers handlers)
        : jsonrpc::AbstractServer<Impl>(connector, jsonrpc::JSONRPC_SERVER_V2)
        , handlers_(std::move(handlers))
    {
        bindAndAddMethod(jsonrpc::Procedure(helloMethod, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL), &Impl::hello);
        bindAndAddMethod(jsonrpc::Procedure(fetchMethod, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_STRING, NULL), &Impl::document);
    }

private:
    void hello(const Json::Value &parameters, Json::Value &result)
    {
        PeerState state;
        if (!fromJson(parameters, state)) {
            throw jsonrpc::JsonRpcException(fieldError, "malformed state");
        }
        if (state.version != PeerState::protocolVersion) {
            throw jsonrpc::JsonRpcException(versionError, "another protocol version");
        }
        result = toJson(handlers_.onHello(state));
    }

    void document(const Json::Value &, Json::Value &result)
    {
        result = handlers_.onDocumentRequest();
    }

    PeerHandlers handlers_;
};

struct PeerDispatcher::Server {
    explicit Server(PeerHandlers handlers)
        : impl(connector, std::move(handlers))
    {
    }

    CapturingServerConnector connector;
    Impl impl;
};

PeerDispatcher::PeerDispatcher(PeerHandlers handlers)
    : server_(std::make_unique<Server>(std::move(handlers)))
{
}

PeerDispatcher::~PeerDispatcher() = default;

std::string PeerDispatcher::dispatch(const std::string &request)
{
    std::string response;
    try {
        server_->connector.OnRequest(request, &response);
    } catch (const std::exception &error) {
        // jsoncpp throws on values that are out of range.
        return R"({"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"malformed request"}})";
    }
    return response;
}

} // namespace magnoliaspan
