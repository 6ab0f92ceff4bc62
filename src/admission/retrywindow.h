#pragma once

#include "core/runtimeclock.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace currantpitch::admission {

/// How many repeats a service takes from all processes together.
struct retry_allowance {
    /// Repeats for each request within a window.
    double ratio = 0.1;
    /// Repeats within a window besides.
    double slack = 0;
    std::chrono::milliseconds window{10000};
};

/// Part of the allowance that is used, so that requests which are counted at the edge of a window
/// and entries that start or stop keep the sum of all processes below it.
inline constexpr double retry_allowance_used = 0.7;

/// This process's part of a service's allowance, over a sliding window. A process that has just
/// started does not know what an earlier life of it spent, and takes none of the slack for one
/// window.
class retry_window {
public:
    retry_window(retry_allowance allowance, core::time_point started)
        : allowance_(allowance), started_(started)
    {
    }

    /// Processes that share the slack.
    void set_sharers(std::size_t processes) { sharers_ = processes == 0 ? 1 : processes; }
    void on_request(core::time_point now);
    /// Acquires one retry from the allowance; false when none is left.
    bool try_acquire_retry(core::time_point now);

private:
    static constexpr std::size_t slots = 20;
    struct slot {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    slot& present(core::time_point now);
    slot sum(core::time_point now) const;
    std::int64_t number_at(core::time_point t) const;

    retry_allowance allowance_;
    core::time_point started_;
    std::size_t sharers_ = 1;
    /// One more than a window, for the slot that has only partly passed.
    std::array<slot, slots + 1> slots_{};
};

} // namespace currantpitch::admission
