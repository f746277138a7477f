/*
 * Exchanges small states with the other entry hosts.
 *
 * Each host sends a hello to a few peers at a fixed interval, and at once when a
 * document is accepted or a request becomes suspect. A hello carries the
 * generation and digest of the sender's current document; a host that receives a
 * higher generation fetches the document from the sender. One working path
 * from the platform to any host is therefore sufficient.
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

/// \brief Dependencies of a PeerController; all must outlive it.
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

/// \brief Exchanges state with the peers and applies what they report.
class PeerController
{
public:
    /// \param seat seat of this process.
    /// \param startedAt start of this process; distinguishes it from other processes of the same seat.
    /// \param seed for the random choice of peers.
    PeerController(const PeerServices &services, std::string seat, WallTime startedAt, std::uint64_t seed);

    /// \brief Applies the seats of \p document and sends a hello to some peers.
    void apply(const EnvironmentDocument &document);

    /// \brief Sends the periodic hellos when they are due; must be called at least every helloInterval / 5.
    void tick();

    /// \brief Sends a hello at once, to more peers than the periodic one.
    void notifyPeers();

    /// \brief Announces to the peers that this host is shutting down.
    void setLeaving();

    /// \returns the response to the control message in \p body.
    std::string dispatch(const std::string &body);

    /// \returns whether an exchange with each peer has succeeded or failed at least once.
    bool hasContactedAllPeers() const;

    const HomeLease &lease() const;

    /// \returns the newest snapshot of \p system that peers have reported, zero if there is none.
    std::int64_t newestPeerSnapshot(std::string_view system) const;

private:
    /// Control connection to one peer; carries one exchange at a time.
    struct Channel {
        Endpoint endpoint;
        std::unique_ptr<Connection> connection;
        bool busy = false;
        bool helloPending = false;    // Whether to send another hello after the running exchange.
        bool contacted = false;       // Whether an exchange has succeeded or failed once.
        std::uint64_t exchangeId = 0; // Of the running exchange; replies to earlier ones are ignored.
        TimerId timer = TimerId::None;
        std::int64_t startedAt = 0; // Newest start reported for this seat, in Unix milliseconds.
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
    std::map<std::string, Channel> channels_;          // By seat; without this process's own.
    std::map<std::string, std::int64_t> newestStarts_; // Newest start reported for each seat, in Unix milliseconds; this seat included.
    HomeLease lease_;
    bool documentApplied_ = false; // Whether a document has been applied.
    TimePoint nextHello_{};
    bool leaving_ = false;
    PeerDispatcher dispatcher_;
    std::shared_ptr<int> lifetimeToken_; // Callbacks hold it weakly and do nothing once the controller is destroyed.
};

} // namespace magnoliaspan
