/*
 * Part membership: probes, suspicion and the spread of news.
 */
#include "membership/GossipController.h"

#include <algorithm>
#include <bit>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

// A host's rest is one probe sent and one answered a second: below 5 KB/s with datagrams of 1,400 bytes.
constexpr Duration probeInterval = std::chrono::seconds(1);
// Until the hosts are known, so that this takes a second or two.
constexpr Duration joinInterval = std::chrono::milliseconds(200);
// Once no host was met for so long, all are taken to be known.
constexpr Duration settleTime = std::chrono::seconds(3);
// Many round trips between the farthest regions, on slow hosts.
constexpr Duration answerTime = std::chrono::milliseconds(700);
// A suspicion and its denial travel in a few rounds of news each, perhaps by way of one zone only.
constexpr Duration suspectTime = std::chrono::seconds(10);
constexpr Duration lostTrialInterval = std::chrono::seconds(5);
// News that many wait for are pushed on at once, gathered for this long.
constexpr Duration pushDelay = std::chrono::milliseconds(50);
constexpr std::size_t pushTargets = 3;
// Expected number of hosts that tell a suspect; with a third of the hosts able to reach it, one does in nine of ten cases.
constexpr double tellers = 6;
// At rest a few members go along with each datagram, so that differences between hosts vanish.
constexpr std::size_t restSample = 3;
constexpr std::size_t joinSample = 30;
constexpr std::size_t maxCrashes = 12;
// Times that news are handed on, per doubling of the hosts (SWIM proves that a small multiple is enough). Newcomers are
// many when all hosts start together, and also come with the samples; other news are few and urgent.
constexpr unsigned timesNewcomer = 1;
constexpr unsigned timesUrgent = 3;
constexpr Duration crashMemory = QuarantineController::lifetime;
constexpr std::size_t maxRememberedCrashes = 4'000;

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
    , lastNewcomer_(clock.now())
    , hosts_(settings_.assumedHosts)
    , alive_(std::make_shared<int>(0))
    , ticker_(clock, scheduler, joinInterval, [this] { tick(); })
{
    port_.setDatagramHandler([this, alive = std::weak_ptr<int>(alive_)](std::string_view text) {
        if (!alive.expired()) {
            received(text);
        }
    });
}

void GossipController::start()
{
    tick();
    ticker_.start();
}

void GossipController::tick()
{
    const TimePoint now = clock_.now();
    expireSuspects();
    if (now >= nextProbe_) {
        nextProbe_ = now + (settled() ? probeInterval : joinInterval);
        probe();
    }
    if (now >= nextLostTrial_) {
        nextLostTrial_ = now + lostTrialInterval;
        if (const Member *lost = table_.anyLost()) {
            send(lost->address, compose(PeerPurpose::Probe, lost, usualSample()));
        }
        table_.forget(now);
        std::erase_if(heardCrashes_, [now](const auto &entry) { return now - entry.second > crashMemory; });
    }
    countHosts();
}

void GossipController::probe()
{
    if (const Member *member = table_.nextProbe()) {
        probeLater(member->address, member->name);
        return;
    }
    meetSeeds();
}

void GossipController::meetSeeds()
{
    for (const Endpoint &seed : settings_.seeds) {
        if (seed != settings_.self.address) {
            probeLater(seed, "");
        }
    }
}

void GossipController::probeLater(const Endpoint &to, const std::string &name)
{
    const std::uint64_t number = ++lastProbe_;
    probes_[number] = name;
    PeerDatagram datagram = compose(PeerPurpose::Probe, table_.find(name), usualSample());
    datagram.number = number;
    send(to, datagram);
    scheduler_.callAt(clock_.now() + answerTime, [this, alive = std::weak_ptr<int>(alive_), number] {
        if (!alive.expired()) {
            unanswered(number);
        }
    });
}

void GossipController::unanswered(std::uint64_t number)
{
    const auto probe = probes_.extract(number);
    const Member *member = probe.empty() ? nullptr : table_.find(probe.mapped());
    if (member == nullptr || member->state != HostState::Alive) {
        return;
    }
    Member suspect = *member;
    suspect.state = HostState::Suspect;
    learn(suspect);
    pushSoon();
}

void GossipController::expireSuspects()
{
    const TimePoint now = clock_.now();
    std::vector<Member> gone;
    for (const auto &[name, until] : suspects_) {
        const Member *member = table_.find(name);
        if (now >= until && member != nullptr && member->state == HostState::Suspect) {
            gone.push_back(*member);
        }
    }
    for (Member &member : gone) {
        member.state = HostState::Gone;
        learn(member);
    }
}

void GossipController::received(std::string_view text)
{
    std::string reason;
    auto datagram = codec_.decode(text, reason);
    if (datagram && datagram->sender.name == table_.self().name) {
        datagram.reset();
        reason = "its sender has this host's name";
    }
    if (!datagram) {
        counters_.add("magnoliaspan_peer_datagrams_refused_total");
        journal_.record(LogCategory::Member, "", fmt::format("datagram refused bytes={} reason=\"{}\"", text.size(), reason));
        return;
    }
    counters_.add("magnoliaspan_peer_datagrams_total");
    if (datagram->purpose == PeerPurpose::Answer) {
        probes_.erase(datagram->number);
    }
    learn(datagram->sender);
    for (const Member &member : datagram->members) {
        learn(member);
    }
    for (const CrashReport &crash : datagram->crashes) {
        if (report(crash) && crashListener_) {
            crashListener_(crash);
        }
    }
    if (revisionListener_) {
        revisionListener_(datagram->revision);
    }
    if (datagram->purpose == PeerPurpose::Probe && table_.self().state != HostState::Left) {
        const bool differ = datagram->alive != table_.alive();
        PeerDatagram answer = compose(PeerPurpose::Answer, table_.find(datagram->sender.name), differ ? joinSample : usualSample());
        answer.number = datagram->number;
        send(datagram->sender.address, answer);
    }
}

void GossipController::learn(const Member &news)
{
    if (news.name == table_.self().name) {
        learnOfSelf(news);
        return;
    }
    const bool newcomer = table_.find(news.name) == nullptr;
    if (!table_.learn(news, clock_.now())) {
        return;
    }
    (newcomer ? freshNewcomers_ : freshChanges_).add(news.name);
    if (newcomer) {
        lastNewcomer_ = clock_.now();
    }
    if (news.state == HostState::Suspect) {
        suspects_[news.name] = clock_.now() + suspectTime;
        tellSuspect(news);
    } else {
        suspects_.erase(news.name);
    }
    journal_.record(LogCategory::Member,
                    "",
                    fmt::format("host {} host={} zone={} address={} incarnation={} alive={}",
                                toString(news.state),
                                news.name,
                                news.zone,
                                news.address.toString(),
                                news.incarnation,
                                table_.alive() + 1));
}

// Some of those that hear of a suspicion tell the host itself, whatever the number of hosts: one of them may reach it.
void GossipController::tellSuspect(const Member &suspect)
{
    const double share = tellers / static_cast<double>(std::max<std::size_t>(1, table_.alive()));
    if (std::uniform_real_distribution<double>(0, 1)(random_) < share) {
        send(suspect.address, compose(PeerPurpose::News, &suspect, 0));
    }
}

// Others speak of an earlier start of this host, or could not reach it for a while.
void GossipController::learnOfSelf(const Member &news)
{
    const Member &self = table_.self();
    if (self.state == HostState::Left || !supersedes(news, self)) {
        return;
    }
    table_.outlive(news.incarnation);
    pushSoon();
    journal_.record(LogCategory::Member,
                    "",
                    fmt::format("denied what is said of this host state={} incarnation={}", toString(news.state), self.incarnation));
}

bool GossipController::report(const CrashReport &crash)
{
    if (heardCrashes_.size() >= maxRememberedCrashes && !heardCrashes_.contains(crash)) {
        counters_.add("magnoliaspan_crash_reports_left_out_total");
        return false;
    }
    if (!heardCrashes_.emplace(crash, clock_.now()).second) {
        return false;
    }
    freshCrashes_.add(crash);
    pushSoon();
    return true;
}

void GossipController::pushSoon()
{
    if (pushing_) {
        return;
    }
    pushing_ = true;
    scheduler_.callAt(clock_.now() + pushDelay, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            pushing_ = false;
            push();
        }
    });
}

void GossipController::push()
{
    counters_.add("magnoliaspan_peer_pushes_total");
    tellSome();
    // Without any other host they go out with the first datagram to one.
    if (!freshCrashes_.empty() && table_.alive() > 0) {
        pushSoon();
    }
}

void GossipController::tellSome()
{
    for (const Member &member : table_.sample(pushTargets)) {
        send(member.address, compose(PeerPurpose::News, &member, 0));
    }
}

std::size_t GossipController::usualSample() const
{
    return settled() ? restSample : joinSample;
}

PeerDatagram GossipController::compose(PeerPurpose purpose, const Member *to, std::size_t sample)
{
    // Room for the hash, the sender, the numbers and the brackets.
    constexpr std::size_t headerBytes = 200;
    constexpr std::size_t crashBytes = 45;
    PeerDatagram datagram;
    datagram.purpose = purpose;
    datagram.sender = table_.self();
    datagram.alive = table_.alive();
    datagram.revision = revision_;
    datagram.crashes = freshCrashes_.take(maxCrashes, timesHandedOn(timesUrgent));
    std::size_t room = PeerDatagramCodec::maxBytes - headerBytes - crashBytes * datagram.crashes.size();
    const auto include = [&](const Member &member) {
        const std::size_t size = PeerDatagramCodec::sizeOf(member);
        if (size > room) {
            return;
        }
        room -= size;
        datagram.members.push_back(member);
    };
    // A host that is held for lost hears of it first, so that it can deny it.
    if (to != nullptr && to->state != HostState::Alive) {
        include(*to);
    }
    const auto includeFresh = [&](FreshNews<std::string> &fresh, unsigned times) {
        const std::size_t fitting = room / PeerDatagramCodec::sizeOf(table_.self());
        for (const std::string &name : fresh.take(fitting, timesHandedOn(times))) {
            if (const Member *member = table_.find(name)) {
                include(*member);
            }
        }
    };
    includeFresh(freshChanges_, timesUrgent);
    includeFresh(freshNewcomers_, timesNewcomer);
    for (const Member &member : table_.sample(sample)) {
        include(member);
    }
    return datagram;
}

void GossipController::send(const Endpoint &to, const PeerDatagram &datagram)
{
    port_.send(to, codec_.encode(datagram));
}

bool GossipController::alone() const
{
    return std::all_of(
        settings_.seeds.begin(), settings_.seeds.end(), [this](const Endpoint &seed) { return seed == settings_.self.address; });
}

bool GossipController::settled() const
{
    return (table_.alive() > 0 || alone()) && clock_.now() - lastNewcomer_ >= settleTime;
}

unsigned GossipController::timesHandedOn(unsigned timesPerDoubling) const
{
    return timesPerDoubling * static_cast<unsigned>(std::bit_width(table_.alive() + 1));
}

void GossipController::countHosts()
{
    known_ = known_ || settled();
    // A host that has just started shares little until it knows the others, which then count it in.
    const unsigned met = static_cast<unsigned>(table_.alive()) + 1;
    const unsigned count = known_ ? table_.sharing(settings_.zones, clock_.now()) : std::max(met, settings_.assumedHosts);
    if (count == hosts_) {
        return;
    }
    journal_.record(LogCategory::Member, "", fmt::format("hosts that share bounds now={} before={}", count, hosts_));
    hosts_ = count;
    if (hostsListener_) {
        hostsListener_(count);
    }
}

void GossipController::leave()
{
    table_.leave();
    tellSome();
}

void GossipController::setSeeds(std::vector<Endpoint> seeds)
{
    settings_.seeds = std::move(seeds);
}

void GossipController::onCrash(std::function<void(const CrashReport &)> listener)
{
    crashListener_ = std::move(listener);
}

void GossipController::onHosts(std::function<void(unsigned)> listener)
{
    hostsListener_ = std::move(listener);
}

void GossipController::setRevision(std::int64_t revision)
{
    revision_ = revision;
}

void GossipController::onRevision(std::function<void(std::int64_t)> listener)
{
    revisionListener_ = std::move(listener);
}

const Member &GossipController::self() const
{
    return table_.self();
}

std::vector<Member> GossipController::aliveIn(const std::optional<std::string> &zone) const
{
    return table_.aliveIn(zone);
}

unsigned GossipController::hosts() const
{
    return hosts_;
}

std::size_t GossipController::alive() const
{
    return table_.alive();
}

} // namespace magnoliaspan
