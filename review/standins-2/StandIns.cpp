/*
 * Implements the stand-ins with POSIX sockets and threads.
 */
#include "StandIns.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr int portsOfHost = 4;

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

int openSocket()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw std::runtime_error("no socket");
    }
    const int one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return descriptor;
}

bool bindTo(int descriptor, const Address &address)
{
    const int one = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in bound = toSocketAddress(address);
    return ::bind(descriptor, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) == 0;
}

std::uint16_t portOf(int descriptor)
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&bound), &size);
    return ntohs(bound.sin_port);
}

bool isFree(const Address &address, int type)
{
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const bool bound = descriptor >= 0 && bindTo(descriptor, address);
    ::close(descriptor);
    return bound;
}

bool areFree(const std::string &ip, std::uint16_t first)
{
    for (int offset = 0; offset < portsOfHost; ++offset) {
        const Address address{ip, static_cast<std::uint16_t>(first + offset)};
        if (!isFree(address, SOCK_STREAM) || !isFree(address, SOCK_DGRAM)) {
            return false;
        }
    }
    return true;
}

std::string toBase64(const std::string &bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8U | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += at + index > bytes.size() ? '=' : digits[group >> (18 - 6 * index) & 63U];
        }
    }
    return text;
}

std::string decodeQuery(const std::string &text)
{
    std::string bytes;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            bytes += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            bytes += text[at];
        }
    }
    return bytes;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t at = std::min(target.size(), target.find('?'));
    while (at < target.size()) {
        const std::size_t end = std::min(target.size(), target.find('&', at + 1));
        const std::string pair = target.substr(at + 1, end - at - 1);
        const std::size_t equals = std::min(pair.size(), pair.find('='));
        query[pair.substr(0, equals)] = equals < pair.size() ? decodeQuery(pair.substr(equals + 1)) : "";
        at = end;
    }
    return query;
}

std::string join(const std::vector<std::string> &parts)
{
    std::string text;
    for (const std::string &part : parts) {
        text += text.empty() ? part : "," + part;
    }
    return text;
}

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

std::string numberText(double number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%g", number);
    return text;
}

} // namespace

Time now()
{
    return std::chrono::steady_clock::now();
}

void pause(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

void leave(int code)
{
    std::_Exit(code);
}

Record::Record(const std::string &path)
    : start_(now())
    , file_(std::fopen(path.c_str(), "w"))
{
    if (file_ == nullptr) {
        throw std::runtime_error("cannot write " + path);
    }
}

Record::~Record()
{
    std::fclose(file_);
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.3f %s\n", std::chrono::duration<double, std::milli>(now() - start_).count(), line.c_str());
    std::fflush(file_);
}

std::string Address::text() const
{
    return ip + ':' + std::to_string(port);
}

std::uint16_t freePorts(const std::vector<std::string> &ips)
{
    constexpr int tries = 200;
    constexpr std::uint16_t lowest = 20'000;
    constexpr std::uint16_t count = 10'000;
    std::random_device random;
    for (int attempt = 0; attempt < tries; ++attempt) {
        const auto first = static_cast<std::uint16_t>(lowest + random() % count);
        if (std::all_of(ips.begin(), ips.end(), [first](const std::string &ip) { return areFree(ip, first); })) {
            return first;
        }
    }
    throw std::runtime_error("no free ports");
}

std::string Message::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (key.size() == name.size() && ::strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return "";
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const std::size_t first = startLine.find(' ');
    return first == std::string::npos ? "" : startLine.substr(first + 1, startLine.rfind(' ') - first - 1);
}

int Message::status() const
{
    const std::size_t first = startLine.find(' ');
    return first == std::string::npos ? 0 : std::atoi(startLine.c_str() + first + 1);
}

Stream::Stream(int descriptor)
    : descriptor_(descriptor)
{
}

Stream::~Stream()
{
    close();
}

Stream::Stream(Stream &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , buffer_(std::move(other.buffer_))
{
}

std::optional<Stream> Stream::connect(const Address &address)
{
    constexpr int connectTimeoutMs = 1'000;
    const int descriptor = openSocket();
    const sockaddr_in peer = toSocketAddress(address);
    const int flags = ::fcntl(descriptor, F_GETFL);
    ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    // The result is read from the socket below.
    static_cast<void>(::connect(descriptor, reinterpret_cast<const sockaddr *>(&peer), sizeof peer));
    pollfd waiting{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    const bool ready = ::poll(&waiting, 1, connectTimeoutMs) == 1;
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    ::fcntl(descriptor, F_SETFL, flags);
    if (!ready || error != 0) {
        ::close(descriptor);
        return std::nullopt;
    }
    return Stream(descriptor);
}

Stream::Fill Stream::fill(Time deadline)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - now()).count();
    pollfd waiting{descriptor_, POLLIN, 0};
    if (descriptor_ < 0) {
        return Fill::End;
    }
    if (::poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(0, left))) != 1) {
        return Fill::Time;
    }
    char bytes[65536];
    const auto count = ::recv(descriptor_, bytes, sizeof bytes, 0);
    if (count <= 0) {
        return Fill::End;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return Fill::Bytes;
}

ReadEnd Stream::readHead(Message &message, Time deadline)
{
    message = {};
    std::size_t end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos) {
        const Fill filled = fill(deadline);
        if (filled == Fill::Time) {
            return ReadEnd::TimedOut;
        }
        if (filled == Fill::End) {
            return buffer_.empty() ? ReadEnd::Closed : ReadEnd::Truncated;
        }
        end = buffer_.find("\r\n\r\n");
    }
    std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    message.startLine = head.substr(0, at);
    while (at + 2 < head.size()) {
        const std::size_t next = head.find("\r\n", at + 2);
        const std::string line = head.substr(at + 2, next - at - 2);
        const std::size_t colon = std::min(line.size(), line.find(':'));
        const std::size_t value = line.find_first_not_of(" \t", colon + 1);
        message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        at = next;
    }
    return ReadEnd::Whole;
}

ReadEnd Stream::readBody(Message &message, Time deadline)
{
    const std::string length = message.header("Content-Length");
    const bool isResponse = message.startLine.rfind("HTTP/", 0) == 0;
    const bool isChunked = message.header("Transfer-Encoding") == "chunked";
    const auto need = [&](std::size_t count) {
        while (buffer_.size() < count) {
            const Fill filled = fill(deadline);
            if (filled != Fill::Bytes) {
                return filled == Fill::Time ? ReadEnd::TimedOut : ReadEnd::Truncated;
            }
        }
        return ReadEnd::Whole;
    };
    if (isChunked) {
        while (true) {
            std::size_t end = buffer_.find("\r\n");
            while (end == std::string::npos) {
                if (const ReadEnd ended = need(buffer_.size() + 1); ended != ReadEnd::Whole) {
                    return ended;
                }
                end = buffer_.find("\r\n");
            }
            const auto size = static_cast<std::size_t>(std::strtoul(buffer_.c_str(), nullptr, 16));
            buffer_.erase(0, end + 2);
            if (const ReadEnd ended = need(size + 2); ended != ReadEnd::Whole) {
                return ended;
            }
            message.body += buffer_.substr(0, size);
            buffer_.erase(0, size + 2);
            if (size == 0) {
                return ReadEnd::Whole;
            }
        }
    }
    if (!length.empty()) {
        const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
        const ReadEnd ended = need(size);
        message.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return ended;
    }
    const bool hasNoBody = !isResponse || message.status() == 204 || message.status() == 304;
    if (hasNoBody) {
        return ReadEnd::Whole;
    }
    Fill filled = Fill::Bytes;
    while (filled == Fill::Bytes) {
        filled = fill(deadline);
    }
    message.body = std::exchange(buffer_, "");
    return filled == Fill::Time ? ReadEnd::TimedOut : ReadEnd::Whole;
}

ReadEnd Stream::read(Message &message, Time deadline)
{
    const ReadEnd head = readHead(message, deadline);
    return head == ReadEnd::Whole ? readBody(message, deadline) : head;
}

bool Stream::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool Stream::hasBytes()
{
    pollfd waiting{descriptor_, POLLIN, 0};
    return !buffer_.empty() || ::poll(&waiting, 1, 0) == 1;
}

bool Stream::isClosedByPeer()
{
    char byte = 0;
    const auto count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Stream::reset()
{
    const linger abort{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close();
}

void Stream::close()
{
    if (descriptor_ >= 0) {
        ::close(std::exchange(descriptor_, -1));
    }
}

Listener::Listener(std::string ip, std::function<void(Stream &)> serve, std::uint16_t port)
    : address_{std::move(ip), port}
    , descriptor_(openSocket())
    , serve_(std::move(serve))
{
    if (!bindTo(descriptor_, address_) || ::listen(descriptor_, 256) != 0) {
        throw std::runtime_error("cannot listen at " + address_.text());
    }
    address_.port = portOf(descriptor_);
    std::thread([this] { accept(); }).detach();
}

Listener::~Listener()
{
    ::shutdown(descriptor_, SHUT_RDWR);
    ::close(descriptor_);
}

Address Listener::address() const
{
    return address_;
}

void Listener::accept()
{
    while (true) {
        const int descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const int one = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::thread([this, descriptor] {
            Stream stream(descriptor);
            serve_(stream);
        }).detach();
    }
}

Store::Store(const std::string &ip)
    : listener_(ip, [this](Stream &stream) { serve(stream); })
{
}

Address Store::address() const
{
    return listener_.address();
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    const std::string revision = std::to_string(++revision_);
    items_[key] = {R"({"key":)" + quoted(key) + R"(,"value":)" + quoted(toBase64(value)) + R"(,"rev":)" + revision + R"(,"created_rev":)"
                       + revision + R"(,"lease":0})",
                   revision_,
                   false};
    changed_.notify_all();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    items_[key] = {R"({"key":)" + quoted(key) + R"(,"rev":)" + std::to_string(revision_) + R"(,"tombstone":true})", revision_, true};
    changed_.notify_all();
}

std::string Store::list(const std::map<std::string, std::string> &query)
{
    const std::lock_guard lock(mutex_);
    const auto prefix = query.find("prefix");
    const auto after = query.find("after");
    std::vector<std::string> items;
    for (const auto &[key, item] : items_) {
        const bool matches = prefix == query.end() || key.rfind(prefix->second, 0) == 0;
        if (matches && !item.removed && (after == query.end() || key > after->second)) {
            items.push_back(item.json);
        }
    }
    return R"({"items":[)" + join(items) + R"(],"truncated":false,"store_revision":)" + std::to_string(revision_) + "}";
}

std::string Store::watch(const std::map<std::string, std::string> &query)
{
    const auto numberOf = [&query](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? 0 : std::atoll(found->second.c_str());
    };
    const std::int64_t after = numberOf("after");
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, Milliseconds(numberOf("wait_ms")), [&] { return revision_ > after; });
    std::map<std::int64_t, std::string> events;
    for (const auto &[key, item] : items_) {
        if (item.revision > after) {
            events[item.revision] = item.json;
        }
    }
    std::vector<std::string> texts;
    texts.reserve(events.size());
    for (const auto &[revision, text] : events) {
        texts.push_back(text);
    }
    return R"({"events":[)" + join(texts) + R"(],"store_revision":)" + std::to_string(revision_) + "}";
}

void Store::serve(Stream &stream)
{
    Message request;
    while (stream.read(request, now() + std::chrono::hours(1)) == ReadEnd::Whole) {
        const std::string target = request.target();
        const auto query = queryOf(target);
        const std::string path = target.substr(0, target.find('?'));
        const bool isList = path == "/api/kv-range";
        const std::string body = isList ? list(query) : path == "/api/kv-watch" ? watch(query) : "{}";
        const int status = isList || path == "/api/kv-watch" ? 200 : 404;
        if (!stream.write(responseText(status, {{"Content-Type", "application/json"}}, body))) {
            return;
        }
    }
}

std::string SearcherEntry::json() const
{
    return R"({"service":)" + quoted(service) + R"(,"address":)" + quoted(address.text()) + R"(,"zone":)" + quoted(zone)
           + R"(,"version":"v1","capacity":)" + std::to_string(capacity) + R"(,"state":)" + quoted(state)
           + R"(,"warmup_left_ms":0,"sequence":)" + std::to_string(sequence) + R"(,"born":1796600000000})";
}

std::string configurationJson(int version, const std::vector<RouteSpec> &routes, const std::vector<std::string> &services)
{
    std::vector<std::string> routeTexts;
    for (const RouteSpec &route : routes) {
        std::vector<std::string> names;
        for (const std::string &service : route.services) {
            names.push_back(quoted(service));
        }
        const std::string destination = route.gather ? R"("gather":[)" + join(names) + R"(],"top_k":)" + std::to_string(route.topRecords)
                                                           + R"(,"min_coverage":)" + numberText(route.minCoverage)
                                                     : R"("service":)" + names.front();
        routeTexts.push_back(R"({"name":)" + quoted(route.name) + R"(,"host":)" + quoted(route.host) + R"(,"prefix":)"
                             + quoted(route.prefix) + R"(,"type":)" + quoted(route.idempotent ? "idempotent" : "non_idempotent")
                             + R"(,"timeout_ms":)" + std::to_string(route.timeoutMs) + R"(,"latency_goal_ms":)"
                             + std::to_string(route.goalMs) + R"(,"priority":2,)" + destination + R"(,"max_attempts":)"
                             + std::to_string(route.maxAttempts) + R"(,"allowed_regions":[]})");
    }
    std::vector<std::string> serviceTexts;
    serviceTexts.reserve(services.size());
    for (const std::string &service : services) {
        serviceTexts.push_back(
            R"({"name":)" + quoted(service)
            + R"(,"health_path":"/health","max_connections":42,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":0.0})");
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + join(routeTexts) + R"(],"services":[)" + join(serviceTexts)
           + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

EntryHost::EntryHost(std::string name, std::string zone, std::string ip, std::uint16_t firstPort)
    : name_(std::move(name))
    , zone_(std::move(zone))
    , ip_(std::move(ip))
    , firstPort_(firstPort)
{
}

EntryHost::~EntryHost()
{
    stop();
}

void EntryHost::stop()
{
    if (isRunning()) {
        signal(SIGCONT);
        signal(SIGKILL);
        waitForEnd(std::chrono::seconds(5));
    }
}

void EntryHost::start(const std::string &program,
                      const std::string &folder,
                      const Address &store,
                      const std::vector<std::string> &seedIps,
                      const std::string &regionsYaml)
{
    const auto at = [this](int offset) { return ip_ + ':' + std::to_string(firstPort_ + offset); };
    std::vector<std::string> seeds;
    seeds.reserve(seedIps.size());
    for (const std::string &ip : seedIps) {
        seeds.push_back(ip + ':' + std::to_string(firstPort_ + 3));
    }
    const std::string settings = folder + '/' + name_ + ".yaml";
    // As deploy/settings.yaml, filled in with the figures of the site file.
    std::ofstream(settings) << "host: " << name_ << "\nzone: " << zone_ << "\nzones:\n"
                            << regionsYaml << "caller_address: " << at(0) << "\nready_address: " << at(1) << "\nmetrics_address: " << at(2)
                            << "\ndiscovery_address: " << store.text() << "\npeer_address: " << at(3) << "\nseeds: \"" << join(seeds)
                            << "\"\npeer_key: magnoliaspan\nextra_send_ratio: 0.2\nextra_send_slack: 52\ncold_factor: 1.5\ncold_slack: 5\n"
                            << "watch_time: 5000ms\n";
    const std::string log = folder + '/' + name_ + ".log";
    const std::string argument = "--settings=" + settings;
    process_ = ::fork();
    if (process_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl(program.c_str(), program.c_str(), "forward", argument.c_str(), static_cast<char *>(nullptr));
        ::_exit(127);
    }
}

bool EntryHost::waitUntilReady(Milliseconds limit) const
{
    const Time end = now() + limit;
    while (now() < end) {
        if (auto stream = Stream::connect({ip_, static_cast<std::uint16_t>(firstPort_ + 1)})) {
            const Outcome outcome = exchange(*stream, "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n", std::chrono::seconds(1));
            if (outcome.status() == 200) {
                return true;
            }
        }
        pause(Milliseconds(50));
    }
    return false;
}

void EntryHost::signal(int number) const
{
    if (process_ > 0) {
        ::kill(process_, number);
    }
}

std::optional<int> EntryHost::waitForEnd(Milliseconds limit)
{
    const Time end = now() + limit;
    while (process_ > 0) {
        int status = 0;
        if (::waitpid(process_, &status, WNOHANG) == process_) {
            process_ = -1;
            return status;
        }
        if (now() >= end) {
            return std::nullopt;
        }
        pause(Milliseconds(10));
    }
    return std::nullopt;
}

bool EntryHost::isRunning()
{
    return process_ > 0 && !waitForEnd(Milliseconds(0)) && process_ > 0;
}

Address EntryHost::caller() const
{
    return {ip_, firstPort_};
}

std::string EntryHost::name() const
{
    return name_;
}

int Outcome::status() const
{
    return end == ReadEnd::Whole ? response.status() : 0;
}

Outcome exchange(Stream &stream, const std::string &request, Milliseconds limit)
{
    Outcome outcome;
    outcome.connected = true;
    if (!stream.write(request)) {
        return outcome;
    }
    outcome.end = stream.read(outcome.response, now() + limit);
    return outcome;
}

std::string requestText(const std::string &method,
                        const std::string &target,
                        const std::string &host,
                        const std::string &id,
                        int deadlineMs,
                        const std::string &body)
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Magnoliaspan-Request-Id: " + id
                       + "\r\nX-Magnoliaspan-Request-Deadline: " + std::to_string(deadlineMs) + "\r\n";
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

std::string responseText(int status,
                         const std::vector<std::pair<std::string, std::string>> &headers,
                         const std::string &body,
                         const std::string &reason)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + reason + "\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
