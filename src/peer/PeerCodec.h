/*
 * Encodes and decodes control messages between entry hosts as JSON-RPC 2.0, with libjsonrpccpp.
 * The headers of that library need C++14; therefore only the source file includes them.
 */
#pragma once

#include "peer/PeerState.h"

#include <functional>
#include <memory>
#include <string>

namespace magnoliaspan {

/// \brief Encodes requests and decodes replies.
class PeerCodec
{
public:
    /// \returns a request that carries \p state; the reply carries the peer's.
    static std::string encodeHello(const PeerState &state);

    /// \returns a request for the peer's current environment document.
    static std::string encodeDocumentRequest();

    /// \returns the state in the reply to a hello, or null if the reply is malformed, an error or of another protocol version.
    static std::unique_ptr<PeerState> decodeState(const std::string &reply);

    /// \returns the text in the reply to a document request, empty if the peer has no document; null if the reply is malformed or an error.
    static std::unique_ptr<std::string> decodeDocument(const std::string &reply);
};

/// \brief Callbacks for requests of peers.
struct PeerHandlers {
    std::function<PeerState(const PeerState &state)> onHello; ///< Receives the peer's state, returns this host's.
    std::function<std::string()> onDocumentRequest;           ///< Returns the text of the current document, empty if there is none.
};

/// \brief Decodes requests, calls the handlers and encodes their replies.
/// A malformed request or one of another protocol version is answered with a JSON-RPC error.
class PeerDispatcher
{
public:
    explicit PeerDispatcher(PeerHandlers handlers);
    ~PeerDispatcher();

    /// \returns the JSON-RPC response to \p request.
    std::string dispatch(const std::string &request);

private:
    class Impl;
    struct Server;
    std::unique_ptr<Server> server_;
};

} // namespace magnoliaspan
