#pragma once

#include "core/runtimeclock.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace currantpitch::admission {

/// Number of retries that a service accepts from all processes together.
struct retry_allowance {
    /// Retries allowed per request within a window.
    double ratio = 0.1;
    /// Additional retries allowed within a window, regardless of the number of requests.
    double slack = 0;
    std::chrono::milliseconds window{10000};
};

/// Fraction of the allowance that is used. The margin keeps the sum over all processes below the
/// allowance despite requests counted at the edge of a window and entries that start or stop.
inline constexpr double retry_allowance_utilization = 0.7;

/// Limits the retries of this process to its part of a service's allowance over a sliding window. A
/// process that has just started does not know how many retries its previous incarnation used, so
/// it uses none of the slack for one window.
class retry_window {
public:
    retry_window(retry_allowance allowance, core::time_point started_at)
        : allowance_(allowance), started_at_(started_at)
    {
    }

    /// Sets the number of processes that share the slack.
    void set_process_count(std::size_t processes)
    {
        process_count_ = processes == 0 ? 1 : processes;
    }
    void on_request(core::time_point now);
    /// Whether a retry is left in the allowance.
    bool has_retry(core::time_point now) const;
    /// Takes one retry from the allowance. Returns false when none is left.
    bool try_acquire_retry(core::time_point now);

private:
    static constexpr std::size_t bucket_count = 20;
    struct bucket {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    bucket& current_bucket(core::time_point now);
    bucket window_totals(core::time_point now) const;
    std::int64_t bucket_number_at(core::time_point t) const;

    retry_allowance allowance_;
    core::time_point started_at_;
    std::size_t process_count_ = 1;
    /// One bucket more than a window has, for the oldest bucket that is still partly in the window.
    std::array<bucket, bucket_count + 1> buckets_{};
};

} // namespace currantpitch::admission
