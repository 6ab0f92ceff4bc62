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
            std::size_t available = i;
            while (available > 0 && !medians[available]) {
                --available;
            }
            if (medians[available]) {
                latencies.push_back(medians[available]->log_latency);
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

namespace {

/// Compares the samples above a load with the samples next to them in time that are not above it.
/// Samples of other times may be from before or after a slowdown at all loads. Returns a rise of
/// the latency that exceeds that of the load: otherwise more requests at a time do not slow down
/// the service as a whole, and a limit only moves the queue to the entries, whose knowledge of the
/// load is older.
std::optional<slowdown> compare_loads(const std::deque<latency_sample>& samples, unsigned split)
{
    std::vector<double> differences;
    std::vector<double> references;
    double load_sum = 0;
    double low_load_sum = 0;
    slowdown found;
    const latency_sample* later = nullptr;
    std::vector<const latency_sample*> unpaired;
    for (auto it = samples.rbegin(); it != samples.rend(); ++it) {
        if (it->load > split) {
            if (later != nullptr) {
                unpaired.push_back(&*it);
            }
            continue;
        }
        const double neighbours =
            later == nullptr ? it->log_latency : (it->log_latency + later->log_latency) / 2;
        for (const latency_sample* const high : unpaired) {
            if (differences.size() == max_saturation_window) {
                break;
            }
            if (differences.empty()) {
                found.window.newest = high->at;
            }
            differences.push_back(high->log_latency - neighbours);
            references.push_back(neighbours);
            load_sum += high->load;
            low_load_sum += it->load;
        }
        unpaired.clear();
        later = &*it;
    }
    const std::size_t count = differences.size();
    if (count < min_saturation_window) {
        return std::nullopt;
    }
    std::sort(differences.begin(), differences.end());
    std::sort(references.begin(), references.end());
    const double difference = differences[(count - 1) / 2];
    const double load_ratio = load_sum / low_load_sum;
    if (difference <= required_difference(std::max(tolerated_ratio, throughput_loss * load_ratio),
                                          count, 2 * count)) {
        return std::nullopt;
    }
    found.ratio = std::exp(difference);
    found.reference_log_latency = references[(count - 1) / 2];
    found.window.count = count;
    found.window.log_latency = found.reference_log_latency + difference;
    found.window.mean_load = load_sum / static_cast<double>(count);
    return found;
}

} // namespace

std::optional<saturation> find_saturation(const latency_samples& samples, unsigned declared)
{
    std::optional<saturation> lowest;
    for (unsigned split = 1; split < declared; ++split) {
        const std::optional<slowdown> found = compare_loads(samples.all(), split);
        if (!found) {
            continue;
        }
        // Beyond its saturation the latency of a server that keeps its throughput is proportional
        // to its load.
        const double throughput = found->window.mean_load / found->ratio;
        const double fitted = std::max(throughput, 1.0) * saturation_headroom;
        if (!lowest || fitted < lowest->concurrency) {
            lowest = saturation{fitted, *found};
        }
    }
    return lowest;
}

} // namespace currantpitch::capacity
