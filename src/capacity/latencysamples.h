#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <deque>
#include <optional>

namespace currantpitch::capacity {

/// One request at an endpoint.
struct latency_sample {
    core::time_point at;
    /// Number of requests at the endpoint, including this one.
    unsigned load = 1;
    /// Natural logarithm of the latency in milliseconds.
    double log_latency = 0;
    /// Entry that made the request; nullopt for this one.
    std::optional<core::host_id> peer;
};

/// Range of loads, both ends included.
struct load_range {
    unsigned min = 0;
    unsigned max = ~0U;
};

/// Statistics of the newest samples of an endpoint.
struct window_median {
    std::size_t count = 0;
    /// The lower median, so that more than half of the samples must be slow to make it slow.
    double log_latency = 0;
    /// The upper median, so that more than half of the samples must be fast to make it fast.
    double upper_log_latency = 0;
    double mean_load = 0;
    core::time_point newest;
};

/// The samples of one endpoint from this entry and its peers, in the order of their time.
class latency_samples {
public:
    void add(latency_sample s);
    /// Removes the samples that are older than sample_lifetime.
    void expire(core::time_point now);

    /// Removes all but the newest samples.
    void keep_newest(std::size_t size);

    /// Median of the newest samples with a load in the range. Samples of one peer beyond its
    /// fraction of the window are passed over. Returns nullopt if there are fewer than the size.
    std::optional<window_median> newest(std::size_t size, load_range loads) const;
    /// All samples, the oldest first.
    const std::deque<latency_sample>& all() const { return samples_; }
    std::size_t size() const { return samples_.size(); }
    std::size_t own_count() const;
    /// The newest sample; nullptr if there is none.
    const latency_sample* last() const;

private:
    bool limit_peers() const;

    std::deque<latency_sample> samples_;
};

} // namespace currantpitch::capacity
