/*
 * Keeps the reports on crashing requests that this host knows, for dissemination.
 *
 * A new report is transmitted a limited number of times. That misses hosts that were cut off meanwhile or start later, so
 * datagrams also carry a digest of all reports known, and hosts whose digests differ exchange samples (anti-entropy; Demers
 * et al., "Epidemic algorithms for replicated database maintenance", 1987). Hosts that agree exchange nothing.
 */
#pragma once

#include "core/Clock.h"
#include "membership/CrashReport.h"
#include "membership/UpdateQueue.h"

#include <cstddef>
#include <map>
#include <vector>

namespace magnoliaspan {

/// \brief Reports known to this host.
class CrashReportBuffer
{
public:
    /// Reports kept at most.
    static constexpr std::size_t maxReports = 4'000;

    CrashReportBuffer(const Clock &clock, std::uint64_t seed);

    /// Result of add().
    enum class AddResult { New, Known, Full };

    /// \brief Adds \p report, or replaces an older survival by it, and queues it for transmission if it is new.
    AddResult add(const CrashReport &report);

    /// \returns whether a new report waits for transmission.
    bool hasQueued() const;

    /// \brief Returns the next reports to transmit and counts one transmission of each, with their present ages.
    std::vector<CrashReport> takeQueued(std::size_t limit, unsigned maxTransmissions);

    /// \brief Returns the next reports in turn, \p limit at most, with their present ages.
    /// All are returned once before any is returned again; hosts begin at different ones.
    std::vector<CrashReport> nextInTurn(std::size_t limit);

    /// \returns a hash of the set of reports; zero if there is none.
    std::uint64_t digest() const;

    std::size_t size() const;

    /// \brief Drops reports whose loss or survival is too long ago to matter.
    void removeExpired();

private:
    struct Entry {
        CrashReport report;
        TimePoint receivedAt; // Instant to which the ages in the report refer.
    };

    CrashReport current(const Entry &entry) const;
    Duration age(const Entry &entry) const;

    const Clock &clock_;
    CrashReportKey lastInTurn_;
    std::map<CrashReportKey, Entry> entries_;
    UpdateQueue<CrashReportKey> queue_; // Invariant: holds keys of entries_, or of entries that expired.
    std::uint64_t digest_ = 0;          // Invariant: exclusive or of the hashes of all keys in entries_.
};

} // namespace magnoliaspan
