/*
 * Unit tests of the budget of extra sends: traffic that reaches few hosts in clumps, and the published limit over all hosts.
 */
#include "forward/ExtraSendBudget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

using namespace magnoliaspan;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start{seconds(1'000)};

} // namespace

TEST_CASE("extra sends: pattern slow sixth of the replicas, a host with much traffic uses the slack that idle hosts leave")
{
    // 300 hosts share a slack of 630; one in four receives requests, four times the mean.
    ExtraSendBudget budget;
    const ExtraSendLimits limits{0.2, 630, 300, 4};
    unsigned granted = 0;
    for (int request = 0; request < 14; ++request) {
        budget.recordRequest(start + milliseconds(700 * request));
        granted += budget.tryAcquire(limits, start + milliseconds(700 * request)) ? 1 : 0;
    }
    // Its part is 0.2 x 14 + 630 x 4 / 300 = 11; at least two thirds of that must be usable.
    CHECK(granted >= 7);
    CHECK(granted <= 11);
}

TEST_CASE("extra sends: all hosts together stay within the published limit in any window")
{
    constexpr double ratio = 0.2;
    const unsigned hosts = GENERATE(7U, 90U, 300U);
    const double slack = 40 + 2.0 * hosts;
    std::mt19937_64 random(hosts);
    std::vector<ExtraSendBudget> budgets(hosts);
    // Skewed traffic, the weights of which add up to the number of hosts; each request asks for three extra sends.
    std::vector<double> weights;
    for (unsigned host = 0; host < hosts; ++host) {
        weights.push_back(host % 4 == 0 ? 3.1 : 0.3);
    }
    double sum = 0;
    for (const double weight : weights) {
        sum += weight;
    }
    std::discrete_distribution<std::size_t> pickHost(weights.begin(), weights.end());
    std::deque<TimePoint> requests;
    std::deque<TimePoint> extras;
    for (int step = 0; step < 40'000; ++step) {
        const TimePoint now = start + milliseconds(step);
        // A burst of three times the traffic in the middle.
        if (step % (step > 15'000 && step < 20'000 ? 4 : 12) != 0) {
            continue;
        }
        const std::size_t host = pickHost(random);
        requests.push_back(now);
        budgets[host].recordRequest(now);
        for (int attempt = 0; attempt < 3; ++attempt) {
            if (budgets[host].tryAcquire({ratio, slack, static_cast<double>(hosts), weights[host] * hosts / sum}, now)) {
                extras.push_back(now);
            }
        }
        while (!requests.empty() && now - requests.front() >= SlidingCount::window) {
            requests.pop_front();
        }
        while (!extras.empty() && now - extras.front() >= SlidingCount::window) {
            extras.pop_front();
        }
        REQUIRE(static_cast<double>(extras.size()) <= ratio * static_cast<double>(requests.size()) + slack);
    }
    // Much of what is allowed must be usable.
    CHECK(static_cast<double>(extras.size()) >= 0.5 * (ratio * static_cast<double>(requests.size()) + slack));
}

TEST_CASE("extra sends: what was spent counts for the whole window, and for no more than a second longer")
{
    ExtraSendBudget budget;
    const ExtraSendLimits limits{0, 10, 2, 1};
    unsigned granted = 0;
    for (int attempt = 0; attempt < 20; ++attempt) {
        granted += budget.tryAcquire(limits, start) ? 1 : 0;
    }
    REQUIRE(granted == 3);
    CHECK_FALSE(budget.tryAcquire(limits, start + SlidingCount::window - milliseconds(1)));
    CHECK(budget.tryAcquire(limits, start + SlidingCount::window + seconds(1)));
    SECTION("after a long time without requests the count starts again from zero")
    {
        CHECK(budget.remaining(limits, start + seconds(500)) == Approx(3.5));
    }
    SECTION("a lower weight takes effect at once")
    {
        CHECK(budget.remaining({0, 10, 2, 0.5}, start) < 1);
    }
}
