/*
 * Part peer: the exchange of small states with other entry hosts.
 *
 * Each host says hello to a few peers at a fixed interval and at once when a
 * document is accepted or a request becomes suspect. A hello carries the
 * generation and digest of the document in force; a host that hears of a
 * higher generation fetches the document from whoever told it. One surviving
 * path from the platform to any host is therefore enough.
 */
#pragma once

#include "config/EnvironmentDocument.h"
#include "control/ConfigurationController.h"
#include "control/PauseDetector.h"
#include "control/QuarantineController.h"
#include "control/TargetController.h"
#include "core/Scheduler.h"
#include "peer/HomeLease.h"
#include "peer/PeerAuthenticator.h"
#include "peer/PeerCodec.h"
#include "transport/Transport.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace magnoliaspan {

/// \brief What a PeerController works with; all of it outlives the controller.
struct PeerServices {
    const Clock &clock;
    Scheduler &scheduler;
    Transport &transport;
    Journal &journal;
    Counters &counters;
    ConfigurationController &configuration;
    TargetController &targets;
    QuarantineController &quarantine;
    PauseDetector &pause;
    PeerAuthenticator &authenticator;
};

/// \brief Keeps up with the other entry hosts.
class PeerController
{
public:
    /// \param startedAt of this process; tells it from others in the same seat.
    PeerController(const PeerServices &services, std::string seat, WallTime startedAt, std::uint64_t seed);

    /// \brief Takes the seats of \p document.
    void apply(const EnvironmentDocument &document);

    /// \brief Says hello to the peers whose turn it is; must be called at least every helloInterval / 5.
    void tick();

    /// \brief Says hello to a larger number of peers now.
    void notifyPeers();

    /// \brief From now on tells the peers that this host leaves.
    void setLeaving();

    /// \brief Answers the control message in \p body.
    std::string dispatch(const std::string &body);

    /// \returns whether each peer has answered or failed once since the first document.
    bool hasContactedAllPeers() const;

    const HomeLease &lease() const;

    /// \returns the best snapshot of \p system that peers have told of, zero when none has.
    std::int64_t newestPeerSnapshot(std::string_view system) const;

private:
    /// The control connection to one peer.
    struct Channel {
        Endpoint endpoint;
        std::unique_ptr<Connection> connection;
        bool busy = false;
        bool helloPending = false;    // Another hello is due when the running one ends.
        bool contacted = false;       // Has answered or failed once.
        std::uint64_t exchangeId = 0; // Tells the answers of dropped exchanges from the running one's.
        TimerId timer = TimerId::None;
        std::int64_t startedAt = 0; // Newest start heard of this seat.
        std::map<std::string, std::int64_t> snapshots;
    };

    PeerState ownState(const std::string &asker) const;
    void sendHellos(std::size_t count);
    void sendHello(const std::string &seat);
    void sendRequest(const std::string &seat, const std::string &body, std::function<void(const std::string &reply)> handler);
    void startExchange(const std::string &seat,
                       std::uint64_t exchangeId,
                       const std::string &body,
                       const std::function<void(const std::string &reply)> &handler);
    void onExchangeFailed(const std::string &seat, std::uint64_t exchangeId);
    void onExchangeCompleted(const std::string &seat);
    void onHelloReply(const std::string &seat, TimePoint requestedAt, WallTime requestedAtWall, const std::string &reply);
    void applyPeerState(const PeerState &state);
    void fetchDocument(const std::string &seat);

    PeerServices services_;
    std::string seat_;
    WallTime startedAt_;
    std::mt19937_64 random_;
    std::map<std::string, Channel> channels_;          // By seat, without this process's own.
    std::map<std::string, std::int64_t> newestStarts_; // Newest start heard of each seat, this one included.
    HomeLease lease_;
    bool documentApplied_ = false; // Whether a document has been applied.
    TimePoint nextHello_{};
    bool leaving_ = false;
    PeerDispatcher dispatcher_;
    std::shared_ptr<int> lifetimeToken_; // Handlers hold it weakly, so that none outlives the controller.
};

} // namespace magnoliaspan
