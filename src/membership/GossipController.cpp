/*
 * Probes, suspicion and dissemination of updates.
 */
#include "membership/GossipController.h"

#include <algorithm>
#include <bit>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

// Once stable, a host sends one probe and acknowledges one per second: below 5 KB/s with datagrams of 1,400 bytes.
constexpr Duration probeInterval = std::chrono::seconds(1);
// Used until membership is stable, so that all hosts are discovered within a second or two.
constexpr Duration joinProbeInterval = std::chrono::milliseconds(200);
// Membership is considered stable after this time without a new member.
constexpr Duration stableAfter = std::chrono::seconds(3);
// Several round trips between the farthest regions, on slow hosts.
constexpr Duration probeTimeout = std::chrono::milliseconds(700);
// A suspicion and its refutation each need a few rounds of dissemination, possibly through a single zone.
constexpr Duration suspicionTimeout = std::chrono::seconds(10);
constexpr Duration reconnectInterval = std::chrono::seconds(5);
// Urgent updates are pushed without waiting for the next probe; those that arrive within this time are sent together.
constexpr Duration pushDelay = std::chrono::milliseconds(50);
constexpr std::size_t pushFanout = 3;
// Expected number of hosts that notify a suspect. If only a third of the hosts can reach it, at least one of them does so
// in nine of ten cases.
constexpr double expectedNotifiers = 6;
// Random members attached to each datagram, so that the tables of all hosts converge.
constexpr std::size_t steadySampleSize = 3;
constexpr std::size_t joinSampleSize = 30;
constexpr std::size_t maxCrashReportsPerDatagram = 8;
// Reports are sent again, in this many datagrams, once in the interval: below half of the 5 KB/s of a host.
constexpr std::size_t resentDatagrams = 3;
constexpr Duration resendInterval = std::chrono::seconds(1);
// Several exchanges with other hosts; a host that reaches none of them is not kept from serving for longer.
constexpr Duration maxCrashReportWait = std::chrono::seconds(1);
// Hosts that start together agree at once that nothing is known; a host that knows more answers the first probe by then.
constexpr Duration newHostsWait = std::chrono::milliseconds(300);
// Transmissions of an update per doubling of the number of hosts (SWIM proves that a small multiple is enough). New members
// are many when all hosts start together, and are also part of the samples; other updates are few and urgent.
constexpr unsigned newMemberTransmissions = 1;
constexpr unsigned urgentTransmissions = 3;
// Mean time between the exchanges that one host starts.
constexpr Duration exchangeInterval = std::chrono::milliseconds(500);
// A host answers no exchange while its own is pending, so an unanswered one must end soon. Several round trips.
constexpr Duration exchangeTimeout = std::chrono::milliseconds(100);
// One exchange in this many may be with a host of another zone, where traffic is more expensive.
constexpr unsigned otherZoneExchangePeriod = 2;

} // namespace

GossipController::GossipController(const Clock &clock,
                                   Scheduler &scheduler,
                                   Journal &journal,
                                   Counters &counters,
                                   DatagramPort &port,
                                   GossipSettings settings,
                                   std::uint64_t seed)
    : clock_(clock)
    , scheduler_(scheduler)
    , journal_(journal)
    , counters_(counters)
    , port_(port)
    , settings_(std::move(settings))
    , codec_(settings_.key)
    , table_(settings_.self, seed)
    , random_(seed + 1)
    , crashReports_(clock, seed + 2)
    , startedAt_(clock.now())
    , lastNewMemberAt_(clock.now())
    , sharingHosts_(settings_.assumedHosts)
    , loadAverage_(clock)
    , lifetimeToken_(std::make_shared<int>(0))
    , timer_(clock, scheduler, joinProbeInterval, [this] { tick(); })
{
    port_.setDatagramHandler([this, token = std::weak_ptr<int>(lifetimeToken_)](std::string_view text) {
        if (!token.expired()) {
            handleDatagram(text);
        }
    });
}

void GossipController::start()
{
    tick();
    timer_.start();
    scheduleLoadExchange();
}

void GossipController::tick()
{
    const TimePoint now = clock_.now();
    expireSuspects();
    if (now >= nextProbeAt_) {
        nextProbeAt_ = now + (isMembershipStable() ? probeInterval : joinProbeInterval);
        probeNext();
    }
    if (now >= nextReconnectAt_) {
        nextReconnectAt_ = now + reconnectInterval;
        if (const Member *gone = table_.randomGoneMember()) {
            send(gone->address, composeDatagram(DatagramType::Probe, gone, sampleSize()));
        }
        table_.removeExpired(now);
        crashReports_.removeExpired();
    }
    updateSharingHosts();
}

void GossipController::probeNext()
{
    if (const Member *member = table_.nextMemberToProbe()) {
        sendProbe(member->address, member->name);
        return;
    }
    probeSeeds();
}

void GossipController::probeSeeds()
{
    for (const Endpoint &seed : settings_.seeds) {
        if (seed != settings_.self.address) {
            sendProbe(seed, "");
        }
    }
}

void GossipController::sendProbe(const Endpoint &to, const std::string &name)
{
    const std::uint64_t number = ++lastProbeNumber_;
    pendingProbes_[number] = name;
    PeerDatagram datagram = composeDatagram(DatagramType::Probe, table_.find(name), sampleSize());
    datagram.probeNumber = number;
    send(to, datagram);
    scheduler_.callAt(clock_.now() + probeTimeout, [this, token = std::weak_ptr<int>(lifetimeToken_), number] {
        if (!token.expired()) {
            onProbeTimeout(number);
        }
    });
}

void GossipController::onProbeTimeout(std::uint64_t number)
{
    const auto probe = pendingProbes_.extract(number);
    const Member *member = probe.empty() ? nullptr : table_.find(probe.mapped());
    if (member == nullptr || member->state != HostState::Alive) {
        return;
    }
    Member suspect = *member;
    suspect.state = HostState::Suspect;
    applyUpdate(suspect);
    schedulePush();
}

void GossipController::expireSuspects()
{
    const TimePoint now = clock_.now();
    std::vector<Member> gone;
    for (const auto &[name, deadline] : suspicionDeadlines_) {
        const Member *member = table_.find(name);
        if (now >= deadline && member != nullptr && member->state == HostState::Suspect) {
            gone.push_back(*member);
        }
    }
    for (Member &member : gone) {
        member.state = HostState::Gone;
        applyUpdate(member);
    }
}

void GossipController::handleDatagram(std::string_view text)
{
    std::string reason;
    auto datagram = codec_.decode(text, reason);
    if (datagram && datagram->sender.name == table_.self().name) {
        datagram.reset();
        reason = "sender has the name of this host";
    }
    if (!datagram) {
        counters_.add("magnoliaspan_peer_datagrams_refused_total");
        journal_.record(LogCategory::Member, "", fmt::format("datagram refused bytes={} reason=\"{}\"", text.size(), reason));
        return;
    }
    counters_.add("magnoliaspan_peer_datagrams_total");
    if (datagram->load) {
        handleLoadSample(*datagram);
    }
    if (datagram->type == DatagramType::Ack) {
        pendingProbes_.erase(datagram->probeNumber);
    }
    applyUpdate(datagram->sender);
    for (const Member &member : datagram->members) {
        applyUpdate(member);
    }
    handleCrashReports(*datagram);
    if (positionListener_) {
        positionListener_(datagram->position);
    }
    if (reachListener_) {
        reachListener_(datagram->sender.name, datagram->reachesTargets);
    }
    if (datagram->type == DatagramType::Probe && table_.self().state != HostState::Left) {
        const bool countsDiffer = datagram->aliveCount != table_.aliveCount();
        PeerDatagram ack
            = composeDatagram(DatagramType::Ack, table_.find(datagram->sender.name), countsDiffer ? joinSampleSize : sampleSize());
        ack.probeNumber = datagram->probeNumber;
        send(datagram->sender.address, ack);
    }
}

// Updates are not answered, so that two hosts that disagree do not answer each other without end.
void GossipController::handleCrashReports(const PeerDatagram &datagram)
{
    for (const CrashReport &crash : datagram.crashes) {
        if (reportCrash(crash) && crashListener_) {
            crashListener_(crash);
        }
    }
    if (!datagram.crashDigest) {
        return;
    }
    const bool agrees = *datagram.crashDigest == crashReports_.digest();
    crashReportsAgreed_ = crashReportsAgreed_ || (agrees && datagram.hasCrashReports);
    crashReportsAgreedByNewHost_ = crashReportsAgreedByNewHost_ || agrees;
    if (agrees || datagram.type == DatagramType::Update || crashReports_.size() == 0 || clock_.now() < nextResendAt_) {
        return;
    }
    nextResendAt_ = clock_.now() + resendInterval;
    const std::vector<CrashReport> reports = crashReports_.nextInTurn(resentDatagrams * maxCrashReportsPerDatagram);
    counters_.add("magnoliaspan_crash_reports_resent_total", reports.size());
    for (std::size_t first = 0; first < reports.size(); first += maxCrashReportsPerDatagram) {
        PeerDatagram update = composeHeader(DatagramType::Update);
        const std::size_t last = std::min(reports.size(), first + maxCrashReportsPerDatagram);
        update.crashes.assign(reports.begin() + static_cast<std::ptrdiff_t>(first), reports.begin() + static_cast<std::ptrdiff_t>(last));
        send(datagram.sender.address, update);
    }
}

// The time is random, because hosts that start an exchange at the same moment do not answer each other.
void GossipController::scheduleLoadExchange()
{
    std::uniform_int_distribution<Duration::rep> wait(exchangeInterval.count() / 2, exchangeInterval.count() * 3 / 2);
    scheduler_.callAt(clock_.now() + Duration(wait(random_)), [this, token = std::weak_ptr<int>(lifetimeToken_)] {
        if (!token.expired()) {
            startLoadExchange();
            scheduleLoadExchange();
        }
    });
}

void GossipController::startLoadExchange()
{
    const bool ownZone = ++exchangeCount_ % otherZoneExchangePeriod != 0;
    const Member *partner = table_.randomAliveMember(ownZone);
    if (partner == nullptr && ownZone) {
        partner = table_.randomAliveMember(false);
    }
    if (partner == nullptr) {
        return;
    }
    loadAverage_.dropExchange();
    exchangeNumber_ = ++lastProbeNumber_;
    PeerDatagram datagram = composeDatagram(DatagramType::LoadExchange, partner, 0);
    datagram.probeNumber = exchangeNumber_;
    datagram.load = loadAverage_.startExchange();
    send(partner->address, datagram);
    scheduler_.callAt(clock_.now() + exchangeTimeout, [this, token = std::weak_ptr<int>(lifetimeToken_), number = exchangeNumber_] {
        if (!token.expired() && number == exchangeNumber_) {
            exchangeNumber_ = 0;
            loadAverage_.dropExchange();
        }
    });
}

void GossipController::handleLoadSample(const PeerDatagram &datagram)
{
    if (datagram.type == DatagramType::LoadAnswer) {
        if (datagram.probeNumber == exchangeNumber_) {
            loadAverage_.completeExchange(*datagram.load);
            exchangeNumber_ = 0;
        }
        return;
    }
    const auto answer = loadAverage_.answerExchange(*datagram.load);
    if (!answer) {
        return;
    }
    const bool countsDiffer = datagram.aliveCount != table_.aliveCount();
    PeerDatagram reply = composeDatagram(DatagramType::LoadAnswer, table_.find(datagram.sender.name), countsDiffer ? joinSampleSize : 0);
    reply.probeNumber = datagram.probeNumber;
    reply.load = answer;
    send(datagram.sender.address, reply);
}

void GossipController::applyUpdate(const Member &update)
{
    if (update.name == table_.self().name) {
        refuteUpdate(update);
        return;
    }
    const bool isNewMember = table_.find(update.name) == nullptr;
    if (!table_.apply(update, clock_.now())) {
        return;
    }
    (isNewMember ? newMemberQueue_ : stateChangeQueue_).add(update.name);
    if (isNewMember) {
        lastNewMemberAt_ = clock_.now();
    }
    if (update.state == HostState::Suspect) {
        suspicionDeadlines_[update.name] = clock_.now() + suspicionTimeout;
        notifySuspect(update);
    } else {
        suspicionDeadlines_.erase(update.name);
    }
    journal_.record(LogCategory::Member,
                    "",
                    fmt::format("host {} host={} zone={} address={} incarnation={} alive={}",
                                toString(update.state),
                                update.name,
                                update.zone,
                                update.address.toString(),
                                update.incarnation,
                                table_.aliveCount() + 1));
}

// A suspicion is sent to the suspect by an expected constant number of hosts, whatever the number of hosts, since some of
// them may reach it.
void GossipController::notifySuspect(const Member &suspect)
{
    const double probability = expectedNotifiers / static_cast<double>(std::max<std::size_t>(1, table_.aliveCount()));
    if (std::uniform_real_distribution<double>(0, 1)(random_) < probability) {
        send(suspect.address, composeDatagram(DatagramType::Update, &suspect, 0));
    }
}

// Such an update refers to an earlier run of this host, or its sender could not reach this host for a while.
void GossipController::refuteUpdate(const Member &update)
{
    const Member &self = table_.self();
    if (self.state == HostState::Left || !supersedes(update, self)) {
        return;
    }
    table_.raiseIncarnationAbove(update.incarnation);
    schedulePush();
    journal_.record(LogCategory::Member,
                    "",
                    fmt::format("refuted update about this host state={} incarnation={}", toString(update.state), self.incarnation));
}

bool GossipController::reportCrash(const CrashReport &crash)
{
    switch (crashReports_.add(crash)) {
    case CrashReportBuffer::AddResult::New:
        schedulePush();
        return true;
    case CrashReportBuffer::AddResult::Known:
        return false;
    case CrashReportBuffer::AddResult::Full:
        counters_.add("magnoliaspan_crash_reports_left_out_total");
        break;
    }
    return false;
}

bool GossipController::hasCrashReports() const
{
    const Duration sinceStart = clock_.now() - startedAt_;
    return crashReportsAgreed_ || sinceStart >= maxCrashReportWait || (crashReportsAgreedByNewHost_ && sinceStart >= newHostsWait);
}

void GossipController::schedulePush()
{
    if (pushScheduled_) {
        return;
    }
    pushScheduled_ = true;
    scheduler_.callAt(clock_.now() + pushDelay, [this, token = std::weak_ptr<int>(lifetimeToken_)] {
        if (!token.expired()) {
            pushScheduled_ = false;
            push();
        }
    });
}

void GossipController::push()
{
    counters_.add("magnoliaspan_peer_pushes_total");
    sendToRandomMembers();
    // Without any other host, the reports are sent with the first datagram to one instead.
    if (crashReports_.hasQueued() && table_.aliveCount() > 0) {
        schedulePush();
    }
}

void GossipController::sendToRandomMembers()
{
    for (const Member &member : table_.randomMembers(pushFanout)) {
        send(member.address, composeDatagram(DatagramType::Update, &member, 0));
    }
}

std::size_t GossipController::sampleSize() const
{
    return isMembershipStable() ? steadySampleSize : joinSampleSize;
}

PeerDatagram GossipController::composeHeader(DatagramType type) const
{
    PeerDatagram datagram;
    datagram.type = type;
    datagram.sender = table_.self();
    datagram.aliveCount = table_.aliveCount();
    datagram.position = position_;
    datagram.reachesTargets = reachesTargets_;
    datagram.crashDigest = crashReports_.digest();
    datagram.hasCrashReports = hasCrashReports();
    return datagram;
}

PeerDatagram GossipController::composeDatagram(DatagramType type, const Member *to, std::size_t sample)
{
    // Room for the hash, the numbers, the load sample, the position, the digest and the brackets.
    constexpr std::size_t headerBytes = 200;
    // Three numbers of 20 digits, two ages of 8, commas and brackets.
    constexpr std::size_t crashBytes = 83;
    PeerDatagram datagram = composeHeader(type);
    datagram.crashes = crashReports_.takeQueued(maxCrashReportsPerDatagram, maxTransmissions(urgentTransmissions));
    std::size_t room = PeerDatagramCodec::maxBytes - headerBytes - PeerDatagramCodec::maxEncodedSize(table_.self())
                       - crashBytes * datagram.crashes.size();
    const auto include = [&](const Member &member) {
        const std::size_t size = PeerDatagramCodec::maxEncodedSize(member);
        if (size > room) {
            return;
        }
        room -= size;
        datagram.members.push_back(member);
    };
    // A receiver that is suspect or gone gets the update about itself first, so that it can refute it.
    if (to != nullptr && to->state != HostState::Alive) {
        include(*to);
    }
    const auto includeQueued = [&](UpdateQueue<std::string> &queue, unsigned transmissionsPerDoubling) {
        const std::size_t maxMembers = room / PeerDatagramCodec::maxEncodedSize(table_.self());
        for (const std::string &name : queue.takeNext(maxMembers, maxTransmissions(transmissionsPerDoubling))) {
            if (const Member *member = table_.find(name)) {
                include(*member);
            }
        }
    };
    includeQueued(stateChangeQueue_, urgentTransmissions);
    includeQueued(newMemberQueue_, newMemberTransmissions);
    for (const Member &member : table_.randomMembers(sample)) {
        include(member);
    }
    return datagram;
}

void GossipController::send(const Endpoint &to, const PeerDatagram &datagram)
{
    port_.send(to, codec_.encode(datagram));
}

bool GossipController::hasNoOtherSeed() const
{
    return std::all_of(
        settings_.seeds.begin(), settings_.seeds.end(), [this](const Endpoint &seed) { return seed == settings_.self.address; });
}

bool GossipController::isMembershipStable() const
{
    return (table_.aliveCount() > 0 || hasNoOtherSeed()) && clock_.now() - lastNewMemberAt_ >= stableAfter;
}

unsigned GossipController::maxTransmissions(unsigned transmissionsPerDoubling) const
{
    return transmissionsPerDoubling * static_cast<unsigned>(std::bit_width(table_.aliveCount() + 1));
}

void GossipController::updateSharingHosts()
{
    wasStable_ = wasStable_ || isMembershipStable();
    // A host that has just started takes a small share of the limits until it knows the others, which then count it too.
    const unsigned knownHosts = static_cast<unsigned>(table_.aliveCount()) + 1;
    const unsigned count
        = wasStable_ ? table_.countSharingHosts(settings_.zones, clock_.now()) : std::max(knownHosts, settings_.assumedHosts);
    if (count == sharingHosts_) {
        return;
    }
    journal_.record(LogCategory::Member, "", fmt::format("hosts sharing the limits now={} before={}", count, sharingHosts_));
    sharingHosts_ = count;
    if (sharingHostsListener_) {
        sharingHostsListener_(count);
    }
}

void GossipController::leave()
{
    table_.markLeft();
    sendToRandomMembers();
}

void GossipController::setSeeds(std::vector<Endpoint> seeds)
{
    settings_.seeds = std::move(seeds);
}

void GossipController::onCrashReport(std::function<void(const CrashReport &)> listener)
{
    crashListener_ = std::move(listener);
}

void GossipController::onSharingHostsChanged(std::function<void(unsigned)> listener)
{
    sharingHostsListener_ = std::move(listener);
}

void GossipController::setPosition(const StatePosition &position)
{
    position_ = position;
}

void GossipController::onPeerPosition(std::function<void(const StatePosition &)> listener)
{
    positionListener_ = std::move(listener);
}

void GossipController::setReachesTargets(bool reaches)
{
    if (reachesTargets_ != reaches) {
        reachesTargets_ = reaches;
        schedulePush();
    }
}

void GossipController::onPeerReach(std::function<void(const std::string &, bool)> listener)
{
    reachListener_ = std::move(listener);
}

const Member &GossipController::self() const
{
    return table_.self();
}

std::vector<Member> GossipController::aliveMembers(const std::optional<std::string> &zone) const
{
    return table_.aliveMembers(zone);
}

unsigned GossipController::sharingHosts() const
{
    return sharingHosts_;
}

std::size_t GossipController::aliveCount() const
{
    return table_.aliveCount();
}

void GossipController::setLoad(double load)
{
    loadAverage_.setLoad(load);
}

double GossipController::loadWeight() const
{
    return loadAverage_.weight();
}

} // namespace magnoliaspan
