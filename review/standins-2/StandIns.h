/*
 * Stand-ins for the review's scripts: the platform's store, searchers, clients and the processes of the system.
 * They speak HTTP/1.1 with blocking sockets, one thread a connection, on loopback addresses and the real clock.
 */
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace review {

using Time = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

Time now();
void pause(Milliseconds duration);

/// \brief What happened, with the time since the start; written to record.txt.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void add(const std::string &line);

private:
    std::mutex mutex_;
    Time start_;
    std::FILE *file_;
};

struct Address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const;
};

/// \returns the first of some consecutive ports, as many as an entry host needs, which are free at each of \p ips.
std::uint16_t freePorts(const std::vector<std::string> &ips);

/// \brief Head and body of a request or response.
struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(std::string_view name) const; ///< Empty without such a header.
    std::string method() const;
    std::string target() const;
    int status() const; ///< Of a response.
};

/// \brief Why a message could not be read.
enum class ReadEnd {
    Whole,
    Closed,    ///< Before the first byte.
    Truncated, ///< Behind the first byte.
    TimedOut,
};

/// \brief A connected socket.
class Stream
{
public:
    explicit Stream(int descriptor);
    ~Stream();
    Stream(Stream &&other) noexcept;
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;
    Stream &operator=(Stream &&) = delete;

    /// \returns a connected stream, or no value if the connection was refused or took longer than a second.
    static std::optional<Stream> connect(const Address &address);

    ReadEnd read(Message &message, Time deadline);
    ReadEnd readHead(Message &message, Time deadline);
    ReadEnd readBody(Message &message, Time deadline);
    bool write(std::string_view bytes);
    bool hasBytes(); ///< Whether bytes, or the end, can be read.
    bool isClosedByPeer();
    void reset(); ///< Closes with a reset.
    void close();

private:
    enum class Fill { Bytes, End, Time };
    Fill fill(Time deadline);

    int descriptor_;
    std::string buffer_;
};

/// \brief Accepts connections and serves each with \p serve in a thread of its own.
class Listener
{
public:
    Listener(std::string ip, std::function<void(Stream &)> serve, std::uint16_t port = 0);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    Address address() const;

private:
    void accept();

    Address address_;
    int descriptor_;
    std::function<void(Stream &)> serve_;
};

/// \brief The platform's store: lists, watches and a history without end.
class Store
{
public:
    explicit Store(const std::string &ip);

    Address address() const;
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

private:
    struct Item {
        std::string json;
        std::int64_t revision = 0;
        bool removed = false;
    };

    void serve(Stream &stream);
    std::string list(const std::map<std::string, std::string> &query);
    std::string watch(const std::map<std::string, std::string> &query);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::int64_t revision_ = 10;
    Listener listener_; // Last, as its threads use the other members.
};

/// \brief One searcher's entry in the store.
struct SearcherEntry {
    std::string id;
    std::string service;
    Address address;
    std::string zone;
    int capacity = 4;
    std::string state = "ready";
    int sequence = 1;

    std::string json() const;
};

/// \brief A route of the configuration.
struct RouteSpec {
    std::string name;
    std::string host;
    std::string prefix;
    bool idempotent = true;
    int timeoutMs = 2'500;
    int goalMs = 250;
    std::vector<std::string> services; ///< More than one: a gather.
    bool gather = false;
    int maxAttempts = 2;
    int topRecords = 5;
    double minCoverage = 0.75;
};

std::string configurationJson(int version, const std::vector<RouteSpec> &routes, const std::vector<std::string> &services);

/// \brief One entry host: a process of the deploy file's command.
class EntryHost
{
public:
    /// \param ip a loopback address of its own; hosts of one deployment share the ports.
    EntryHost(std::string name, std::string zone, std::string ip, std::uint16_t firstPort);
    ~EntryHost();
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    /// \brief Writes the settings and starts the process; its log goes to a file in \p folder.
    void start(const std::string &program,
               const std::string &folder,
               const Address &store,
               const std::vector<std::string> &seedIps,
               const std::string &regionsYaml);
    bool waitUntilReady(Milliseconds limit) const;
    void signal(int number) const;
    std::optional<int> waitForEnd(Milliseconds limit); ///< The wait status.
    bool isRunning();
    void stop(); ///< Kills the process.
    Address caller() const;
    std::string name() const;

private:
    std::string name_;
    std::string zone_;
    std::string ip_;
    std::uint16_t firstPort_;
    pid_t process_ = -1;
};

/// \brief How an attempt of a client ended.
struct Outcome {
    ReadEnd end = ReadEnd::Closed;
    bool connected = false;
    Message response;

    int status() const; ///< 0 without a whole response.
};

/// \brief Sends \p request on \p stream and reads the response.
Outcome exchange(Stream &stream, const std::string &request, Milliseconds limit);

std::string requestText(const std::string &method,
                        const std::string &target,
                        const std::string &host,
                        const std::string &id,
                        int deadlineMs,
                        const std::string &body = "");

std::string responseText(int status,
                         const std::vector<std::pair<std::string, std::string>> &headers,
                         const std::string &body,
                         const std::string &reason = "Stated");

/// \returns whether the case is to be played with its disruption.
bool hasTrouble();

/// \brief Ends the process at once, as the threads of the stand-ins still use them. Entry hosts must have been stopped.
[[noreturn]] void leave(int code);

} // namespace review
