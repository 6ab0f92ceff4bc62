#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <map>
#include <string>
#include <vector>

namespace currantpitch::soak {

/// Checks that endpoints which have named a limit of requests per second do not get more of them.
/// Only requests of gateways count that have passed on an answer with the limit.
class limit_checker {
public:
    /// Time from which the limit must be kept after it was first named.
    static constexpr std::chrono::milliseconds notice_time{3000};
    /// Time from which a gateway counts after it has passed on an answer with the limit.
    static constexpr std::chrono::milliseconds told_time{500};
    static constexpr std::chrono::milliseconds window{4000};
    /// In a window an endpoint may get factor times the requests that its limit allows, and slack.
    static constexpr double factor = 1.5;
    static constexpr unsigned slack = 5;

    /// Reports that an endpoint names a limit from now on.
    void on_limit(const core::endpoint_id& endpoint, double per_second, core::time_point at);
    void on_limit_end(const core::endpoint_id& endpoint);
    /// Reports that the gateway passed on an answer of the endpoint to a request that had arrived
    /// at the given time.
    void on_answer(std::size_t gateway, const core::endpoint_id& endpoint,
                   core::time_point arrived_at, core::time_point at);
    /// Forgets what a gateway was told before it started.
    void on_gateway_start(std::size_t gateway);
    /// Records a request. Returns a finding, empty if there is none.
    std::string on_arrival(std::size_t gateway, const core::endpoint_id& endpoint,
                           core::time_point at);

private:
    struct limit {
        double per_second = 0;
        core::time_point named_at;
        std::map<std::size_t, core::time_point> told_at;
        std::vector<core::time_point> arrivals;
        bool exceeded = false;
    };

    std::map<core::endpoint_id, limit> limits_;
};

} // namespace currantpitch::soak
