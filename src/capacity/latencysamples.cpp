#include "capacity/latencysamples.h"

#include "capacity/capacityconstants.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <vector>

namespace currantpitch::capacity {

void latency_samples::add(latency_sample s)
{
    const auto same_peer = [&s](const latency_sample& other) {
        return other.peer == s.peer;
    };
    if (s.peer && static_cast<std::size_t>(std::count_if(samples_.begin(), samples_.end(),
                                                         same_peer)) >= max_samples_of_peer) {
        samples_.erase(std::find_if(samples_.begin(), samples_.end(), same_peer));
    }
    // Reports arrive late, so a sample may be older than the newest ones.
    const auto place = std::upper_bound(
        samples_.begin(), samples_.end(), s.at,
        [](core::time_point at, const latency_sample& other) { return at < other.at; });
    samples_.insert(place, std::move(s));
    if (samples_.size() > max_samples) {
        samples_.pop_front();
    }
}

void latency_samples::expire(core::time_point now)
{
    while (!samples_.empty() && now - samples_.front().at > sample_lifetime) {
        samples_.pop_front();
    }
}

std::size_t latency_samples::own_count() const
{
    return static_cast<std::size_t>(
        std::count_if(samples_.begin(), samples_.end(),
                      [](const latency_sample& s) { return !s.peer.has_value(); }));
}

const latency_sample* latency_samples::last() const
{
    return samples_.empty() ? nullptr : &samples_.back();
}

void latency_samples::keep_newest(std::size_t size)
{
    while (samples_.size() > size) {
        samples_.pop_front();
    }
}

bool latency_samples::limit_peers() const
{
    if (own_count() >= own_samples_to_trust) {
        return true;
    }
    std::set<std::optional<core::host_id>> sources;
    for (const latency_sample& s : samples_) {
        sources.insert(s.peer);
        if (sources.size() >= min_independent_sources) {
            return true;
        }
    }
    return false;
}

std::optional<window_median> latency_samples::newest(std::size_t size, load_range loads) const
{
    const std::size_t peer_quota =
        limit_peers()
            ? std::max<std::size_t>(
                  static_cast<std::size_t>(static_cast<double>(size) * max_peer_fraction), 1)
            : size;
    std::map<core::host_id, std::size_t> taken;
    std::vector<double> latencies;
    latencies.reserve(size);
    window_median result;
    double load_sum = 0;
    for (auto it = samples_.rbegin(); it != samples_.rend() && latencies.size() < size; ++it) {
        if (it->load < loads.min || it->load > loads.max ||
            (it->peer && ++taken[*it->peer] > peer_quota)) {
            continue;
        }
        if (latencies.empty()) {
            result.newest = it->at;
        }
        latencies.push_back(it->log_latency);
        load_sum += it->load;
    }
    if (latencies.empty() || latencies.size() < size) {
        return std::nullopt;
    }
    std::sort(latencies.begin(), latencies.end());
    result.count = size;
    result.log_latency = latencies[(size - 1) / 2];
    result.upper_log_latency = latencies[size / 2];
    result.mean_load = load_sum / static_cast<double>(size);
    return result;
}

} // namespace currantpitch::capacity
