#pragma once

#include "capacity/capacityconstants.h"
#include "capacity/latencysamples.h"

#include <array>
#include <optional>
#include <vector>

namespace currantpitch::capacity {

/// Medians of the newest samples of one endpoint, for each of window_sizes.
using window_medians = std::array<std::optional<window_median>, window_sizes.size()>;

window_medians medians_of(const latency_samples& samples, load_range loads);

/// Logarithms of the latencies that the endpoints of a service are compared with, for each of
/// window_sizes. Equal windows are compared, so that a slowdown of all endpoints cancels out.
using reference_latencies = std::array<std::optional<double>, window_sizes.size()>;

/// An endpoint with few samples counts with its largest window: otherwise a slow endpoint with many
/// samples would be compared with itself. Takes the value below which a fraction of the endpoints'
/// medians lie. A reference needs min_endpoints medians.
reference_latencies references_of(const std::vector<window_medians>& endpoints, double fraction,
                                  std::size_t min_endpoints);

/// A latency that exceeds the reference by more than noise explains.
struct slowdown {
    /// Median latency as a multiple of the reference.
    double ratio = 1;
    window_median window;
    double reference_log_latency = 0;
};

/// Smallest difference of the logarithms of two medians that is taken for a slowdown.
double required_difference(double tolerated, std::size_t samples, std::size_t reference_samples);

/// Compares the medians with the references, from the smallest window of at least min_window on.
/// Returns the first slowdown; nullopt if there is none.
std::optional<slowdown> find_slowdown(const window_medians& medians,
                                      const reference_latencies& references, double tolerated,
                                      std::size_t min_window);

/// Number of requests beyond which an endpoint serves fewer in a second.
struct saturation {
    double concurrency = 0;
    slowdown evidence;
};

/// Compares the samples above each load with those at or below it at about the same time. Returns
/// the saturation with the lowest concurrency; nullopt if the latency does not rise with the load.
std::optional<saturation> find_saturation(const latency_samples& samples, unsigned declared);

} // namespace currantpitch::capacity
