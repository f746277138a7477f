/*
 * Mean load of all hosts, from exchanges between pairs of hosts.
 *
 * In an exchange both hosts replace their estimates with the mean of the two, so that the sum over all hosts stays the same and
 * each estimate converges to the mean (Jelasity, Montresor and Babaoglu, "Gossip-based aggregation in large dynamic networks",
 * 2005). Loads change and datagrams are lost, so the averaging starts again in each epoch. Hosts that cannot reach each other
 * average among themselves.
 */
#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <optional>

namespace magnoliaspan {

/// \brief One side of an exchange.
struct LoadSample {
    std::uint64_t epoch = 0;
    double estimate = 1; ///< Of the mean load before the exchange, from minLoad to maxLoad.
};

/// \brief Estimates the mean load of all hosts and the weight of this host.
class LoadAverage
{
public:
    /// Range of loads. As no load is zero, idle hosts keep a part of limits that are divided by load.
    static constexpr double minLoad = 1;
    static constexpr double maxLoad = 1e9;
    /// Highest weight; limits the effect of a wrong estimate of another host.
    static constexpr double maxWeight = 10;

    explicit LoadAverage(const Clock &clock);

    /// \brief Sets the load that this host contributes from the next epoch on; limited to the range of loads.
    void setLoad(double load);

    /// \brief Starts an exchange, and the next epoch if it is due.
    /// \returns what to send to another host.
    LoadSample startExchange();

    /// \brief Handles the start of an exchange by another host.
    /// \returns the answer; nothing while an exchange of this host is pending, which must not be mixed with another.
    std::optional<LoadSample> answerExchange(const LoadSample &theirs);

    /// \brief Completes the pending exchange with the answer of the other host.
    void completeExchange(const LoadSample &theirs);

    /// \brief Drops the pending exchange.
    void dropExchange();

    /// \returns the load of this host relative to the mean, up to maxWeight, as of the last epoch in which enough exchanges were
    /// completed; at most one if that was long ago, and one before the first.
    double weight() const;

private:
    void enterEpoch(std::uint64_t epoch);
    void merge(double estimate);

    const Clock &clock_;
    double load_ = minLoad; // From the next epoch on.
    std::uint64_t epoch_ = 0;
    TimePoint epochStartedAt_;
    double contributedLoad_ = minLoad; // In this epoch.
    double estimate_ = minLoad;
    unsigned exchanges_ = 0;   // Completed in this epoch.
    bool pending_ = false;     // Whether this host waits for the answer to an exchange.
    double weight_ = 1;        // As of the last epoch with enough exchanges.
    TimePoint weightBootTime_; // When weight_ was determined; counts the time of suspensions.
};

} // namespace magnoliaspan
