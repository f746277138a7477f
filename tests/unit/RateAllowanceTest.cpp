/*
 * Unit tests of the pacing of requests to a target that limits the requests of all hosts together.
 */
#include "forward/RateAllowance.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace magnoliaspan;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The published rule: in any four seconds no more than one and a half times the limit and five requests.
constexpr Duration ruleWindow = std::chrono::seconds(4);

double allowedInWindow(double limit)
{
    return 1.5 * limit * 4 + 5;
}

class Hosts
{
public:
    /// Divides \p limit by random weights.
    Hosts(unsigned count, double limit, unsigned seed)
        : random_(seed)
    {
        std::vector<double> weights;
        double sum = 0;
        for (unsigned host = 0; host < count; ++host) {
            weights.push_back(std::uniform_real_distribution<double>(0.1, 4)(random_));
            sum += weights.back();
        }
        for (const double weight : weights) {
            hosts_.emplace_back(std::uniform_real_distribution<double>(0, 1)(random_));
            rates_.push_back(limit * weight / sum);
            hosts_.back().start(rates_.back(), now);
        }
    }

    /// All hosts send whatever they may for \p duration.
    void saturate(Duration duration)
    {
        const TimePoint until = now + duration;
        for (; now < until; now += milliseconds(5)) {
            for (RateAllowance &host : hosts_) {
                while (host.tryAcquire(now)) {
                    sentAt.push_back(now);
                }
            }
        }
    }

    /// Multiplies the rates of all hosts by random factors of mean one and moves the time on by \p step.
    void varyRates(Duration step)
    {
        for (std::size_t host = 0; host < hosts_.size(); ++host) {
            hosts_[host].setRate(rates_[host] * std::uniform_real_distribution<double>(0.6, 1.4)(random_), now);
        }
        now += step;
    }

    std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < sentAt.size(); ++last) {
            while (sentAt[last] - sentAt[first] >= ruleWindow) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    TimePoint now{seconds(100)};
    std::vector<TimePoint> sentAt;

private:
    std::mt19937 random_;
    std::vector<RateAllowance> hosts_;
    std::vector<double> rates_;
};

} // namespace

// Guards against hosts that each keep their part in the mean but together exceed the limit, at first or after a pause.
TEST_CASE("rate allowance: hosts that are saturated, or all begin after a pause, stay within the limit in any four seconds")
{
    for (const unsigned count : {1U, 6U, 90U, 295U}) {
        for (const double limit : {0.5, 2.0, 17.6, 34.6, 200.0}) {
            for (unsigned seed = 1; seed <= 3; ++seed) {
                INFO(count << " hosts, limit " << limit << ", seed " << seed);
                Hosts hosts(count, limit, seed);
                hosts.saturate(seconds(12));
                hosts.now += seconds(30);
                hosts.saturate(seconds(8));
                CHECK(static_cast<double>(hosts.mostInWindow()) <= allowedInWindow(limit));
            }
        }
    }
}

TEST_CASE("rate allowance: saturated hosts together use nine tenths of the limit or more")
{
    for (const unsigned count : {1U, 6U, 90U}) {
        Hosts hosts(count, 30, 7);
        hosts.saturate(seconds(40));
        CHECK(hosts.sentAt.size() >= 0.9 * 30 * 40);
    }
}

TEST_CASE("rate allowance: changing rates give no extra permissions")
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        Hosts hosts(6, 30, seed);
        for (int change = 0; change < 200; ++change) {
            hosts.varyRates(milliseconds(0));
            hosts.saturate(milliseconds(100));
        }
        CHECK(static_cast<double>(hosts.mostInWindow()) <= allowedInWindow(30));
        CHECK(hosts.sentAt.size() >= 0.8 * 30 * 20);
    }
}

TEST_CASE("rate allowance: a permission that is not used lapses, and a rate of zero gives none")
{
    const TimePoint start{seconds(10)};
    RateAllowance allowance(0.5);
    allowance.start(1, start);
    CHECK_FALSE(allowance.isAvailable(start + milliseconds(499)));
    CHECK(allowance.isAvailable(start + milliseconds(500)));
    CHECK(allowance.isAvailable(start + milliseconds(999)));
    CHECK_FALSE(allowance.isAvailable(start + milliseconds(1'001)));
    CHECK(allowance.tryAcquire(start + milliseconds(1'500)));
    CHECK_FALSE(allowance.tryAcquire(start + milliseconds(1'500)));
    allowance.start(0, start);
    CHECK_FALSE(allowance.isAvailable(start + seconds(600)));
}
