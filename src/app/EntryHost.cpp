/*
 * Construction of an entry host and its periodic maintenance.
 */
#include "app/EntryHost.h"

#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(20);
constexpr Duration peerQueryTimeout = std::chrono::seconds(2);
constexpr Duration linkTickInterval = std::chrono::milliseconds(200);

} // namespace

EntryHost::EntryHost(const EntryHostEnvironment &environment, Settings settings)
    : settings_(std::move(settings))
    , clock_(environment.clock)
    , scheduler_(environment.scheduler)
    , journal_(environment.clock, environment.logSink, settings_.journalLines)
    , configuration_(environment.clock, journal_, counters_, settings_.environment)
    , membership_(environment.clock, journal_)
    , pauseDetector_(environment.clock.now())
    , serving_(environment.clock, environment.scheduler, journal_, settings_.shutdownAnnounce, settings_.shutdownLimit)
    , quarantine_(environment.clock, journal_, counters_)
    , targets_(linkEnvironment(environment), settings_.seat, settings_.zone, environment.seed)
    , platform_(environment.clock,
                environment.scheduler,
                environment.platform,
                configuration_,
                membership_,
                pauseDetector_,
                environment.seed + 1)
    , authenticator_(environment.clock, settings_.peerKey, environment.seed + 2)
    , peers_(peerServices(environment), settings_.seat, environment.clock.wallNow(), environment.seed + 3)
    , services_(requestServices())
    , filters_(services_, serving_)
    , activeRequests_(serving_)
    , submitRouter_(services_, peers_.lease())
    , callerService_(services_, filters_, submitRouter_, activeRequests_, settings_.zone)
    , peerService_(services_,
                   filters_,
                   submitRouter_,
                   activeRequests_,
                   authenticator_,
                   settings_.zone,
                   [this](const std::string &body) { return peers_.dispatch(body); })
    , startedAt_(environment.clock.now())
    , lifetimeToken_(std::make_shared<int>(0))
    , tickTimer_(environment.clock, environment.scheduler, tickInterval, [this] { tick(); })
{
    connectControllers();
}

LinkEnvironment EntryHost::linkEnvironment(const EntryHostEnvironment &environment)
{
    return {environment.clock,
            environment.scheduler,
            environment.transport,
            journal_,
            counters_,
            [this] { onCapacityFreed(); },
            [this](const std::string &target, const std::string &bootId) { quarantine_.withdrawTargetLoss(target, bootId); }};
}

PeerServices EntryHost::peerServices(const EntryHostEnvironment &environment)
{
    return {environment.clock,
            environment.scheduler,
            environment.transport,
            journal_,
            counters_,
            configuration_,
            targets_,
            quarantine_,
            pauseDetector_,
            authenticator_};
}

RequestServices EntryHost::requestServices()
{
    return {clock_,
            scheduler_,
            journal_,
            counters_,
            configuration_,
            targets_,
            systems_,
            quarantine_,
            pauseDetector_,
            settings_.seat,
            [this](std::string_view path, std::string_view body) { return authenticator_.sign(path, body); },
            [this](std::string_view system) { return peers_.newestPeerSnapshot(system); },
            [this] { return ++lastOperationId_; }};
}

void EntryHost::connectControllers()
{
    configuration_.onAccepted([this](const EnvironmentDocument &document) {
        systems_.apply(document);
        targets_.apply(document);
        submitRouter_.apply(document);
        peers_.apply(document);
        for (const ZoneSpec &zone : document.zones) {
            if (!zone.inService) {
                journal_.record(
                    LogCategory::Zone, "", fmt::format("zone is out of service zone={} own={}", zone.name, zone.name == settings_.zone));
            }
        }
        serving_.onConfigurationAccepted();
        onCapacityFreed();
    });
    quarantine_.onLocalChange([this](Fingerprint, Suspicion) { peers_.notifyPeers(); });
    membership_.onChange([this](const MembershipReadResult &reading) { targets_.apply(reading); });
}

void EntryHost::start()
{
    journal_.record(
        LogCategory::Config,
        "",
        fmt::format("entry host started seat={} zone={} environment={}", settings_.seat, settings_.zone, settings_.environment));
    platform_.start();
    tickTimer_.start();
}

void EntryHost::stop()
{
    peers_.setLeaving();
    serving_.stop();
}

void EntryHost::tick()
{
    const TimePoint now = clock_.now();
    if (pauseDetector_.observe(now)) {
        journal_.record(LogCategory::Pause, "", "process was paused, new work waits for a read of the platform");
        platform_.refresh();
        peers_.notifyPeers();
    }
    peers_.tick();
    if (now >= nextLinkTick_) {
        nextLinkTick_ = now + linkTickInterval;
        targets_.tick();
    }
    systems_.notifyWaiters();
}

void EntryHost::onCapacityFreed()
{
    if (notificationScheduled_) {
        return;
    }
    notificationScheduled_ = true;
    scheduler_.callAt(clock_.now(), [this, token = std::weak_ptr<int>(lifetimeToken_)] {
        if (!token.expired()) {
            notifyWaiters();
        }
    });
}

void EntryHost::notifyWaiters()
{
    notificationScheduled_ = false;
    systems_.notifyWaiters();
}

CallerService &EntryHost::callerService()
{
    return callerService_;
}

PeerService &EntryHost::peerService()
{
    return peerService_;
}

bool EntryHost::isReady() const
{
    return notReadyReason().empty();
}

std::string EntryHost::notReadyReason() const
{
    if (!serving_.isReady()) {
        return fmt::format("stage is {}", toString(serving_.stage()));
    }
    if (!configuration_.current()->isZoneInService(settings_.zone)) {
        return fmt::format("zone '{}' is out of service", settings_.zone);
    }
    // Just after the start, the platform service that was read may lag behind, so the host also waits for its peers,
    // for at most 2 s.
    if (!peers_.hasContactedAllPeers() && clock_.now() - startedAt_ < peerQueryTimeout) {
        return "waiting for the state of peers";
    }
    return "";
}

const Settings &EntryHost::settings() const
{
    return settings_;
}

const Clock &EntryHost::clock() const
{
    return clock_;
}

ServingController &EntryHost::serving()
{
    return serving_;
}

const ConfigurationController &EntryHost::configuration() const
{
    return configuration_;
}

const MembershipController &EntryHost::membership() const
{
    return membership_;
}

const PlatformWatcher &EntryHost::platform() const
{
    return platform_;
}

const TargetController &EntryHost::targets() const
{
    return targets_;
}

const QuarantineController &EntryHost::quarantine() const
{
    return quarantine_;
}

const PauseDetector &EntryHost::pauseDetector() const
{
    return pauseDetector_;
}

const PeerController &EntryHost::peers() const
{
    return peers_;
}

const SubmitRouter &EntryHost::submitRouter() const
{
    return submitRouter_;
}

const Counters &EntryHost::counters() const
{
    return counters_;
}

const Journal &EntryHost::journal() const
{
    return journal_;
}

std::size_t EntryHost::requestsInFlight() const
{
    return activeRequests_.count();
}

} // namespace magnoliaspan
