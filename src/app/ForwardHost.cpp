/*
 * Part app: the wiring of a forwarding host.
 */
#include "app/ForwardHost.h"

#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr Duration replicaTickInterval = std::chrono::milliseconds(200);

} // namespace

ForwardHost::ForwardHost(const ForwardHostEnvironment &environment, ForwardSettings settings)
    : settings_(std::move(settings))
    , clock_(environment.clock)
    , scheduler_(environment.scheduler)
    , journal_(environment.clock, environment.logSink, settings_.journalLines)
    , pause_(environment.clock.bootNow())
    , serving_(environment.clock, environment.scheduler, journal_, settings_.shutdownAnnounce, settings_.shutdownLimit)
    , active_(serving_)
    , registry_(journal_)
    , environment_{environment.clock,
                   environment.scheduler,
                   environment.transport,
                   journal_,
                   counters_,
                   environment.codec,
                   environment.seed}
    , replicas_(environment_, registry_, {settings_.zone, settings_.regionOfZone}, settings_.limits)
    , discovery_(environment.clock,
                 environment.scheduler,
                 journal_,
                 environment.discovery,
                 registry_,
                 settings_.watchTime,
                 environment.seed)
    , callers_(environment_, registry_, replicas_, active_, environment.seed + 1)
{
    connectRegistry();
}

ForwardHost::~ForwardHost()
{
    scheduler_.cancel(tickTimer_);
}

void ForwardHost::connectRegistry()
{
    Registry::Listener listener;
    listener.tableAccepted = [this](const RoutingTablePtr &table) {
        replicas_.tableAccepted();
        if (limitsListener_) {
            limitsListener_(table->limits());
        }
        serving_.configurationAccepted();
    };
    listener.targetChanged = [this](const TargetEntry &entry) { replicas_.targetChanged(entry); };
    listener.targetRemoved = [this](const std::string &id) { replicas_.targetRemoved(id); };
    listener.zoneChanged = [this](const std::string &zone, bool evacuated) { replicas_.zoneChanged(zone, evacuated); };
    listener.readingApplied = [this] { callers_.readingApplied(); };
    registry_.setListener(std::move(listener));
}

void ForwardHost::start()
{
    journal_.note(
        Part::Shutdown, "", fmt::format("host started host={} zone={} hosts={}", settings_.host, settings_.zone, settings_.limits.hosts));
    discovery_.start();
    scheduleTick();
}

void ForwardHost::stop()
{
    serving_.stop();
}

void ForwardHost::reload(const ForwardSettings &settings)
{
    settings_.limits = settings.limits;
    replicas_.setLimits(settings.limits);
    journal_.note(Part::Shutdown,
                  "",
                  fmt::format("settings reloaded hosts={} extra_send_ratio={} extra_send_slack={} cold_slack={}",
                              settings.limits.hosts,
                              settings.limits.extraSendRatio,
                              settings.limits.extraSendSlack,
                              settings.limits.coldSlack));
}

void ForwardHost::onListenerLimits(std::function<void(const ListenerLimits &)> listener)
{
    limitsListener_ = std::move(listener);
}

std::string ForwardHost::notReadyReason() const
{
    if (!serving_.ready()) {
        return fmt::format("stage is {}", toString(serving_.stage()));
    }
    return registry_.targets().empty() ? "no target is known" : "";
}

void ForwardHost::scheduleTick()
{
    tickTimer_ = scheduler_.callAt(clock_.now() + tickInterval, [this] {
        tick();
        scheduleTick();
    });
}

void ForwardHost::tick()
{
    const TimePoint now = clock_.now();
    if (pause_.observe(clock_.bootNow())) {
        journal_.note(Part::Pause, "", "process was paused, what is published is read again");
        discovery_.refresh();
    }
    if (now >= nextReplicaTick_) {
        nextReplicaTick_ = now + replicaTickInterval;
        replicas_.tick();
    }
}

ForwardService &ForwardHost::callers()
{
    return callers_;
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
           + fmt::format("magnoliaspan_requests_in_flight {}\nmagnoliaspan_replicas {}\nmagnoliaspan_target_connections {}\n"
                         "magnoliaspan_table_version {}\n",
                         active_.count(),
                         replicas_.size(),
                         replicas_.connections(),
                         registry_.table() ? registry_.table()->version() : 0);
}

} // namespace magnoliaspan
