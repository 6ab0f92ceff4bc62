#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <deque>
#include <map>
#include <string>

namespace currantpitch::soak {

/// Checks that cold endpoints get no more requests within any second than they accept.
class cold_checker {
public:
    /// Reports that an endpoint is cold between these times and accepts this many requests within
    /// a second.
    void on_cold(const core::endpoint_id& endpoint, double allowed, core::time_point from,
                 core::time_point until);
    /// Records a request that an endpoint got. Returns a finding for the first one that was too
    /// many, otherwise nothing.
    std::string on_arrival(const core::endpoint_id& endpoint, core::time_point at);

    /// Number of requests that cold endpoints got, and the most that one got within a second.
    std::size_t requests() const { return requests_; }
    std::size_t most_in_a_second() const { return most_; }

private:
    struct cold_time {
        double allowed = 0;
        core::time_point from;
        core::time_point until;
        std::deque<core::time_point> arrivals;
        bool exceeded = false;
    };

    std::map<core::endpoint_id, cold_time> cold_times_;
    std::size_t requests_ = 0;
    std::size_t most_ = 0;
};

} // namespace currantpitch::soak
