#include "decisions/poptrace.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace currantpitch::bench {

namespace {

constexpr std::size_t period_count = 120;
constexpr double tokens_per_period = 2e6;
constexpr double zipf_exponent = 0.7;
constexpr double drift_per_period = 0.03;
constexpr std::size_t burst_start_period = 40;
constexpr std::size_t burst_end_period = 80;
constexpr std::size_t burst_experts = 4;
constexpr double burst_factor = 8;
constexpr std::size_t flip_period = 60;
constexpr std::size_t slow_start_period = 40;
constexpr std::size_t slow_end_period = 90;
constexpr double slow_speed = 0.6;
constexpr std::size_t report_end_period = 30;

void normalize(std::vector<double>& share)
{
    const double total = std::accumulate(share.begin(), share.end(), 0.0);
    for (double& s : share) {
        s /= total;
    }
}

std::vector<double> zipf(std::uint32_t experts, std::mt19937_64& random)
{
    std::vector<double> share(experts);
    for (std::uint32_t i = 0; i < experts; ++i) {
        share[i] = 1 / std::pow(i + 1.0, zipf_exponent);
    }
    std::shuffle(share.begin(), share.end(), random);
    normalize(share);
    return share;
}

/// Returns token counts with the sampling noise of independent tokens.
std::vector<double> sample_counts(const std::vector<double>& share, std::mt19937_64& random)
{
    std::vector<double> counts(share.size());
    for (std::size_t i = 0; i < share.size(); ++i) {
        const double expected = share[i] * tokens_per_period;
        std::normal_distribution<double> noise(expected, std::sqrt(expected));
        counts[i] = std::max(0.0, std::round(noise(random)));
    }
    return counts;
}

} // namespace

const std::vector<std::string>& trace_names()
{
    static const std::vector<std::string> names = {"steady", "drift",     "burst",
                                                   "flip",   "slow-rank", "stale"};
    return names;
}

trace make_trace(const std::string& name, std::uint32_t ranks, std::uint32_t experts,
                 std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<double> base = zipf(experts, random);
    std::vector<std::uint32_t> shuffled_experts(experts);
    std::iota(shuffled_experts.begin(), shuffled_experts.end(), 0U);
    std::shuffle(shuffled_experts.begin(), shuffled_experts.end(), random);
    const std::size_t slow_rank = random() % ranks;
    std::normal_distribution<double> drift(0, drift_per_period);
    const bool drifts = name == "drift" || name == "stale";
    trace generated;
    for (std::size_t p = 0; p < period_count; ++p) {
        trace_period period;
        for (double& s : base) {
            s *= drifts ? std::exp(drift(random)) : 1;
        }
        if (name == "flip" && p == flip_period) {
            std::reverse(base.begin(), base.end());
            period.event = true;
        }
        normalize(base);
        period.share = base;
        period.rank_speed.assign(ranks, 1);
        if (name == "burst") {
            period.event = p == burst_start_period || p == burst_end_period;
            for (std::size_t i = 0;
                 p >= burst_start_period && p < burst_end_period && i < burst_experts; ++i) {
                period.share[shuffled_experts[i]] *= burst_factor;
            }
            normalize(period.share);
        }
        if (name == "slow-rank" && p >= slow_start_period && p < slow_end_period) {
            period.rank_speed[slow_rank] = slow_speed;
        }
        period.event = period.event ||
                       (name == "slow-rank" && (p == slow_start_period || p == slow_end_period));
        if (name != "stale" || p < report_end_period) {
            period.reported_tokens = sample_counts(period.share, random);
        }
        generated.push_back(std::move(period));
    }
    return generated;
}

} // namespace currantpitch::bench
