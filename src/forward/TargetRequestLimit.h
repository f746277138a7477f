/*
 * The limit of requests that one target states for all hosts together, and this host's part of it.
 */
#pragma once

#include "forward/ForwardMessages.h"
#include "forward/RateAllowance.h"

#include <optional>

namespace magnoliaspan {

/// \brief Follows the limit that a target states in its responses, and permits this host's requests within its share.
class TargetRequestLimit
{
public:
    /// \param phase see RateAllowance::RateAllowance().
    explicit TargetRequestLimit(double phase);

    /// \brief Sets this host's share of the requests of all hosts, 0 to 1; it gets that share of the limit.
    void setTrafficShare(double share, TimePoint now);

    /// \brief Applies what a response says of the limit.
    /// \param sentAt when its request was sent.
    /// \param refused whether the target did not run the request.
    /// \returns whether the limit changed.
    bool applyResponse(const RequestLimit &stated, TimePoint sentAt, bool refused, TimePoint now);

    /// \returns the requests a second of all hosts together, nothing if the target states no limit.
    std::optional<double> perSecond() const;

    /// \returns whether a request may be sent now.
    bool permitsRequest(TimePoint now) const;

    /// \brief Uses up the permission for one request, if there is a limit.
    void recordRequest(TimePoint now);

private:
    double allowedRate() const;

    std::optional<double> perSecond_;
    TimePoint statedAt_{}; // When the limit was last stated.
    double trafficShare_ = 1;
    RateAllowance allowance_; // Valid while perSecond_ is set.
};

} // namespace magnoliaspan
