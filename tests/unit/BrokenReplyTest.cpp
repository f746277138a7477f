/*
 * Unit tests of responses that are not valid HTTP, from the bytes that a target, another host or the store sends to what a caller
 * gets: a forwarding host with sockets to its targets and without any to callers and hosts.
 */
#include "ForwardFixture.h"
#include "magnoliaspan/net.h"
#include "platform/Adapter.h"
#include "standins/RawTarget.h"
#include "transport/SingleCall.h"
#include "transport/TransportError.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using std::chrono::milliseconds;

namespace {

/// Datagrams to other hosts, which do not exist.
class NullDatagrams : public DatagramPort
{
public:
    void send(const Endpoint &, std::string_view) override { }
    void setDatagramHandler(Handler) override { }
};

/// Bytes that are no valid response, for $ID see RawTarget.
struct BrokenReply {
    std::string name;
    std::string bytes;
};

const std::string signature = "X-Magnoliaspan-Response-Signature: s.$ID\r\n";
const std::string idField = "X-Magnoliaspan-Request-Id: $ID\r\n";

/// \returns a response that is complete but for what \p statusLine and \p fields make of it.
std::string reply(const std::string &statusLine, const std::string &fields = "", const std::string &body = "broken")
{
    return statusLine + "\r\n" + idField + signature + fields + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body;
}

std::string soundReply(const std::string &body = "sound")
{
    return reply("HTTP/1.1 200 OK", "", body);
}

/// One host, whose targets send prepared bytes.
class BrokenReplyFixture
{
public:
    BrokenReplyFixture()
    {
        ForwardSettings settings;
        settings.host = "host";
        settings.zone = "here";
        settings.regionOfZone = {{"here", "home"}};
        settings.peerAddress = {"127.0.0.1", 1};
        settings.peerKey = "key";
        settings.shutdownAnnounce = std::chrono::seconds(2);
        settings.shutdownLimit = std::chrono::seconds(5);
        settings.watchTime = std::chrono::seconds(5);
        settings.journalLines = 1'000;
        settings.limits.hosts = 1;
        settings.limits.extraSendRatio = 1;
        settings.limits.extraSendSlack = 100;
        host_ = std::make_unique<ForwardHost>(ForwardHostEnvironment{clock_,
                                                                     loop_,
                                                                     transport_,
                                                                     discovery_,
                                                                     peers_,
                                                                     decoder_,
                                                                     *codec_,
                                                                     [this](std::string_view line) { log.emplace_back(line); },
                                                                     1},
                                              settings);
        host_->start();
    }

    RawTarget &addTarget(const std::string &service, const std::string &response)
    {
        TargetEntry entry;
        entry.id = fmt::format("i-{}", targets_.size());
        entry.service = service;
        entry.zone = "here";
        entry.slots = 8;
        entry.startedAt = 1;
        targets_.push_back(std::make_unique<RawTarget>(loop_, response));
        entry.address = targets_.back()->endpoint();
        entries_.push_back(entry);
        return *targets_.back();
    }

    /// Publishes all targets and one route to \p destination, at most two targets for each request.
    void publish(Destination destination, Repeatability repeatability)
    {
        Route route = ForwardFixture::route("r", std::move(destination), repeatability);
        route.latencyGoal = std::chrono::seconds(1);
        DiscoveryReadResult reading;
        std::map<std::string, ServiceSpec> services;
        for (const TargetEntry &entry : entries_) {
            reading.changes.emplace_back(TargetPublished{entry});
            services[entry.service] = {entry.service, 60, std::chrono::seconds(3), 0};
        }
        std::vector<ServiceSpec> specs;
        specs.reserve(services.size());
        for (const auto &[name, service] : services) {
            specs.push_back(service);
        }
        reading.changes.emplace_back(
            TablePublished{std::make_shared<RoutingTable>(1, std::vector<Route>{route}, std::move(specs), ListenerLimits{})});
        reading.position.revision = 1;
        discovery_.publish(std::move(reading));
        run(milliseconds(20));
    }

    /// Starts a request; the result has status 0 until it is answered, which stops the loop.
    std::shared_ptr<ServiceReply> start()
    {
        const std::string id = fmt::format("q{}", ++lastRequest_);
        ServiceRequest request;
        request.method = "GET";
        request.target = "/r/x";
        request.headers = {{"Host", "h"}, {"X-Magnoliaspan-Request-Id", id}, {"X-Magnoliaspan-Request-Deadline", "1500"}};
        auto result = std::make_shared<ServiceReply>();
        result->status = 0;
        host_->forwardService().handle(std::move(request), [this, result](ServiceReply reply) {
            *result = std::move(reply);
            loop_.stop();
        });
        return result;
    }

    ServiceReply call()
    {
        const auto result = start();
        run(std::chrono::seconds(3));
        return *result;
    }

    /// Runs the loop until it is stopped, for \p duration at most.
    void run(Duration duration)
    {
        const TimerId limit = loop_.callAt(clock_.now() + duration, [this] { loop_.stop(); });
        loop_.run();
        loop_.cancel(limit);
    }

    std::vector<std::string> log; ///< Lines of the host.

private:
    SystemClock clock_;
    EventLoop loop_{clock_};
    HttpTransport transport_{loop_};
    NullDatagrams peers_;
    NullItemDecoder decoder_;
    std::unique_ptr<ForwardCodec> codec_ = platform::makeCodec();
    ScriptedDiscovery discovery_{loop_, clock_};
    std::vector<std::unique_ptr<RawTarget>> targets_;
    std::vector<TargetEntry> entries_;
    unsigned lastRequest_ = 0;
    std::unique_ptr<ForwardHost> host_;
};

std::string headerOf(const ServiceReply &reply, std::string_view name)
{
    for (const WireHeader &header : reply.headers) {
        if (sameHeader(header.name, name)) {
            return header.value;
        }
    }
    return "";
}

/// Checks that none of \p replies reaches a caller, on any way that a response takes.
void checkNotDelivered(const std::vector<BrokenReply> &replies)
{
    for (const BrokenReply &broken : replies) {
        INFO(broken.name);
        SECTION("request that must not run twice: " + broken.name)
        {
            BrokenReplyFixture fixture;
            RawTarget &first = fixture.addTarget("s", broken.bytes);
            RawTarget &second = fixture.addTarget("s", broken.bytes);
            fixture.publish(ServiceDestination{"s"}, Repeatability::NonIdempotent);
            const ServiceReply got = fixture.call();
            // 503 would promise that it has not run.
            CHECK(got.status == 502);
            CHECK(headerOf(got, "X-Magnoliaspan-Response-Signature").empty());
            CHECK(first.requests() + second.requests() == 1);
            first.setResponse(soundReply());
            second.setResponse(soundReply());
            for (int number = 0; number < 4; ++number) {
                CHECK(fixture.call().status == 200);
            }
            CHECK(first.requestsOnOldConnections() + second.requestsOnOldConnections() == 0);
        }
        SECTION("request that may run at a second target: " + broken.name)
        {
            BrokenReplyFixture fixture;
            RawTarget &faulty = fixture.addTarget("s", broken.bytes);
            fixture.addTarget("s", soundReply());
            fixture.publish(ServiceDestination{"s"}, Repeatability::Idempotent);
            for (int number = 0; number < 6; ++number) {
                const ServiceReply got = fixture.call();
                CHECK(got.status == 200);
                CHECK(got.body == "sound");
                CHECK(headerOf(got, "X-Magnoliaspan-Response-Signature") == fmt::format("s.q{}", number + 1));
                CHECK(got.headers.size() == 2);
            }
            CHECK(faulty.requests() > 0);
        }
        SECTION("second attempt: " + broken.name)
        {
            BrokenReplyFixture fixture;
            RawTarget &one = fixture.addTarget("s", soundReply());
            RawTarget &other = fixture.addTarget("s", soundReply());
            fixture.publish(ServiceDestination{"s"}, Repeatability::Idempotent);
            fixture.call();
            one.setDelay(milliseconds(100));
            other.setDelay(milliseconds(100));
            const unsigned before = one.requests();
            const auto got = fixture.start();
            fixture.run(milliseconds(3));
            RawTarget &second = one.requests() > before ? other : one;
            const unsigned secondBefore = second.requests();
            second.setDelay(milliseconds(0));
            second.setResponse(broken.bytes);
            fixture.run(std::chrono::seconds(3));
            CHECK(got->status == 200);
            CHECK(got->body == "sound");
            CHECK(second.requests() == secondBefore + 1);
        }
        SECTION("shard of a gather: " + broken.name)
        {
            BrokenReplyFixture fixture;
            const std::string record(16, 'r');
            std::string brokenPart = broken.bytes;
            fixture.addTarget("a", brokenPart);
            fixture.addTarget("a", brokenPart);
            fixture.addTarget("b", soundReply(record));
            fixture.publish(ShardedDestination{{"a", "b"}, 4, 0.5}, Repeatability::Idempotent);
            const ServiceReply got = fixture.call();
            CHECK(got.status == 200);
            CHECK(got.body == record);
            CHECK(headerOf(got, "X-Magnoliaspan-Missing-Parts") == "1");
            CHECK(headerOf(got, "X-Magnoliaspan-Part-Stamps") == "s.q1");
        }
    }
}

} // namespace

TEST_CASE("response: a status that is not a final one is no answer")
{
    checkNotDelivered({
        {"status 000", reply("HTTP/1.1 000 -")},
        {"status 000 without a signature", "HTTP/1.1 000 -\r\n" + idField + "Content-Length: 6\r\n\r\nbroken"},
        {"status 099", reply("HTTP/1.1 099 -")},
        {"status 101, for which nobody asked", "HTTP/1.1 101 Switching\r\n" + idField + signature + "Upgrade: x\r\n\r\nbroken"},
        {"status 600", reply("HTTP/1.1 600 -")},
        {"status 999", reply("HTTP/1.1 999 -")},
    });
}

TEST_CASE("response: an interim response is not the answer")
{
    SECTION("alone")
    {
        const std::string interim = "HTTP/1.1 103 Early Hints\r\n" + idField + signature + "\r\n";
        BrokenReplyFixture fixture;
        RawTarget &target = fixture.addTarget("s", interim);
        target.closeAfterResponses();
        fixture.publish(ServiceDestination{"s"}, Repeatability::NonIdempotent);
        CHECK(fixture.call().status == 502);
        CHECK(target.requests() == 1);
    }
    SECTION("before the answer")
    {
        for (const char *first : {"100 Continue", "102 Processing", "103 Early Hints", "199 -"}) {
            INFO(first);
            BrokenReplyFixture fixture;
            const std::string head = fmt::format("HTTP/1.1 {}\r\n", first);
            const std::string interim = fmt::format("{0}{1}{2}\r\n{0}\r\n", head, idField, signature);
            RawTarget &target = fixture.addTarget("s", interim + soundReply());
            fixture.publish(ServiceDestination{"s"}, Repeatability::NonIdempotent);
            for (int number = 0; number < 3; ++number) {
                const ServiceReply got = fixture.call();
                CHECK(got.status == 200);
                CHECK(got.body == "sound");
                CHECK(got.headers.size() == 2);
            }
            CHECK(target.requests() == 3);
            // The interim responses belong to the request, so the connection stays in use.
            CHECK(target.connections() == 1);
        }
    }
    SECTION("in place of one that says that the request has not run")
    {
        BrokenReplyFixture fixture;
        const std::string refusal = "HTTP/1.1 102 Processing\r\n" + idField + "X-Magnoliaspan-Not-Executed: 1\r\n\r\n" + soundReply();
        RawTarget &one = fixture.addTarget("s", refusal);
        RawTarget &other = fixture.addTarget("s", refusal);
        fixture.publish(ServiceDestination{"s"}, Repeatability::NonIdempotent);
        CHECK(fixture.call().body == "sound");
        CHECK(one.requests() + other.requests() == 1);
    }
}

TEST_CASE("response: a line of its head that continues the one before makes it no answer")
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string end = "Content-Length: 6\r\n\r\nbroken";
    checkNotDelivered({
        {"blank, behind the signature", start + idField + signature + " X-A: b\r\n" + end},
        {"tab, behind the signature", start + idField + signature + "\tX-A: b\r\n" + end},
        {"blank alone", start + idField + signature + " \r\n" + end},
        {"behind an empty field", start + idField + "X-B:\r\n X-A: b\r\n" + signature + end},
        {"in the length", start + idField + signature + "Content-Length:\r\n 6\r\n\r\nbroken"},
        {"behind the last field", start + idField + signature + "Content-Length: 6\r\n X-A: b\r\n\r\nbroken"},
        {"first line", start + " X-A: b\r\n" + idField + signature + end},
        {"in a trailer", start + idField + signature + "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\nX-B: c\r\n X-A: b\r\n\r\n"},
        {"first line of the trailers",
         start + idField + signature + "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n X-A: b\r\n\r\n"},
    });
}

TEST_CASE("response: trailers are no fields of its head")
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + idField;
    const auto chunked
        = [](const std::string &trailers) { return "Transfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n" + trailers + "\r\n"; };
    SECTION("they do not reach the caller, and say nothing of the target")
    {
        BrokenReplyFixture fixture;
        const std::string bytes
            = head + signature + chunked("X-A: b\r\nX-Magnoliaspan-Not-Executed: 1\r\nServer-Leaving: 1\r\nContent-Encoding: x\r\n");
        RawTarget &one = fixture.addTarget("s", bytes);
        RawTarget &other = fixture.addTarget("s", bytes);
        fixture.publish(ServiceDestination{"s"}, Repeatability::NonIdempotent);
        const ServiceReply got = fixture.call();
        CHECK(got.status == 200);
        CHECK(got.body == "sound");
        CHECK(got.headers.size() == 2);
        CHECK(one.requests() + other.requests() == 1);
    }
    SECTION("a signature among them signs nothing")
    {
        BrokenReplyFixture fixture;
        fixture.addTarget("s", head + chunked(signature));
        fixture.publish(ServiceDestination{"s"}, Repeatability::NonIdempotent);
        const ServiceReply got = fixture.call();
        CHECK(got.status == 502);
        CHECK(headerOf(got, "X-Magnoliaspan-Response-Signature").empty());
    }
    SECTION("an id among them does not make it the response to a request")
    {
        BrokenReplyFixture fixture;
        RawTarget &target = fixture.addTarget("s", "HTTP/1.1 200 OK\r\n" + signature + chunked(idField));
        target.closeAfterResponses();
        fixture.publish(ServiceDestination{"s"}, Repeatability::NonIdempotent);
        CHECK(fixture.call().status == 502);
    }
}

TEST_CASE("response: a transfer coding other than chunked makes it no answer")
{
    const std::string start = "HTTP/1.1 200 OK\r\n" + idField + signature;
    checkNotDelivered({
        {"another one", start + "Transfer-Encoding: gzip\r\nContent-Length: 6\r\n\r\nbroken"},
        {"another one before chunked", start + "Transfer-Encoding: gzip, chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n"},
        {"another one in a field before", start + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n"},
        {"twice", start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n"},
        {"twice in one field", start + "Transfer-Encoding: chunked, chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n"},
        {"with a length", start + "Transfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n6\r\nbroken\r\n0\r\n\r\n"},
        {"behind a length", start + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n"},
    });
}

// These never reached callers.
TEST_CASE("response: a malformed line makes it no answer")
{
    const std::string start = "HTTP/1.1 200 OK\r\n" + idField + signature;
    const std::string end = "Content-Length: 6\r\n\r\nbroken";
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n";
    std::vector<BrokenReply> replies = {
        {"status of two digits", reply("HTTP/1.1 20 OK")},
        {"status of four digits", reply("HTTP/1.1 2000 OK")},
        {"status without digits", reply("HTTP/1.1 2x0 OK")},
        {"no status", reply("HTTP/1.1 OK")},
        {"control byte in the reason", reply("HTTP/1.1 200 O\x01K")},
        {"unknown version", reply("HTTP/3.1 200 OK")},
        {"line without a colon", start + "X-A b\r\n" + end},
        {"field without a name", start + ": b\r\n" + end},
        {"control byte in a value", start + "X-A: b\x01\r\n" + end},
        {"end of a line without a carriage return", start + "X-A: b\n" + end},
        {"carriage return within a line", start + "X-A: b\rX-B: c\r\n" + end},
        {"null byte in a value", start + "X-A: b" + std::string(1, '\0') + "\r\n" + end},
    };
    for (const char byte : {' ', '\t', '\x01', '\x0b', '\x7f', '\0'}) {
        const std::string name = fmt::format("byte {:#04x}", static_cast<unsigned>(byte));
        const std::string inside = std::string("X-") + byte + "A: b\r\n";
        const std::string before = std::string("X-A") + byte + ": b\r\n";
        replies.push_back({name + " in a name", fmt::format("{}{}{}", start, inside, end)});
        replies.push_back({name + " before the colon", fmt::format("{}{}{}", start, before, end)});
        replies.push_back({name + " in the first name", fmt::format("HTTP/1.1 200 OK\r\n{}{}{}{}", inside, idField, signature, end)});
        replies.push_back({name + " in a name of a trailer", fmt::format("{}{}{}\r\n", start, chunks, inside)});
        replies.push_back({name + " before the colon of a trailer", fmt::format("{}{}{}\r\n", start, chunks, before)});
    }
    checkNotDelivered(replies);
}

TEST_CASE("response: a malformed one is logged with its request and its target")
{
    BrokenReplyFixture fixture;
    const RawTarget &target = fixture.addTarget("s", reply("HTTP/1.1 000 -"));
    fixture.publish(ServiceDestination{"s"}, Repeatability::NonIdempotent);
    CHECK(fixture.call().status == 502);
    const auto isWanted = [&target](const std::string &line) {
        return line.find("malformed response") != std::string::npos && line.find("request=q1") != std::string::npos
               && line.find("target=i-0 address=" + target.endpoint().toString()) != std::string::npos;
    };
    CHECK(std::count_if(fixture.log.begin(), fixture.log.end(), isWanted) == 1);
}

// Unlike a target that rejects a connection, one that sends bytes may have read the request.
TEST_CASE("response: a malformed or truncated one counts as a run of the request")
{
    for (const char *bytes : {"HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"}) {
        INFO(bytes);
        BrokenReplyFixture fixture;
        std::vector<RawTarget *> targets;
        for (int number = 0; number < 6; ++number) {
            targets.push_back(&fixture.addTarget("s", bytes));
            targets.back()->closeAfterResponses();
        }
        fixture.publish(ServiceDestination{"s"}, Repeatability::Idempotent);
        CHECK(fixture.call().status == 502);
        unsigned requests = 0;
        for (const RawTarget *target : targets) {
            requests += target->requests();
        }
        CHECK(requests == 2);
    }
}

TEST_CASE("response: malformed ones of other hosts and of the store are errors")
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string end = "Content-Length: 2\r\n\r\n{}";
    const std::vector<BrokenReply> replies = {
        {"status 000", "HTTP/1.1 000 -\r\n" + end},
        {"status 999", "HTTP/1.1 999 -\r\n" + end},
        {"continued line", start + "X-A: b\r\n X-B: c\r\n" + end},
        {"control byte in a name", start + "X-\x01: b\r\n" + end},
        {"another transfer coding", start + "Transfer-Encoding: gzip\r\n" + end},
    };
    for (const BrokenReply &broken : replies) {
        INFO(broken.name);
        const SystemClock clock;
        EventLoop loop(clock);
        HttpTransport transport(loop);
        const RawTarget remote(loop, broken.bytes);
        std::error_code error;
        const auto call = std::make_shared<SingleCall>(loop);
        call->start(transport, remote.endpoint(), {"/x", "", ""}, clock.now() + std::chrono::seconds(1), [&](const WireReply &reply) {
            error = reply.error;
            loop.stop();
        });
        loop.run();
        CHECK(error == TransportError::MalformedReply);
    }
}

TEST_CASE("response: the store states its era in the head of a response, not in trailers")
{
    const SystemClock clock;
    EventLoop loop(clock);
    HttpTransport transport(loop);
    const std::string body = R"({"store_revision":5,"items":[]})";
    const RawTarget store(
        loop,
        fmt::format("HTTP/1.1 103 Early Hints\r\nStore-Era: 3\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "{:x}\r\n{}\r\n0\r\nStore-Era: 4\r\n\r\n",
                    body.size(),
                    body));
    const auto source = platform::makeDiscovery(clock, loop, transport, store.endpoint());
    DiscoveryReadResult result;
    source->readAll(Freshness::Latest, [&](const DiscoveryReadResult &read) {
        result = read;
        loop.stop();
    });
    loop.run();
    CHECK_FALSE(result.error);
    CHECK(result.position.revision == 5);
    CHECK(result.position.era == 0);
}
