/*
 * Part peer: control messages as JSON-RPC 2.0, by libjsonrpccpp.
 * The library needs C++14, so that it is used in the source file only.
 */
#pragma once

#include "peer/PeerState.h"

#include <functional>
#include <memory>
#include <string>

namespace magnoliaspan {

/// \brief Writes requests and reads replies.
class PeerCodec
{
public:
    /// \returns a request that tells \p state and asks for the peer's.
    static std::string encodeHello(const PeerState &state);

    /// \returns a request for the document in force.
    static std::string encodeDocumentRequest();

    /// \returns the state in a reply to a hello, or null when it is malformed, an error or of another version.
    static std::unique_ptr<PeerState> decodeState(const std::string &reply);

    /// \returns the document in a reply to a fetch, or null.
    static std::unique_ptr<std::string> decodeDocument(const std::string &reply);
};

/// \brief What a host does with requests of its peers.
struct PeerHandlers {
    std::function<PeerState(const PeerState &state)> onHello;
    std::function<std::string()> onDocumentRequest;
};

/// \brief Reads requests, calls the handlers and writes replies.
/// A malformed request or one of another version gets a JSON-RPC error.
class PeerDispatcher
{
public:
    explicit PeerDispatcher(PeerHandlers handlers);
    ~PeerDispatcher();

    std::string dispatch(const std::string &request);

private:
    class Impl;
    struct Server;
    std::unique_ptr<Server> server_;
};

} // namespace magnoliaspan
