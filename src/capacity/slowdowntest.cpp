#include "capacity/slowdowntest.h"

#include <algorithm>
#include <cmath>

namespace currantpitch::capacity {

namespace {

/// Standard error of a median relative to that of a mean, for a normal distribution.
constexpr double median_error_factor = 1.2533;

} // namespace

window_medians medians_of(const latency_samples& samples, load_range loads)
{
    window_medians medians;
    for (std::size_t i = 0; i < window_sizes.size(); ++i) {
        medians[i] = samples.newest(window_sizes[i], loads);
        if (!medians[i]) {
            break;
        }
    }
    return medians;
}

reference_latencies references_of(const std::vector<window_medians>& endpoints, double fraction,
                                  std::size_t min_endpoints)
{
    reference_latencies references;
    for (std::size_t i = 0; i < window_sizes.size(); ++i) {
        std::vector<double> latencies;
        for (const window_medians& medians : endpoints) {
            if (medians[i]) {
                latencies.push_back(medians[i]->log_latency);
            }
        }
        if (latencies.empty() || latencies.size() < min_endpoints) {
            continue;
        }
        std::sort(latencies.begin(), latencies.end());
        references[i] = latencies[static_cast<std::size_t>(
            static_cast<double>(latencies.size() - 1) * fraction)];
    }
    return references;
}

double required_difference(double tolerated, std::size_t samples, std::size_t reference_samples)
{
    const double variance =
        1 / static_cast<double>(samples) + 1 / static_cast<double>(reference_samples);
    return std::log(tolerated) +
           required_errors * median_error_factor * log_deviation * std::sqrt(variance);
}

std::optional<slowdown> find_slowdown(const window_medians& medians,
                                      const reference_latencies& references, double tolerated,
                                      std::size_t min_window)
{
    for (std::size_t i = 0; i < window_sizes.size(); ++i) {
        if (window_sizes[i] < min_window || !medians[i] || !references[i]) {
            continue;
        }
        const double difference = medians[i]->log_latency - *references[i];
        if (difference > required_difference(tolerated, window_sizes[i], window_sizes[i])) {
            return slowdown{std::exp(difference), *medians[i], *references[i]};
        }
    }
    return std::nullopt;
}

std::optional<saturation> find_saturation(const latency_samples& samples, unsigned declared)
{
    std::optional<saturation> lowest;
    for (unsigned split = 1; split < declared; ++split) {
        const window_medians high = medians_of(samples, load_range{split + 1, ~0U});
        const window_medians low = medians_of(samples, load_range{0, split});
        // The newest samples at low loads: older ones may be from before a slowdown at all loads.
        const std::optional<window_median>& reference = low[1] ? low[1] : low[0];
        if (!reference) {
            continue;
        }
        // The largest window that shows the rise is the most exact.
        for (std::size_t i = high.size(); i-- > 0;) {
            const std::optional<window_median>& m = high[i];
            const double difference = m ? m->log_latency - reference->log_latency : 0;
            if (window_sizes[i] < min_saturation_window ||
                difference <=
                    required_difference(tolerated_ratio, window_sizes[i], reference->count)) {
                continue;
            }
            const double ratio = std::exp(difference);
            // Beyond its saturation the latency of a server is proportional to its load. Loads up
            // to the split have been seen with a good latency.
            const double fitted =
                std::max(m->mean_load / ratio, reference->mean_load) * saturation_headroom;
            if (!lowest || fitted < lowest->concurrency) {
                lowest = saturation{fitted, slowdown{ratio, *m, reference->log_latency}};
            }
            break;
        }
    }
    return lowest;
}

} // namespace currantpitch::capacity
