/*
 * Construction of a forwarding host and its periodic maintenance.
 */
#include "app/ForwardHost.h"

#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr Duration replicaTickInterval = std::chrono::milliseconds(200);

GossipSettings gossipSettings(const ForwardSettings &settings, const Clock &clock)
{
    GossipSettings result;
    result.self.name = settings.host;
    result.self.zone = settings.zone;
    result.self.address = settings.peerAddress;
    result.self.incarnation = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    result.seeds = settings.seeds;
    for (const auto &[zone, region] : settings.regionOfZone) {
        result.zones.insert(zone);
    }
    result.key = settings.peerKey;
    result.assumedHosts = settings.limits.hosts;
    return result;
}

} // namespace

ForwardHost::ForwardHost(const ForwardHostEnvironment &environment, ForwardSettings settings)
    : settings_(std::move(settings))
    , clock_(environment.clock)
    , journal_(environment.clock, environment.logSink, settings_.journalLines)
    , pauseDetector_(environment.clock.bootNow())
    , serving_(environment.clock, environment.scheduler, journal_, settings_.shutdownAnnounce, settings_.shutdownLimit)
    , activeRequests_(serving_)
    , registry_(journal_)
    , crashGuard_(environment.clock, environment.scheduler, journal_, counters_)
    , contact_(environment.clock, environment.scheduler, journal_, counters_)
    , gossip_(environment.clock,
              environment.scheduler,
              journal_,
              counters_,
              environment.peers,
              gossipSettings(settings_, environment.clock),
              environment.seed + 2)
    , mirror_(environment.clock)
    , relaySource_({environment.clock,
                    environment.scheduler,
                    journal_,
                    counters_,
                    environment.transport,
                    environment.discovery,
                    environment.decoder,
                    gossip_,
                    mirror_},
                   settings_.peerKey,
                   environment.seed + 3)
    , relayService_(environment.clock,
                    environment.scheduler,
                    counters_,
                    mirror_,
                    settings_.peerKey,
                    [this] {
                        return SourceAccess{relaySource_.isSourceRecentlyUnavailable(), relaySource_.hasSourceFailed()};
                    })
    , handoff_({environment.clock, environment.scheduler, journal_, counters_, environment.transport, gossip_},
               settings_.peerKey,
               settings_.regionOfZone,
               environment.seed + 4)
    , environment_{environment.clock,
                   environment.scheduler,
                   environment.transport,
                   journal_,
                   counters_,
                   environment.codec,
                   crashGuard_,
                   contact_,
                   handoff_,
                   environment.seed}
    , replicas_(environment_, registry_, {settings_.zone, settings_.regionOfZone}, settings_.limits)
    , discovery_(environment.clock, environment.scheduler, journal_, relaySource_, registry_, settings_.watchTime, environment.seed)
    , forwardService_(environment_, registry_, replicas_, activeRequests_, environment.seed + 1)
    , handoffService_(counters_, contact_, forwardService_, settings_.peerKey)
    , peerService_(relayService_, handoffService_)
    , tickTimer_(environment.clock, environment.scheduler, tickInterval, [this] { tick(); })
{
    connectRegistry();
    connectGossip();
    connectContact();
}

void ForwardHost::connectContact()
{
    TargetContact::Listener listener;
    listener.probe = [this] { replicas_.probeTargets(); };
    listener.changed = [this](bool lost) {
        gossip_.setReachesTargets(!lost);
        if (!lost) {
            replicas_.onContactRegained();
        } else if (contact_.isSilent()) {
            forwardService_.onContactLost();
        }
    };
    contact_.setListener(std::move(listener));
}

void ForwardHost::connectRegistry()
{
    Registry::Listener listener;
    listener.tableAccepted = [this](const RoutingTablePtr &table) {
        replicas_.onTableAccepted();
        forwardService_.onTableAccepted(*table);
        if (listenerLimitsHandler_) {
            listenerLimitsHandler_(table->limits());
        }
        serving_.onConfigurationAccepted();
    };
    listener.targetChanged = [this](const TargetEntry &entry) { replicas_.onTargetChanged(entry); };
    listener.targetRemoved = [this](const std::string &id) { replicas_.onTargetRemoved(id); };
    listener.zoneChanged = [this](const std::string &zone, bool evacuated) { replicas_.onZoneChanged(zone, evacuated); };
    listener.readApplied = [this] {
        gossip_.setPosition(mirror_.position());
        forwardService_.readApplied();
    };
    registry_.setListener(std::move(listener));
}

void ForwardHost::connectGossip()
{
    gossip_.onSharingHostsChanged([this](unsigned hosts) { replicas_.setHostCount(hosts); });
    gossip_.onPeerPosition([this](const StatePosition &position) { discovery_.handlePeerPosition(position); });
    gossip_.onPeerReach([this](const std::string &host, bool reaches) { handoff_.recordPeer(host, reaches); });
    gossip_.onCrashReport([this](const CrashReport &report) { crashGuard_.mergeFromPeer(report); });
    crashGuard_.onReport([this](const CrashReport &report) { gossip_.reportCrash(report); });
}

void ForwardHost::start()
{
    journal_.record(LogCategory::Shutdown,
                    "",
                    fmt::format("host started host={} zone={} hosts={}", settings_.host, settings_.zone, settings_.limits.hosts));
    discovery_.start();
    gossip_.start();
    tickTimer_.start();
}

void ForwardHost::stop()
{
    serving_.stop();
    gossip_.leave();
}

void ForwardHost::applySettings(const ForwardSettings &settings)
{
    settings_.limits = settings.limits;
    settings_.limits.hosts = gossip_.sharingHosts();
    replicas_.setLimits(settings_.limits);
    gossip_.setSeeds(settings.seeds);
    journal_.record(LogCategory::Shutdown,
                    "",
                    fmt::format("settings reloaded hosts={} extra_send_ratio={} extra_send_slack={} cold_slack={}",
                                settings_.limits.hosts,
                                settings.limits.extraSendRatio,
                                settings.limits.extraSendSlack,
                                settings.limits.coldSlack));
}

void ForwardHost::setListenerLimitsHandler(std::function<void(const ListenerLimits &)> handler)
{
    listenerLimitsHandler_ = std::move(handler);
}

std::string ForwardHost::notReadyReason() const
{
    if (!serving_.isReady()) {
        return fmt::format("stage is {}", toString(serving_.stage()));
    }
    if (registry_.targets().empty()) {
        return "no target is known";
    }
    // Otherwise a request that the other hosts refuse would crash more targets through this one.
    return gossip_.hasCrashReports() ? "" : "requests that crash targets are not known yet";
}

void ForwardHost::tick()
{
    const TimePoint now = clock_.now();
    if (pauseDetector_.observe(clock_.bootNow())) {
        journal_.record(LogCategory::Pause, "", "process was paused, reading routes and targets again");
        discovery_.refresh();
    }
    // One more than the requests, so that a host without any keeps a part of the limits.
    gossip_.setLoad(1.0 + forwardService_.recentRequests());
    replicas_.setTrafficWeight(gossip_.loadWeight());
    if (now >= nextReplicaTick_) {
        nextReplicaTick_ = now + replicaTickInterval;
        replicas_.tick();
        crashGuard_.tick();
    }
}

Service &ForwardHost::peerService()
{
    return peerService_;
}

ForwardService &ForwardHost::forwardService()
{
    return forwardService_;
}

ServingController &ForwardHost::serving()
{
    return serving_;
}

Journal &ForwardHost::journal()
{
    return journal_;
}

std::string ForwardHost::metrics() const
{
    return counters_.exposition()
           + fmt::format(
               "magnoliaspan_requests_in_flight {}\nmagnoliaspan_replicas {}\nmagnoliaspan_target_connections {}\n"
               "magnoliaspan_table_version {}\nmagnoliaspan_hosts {}\nmagnoliaspan_hosts_alive {}\nmagnoliaspan_load_weight {:.3f}\n",
               activeRequests_.count(),
               replicas_.size(),
               replicas_.connections(),
               registry_.table() ? registry_.table()->version() : 0,
               gossip_.sharingHosts(),
               gossip_.aliveCount() + 1,
               gossip_.loadWeight());
}

} // namespace magnoliaspan
