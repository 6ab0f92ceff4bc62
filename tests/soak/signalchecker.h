#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <map>
#include <string>
#include <vector>

namespace currantpitch::soak {

/// Checks that endpoints get the requests that they say they accept: not more than the limit that
/// they name, none after they have said that they leave, and hardly any while they want none. Only
/// requests of gateways count that have been told so.
class signal_checker {
public:
    /// Time from which the limit must be kept after it was first named.
    static constexpr std::chrono::milliseconds notice_time{3000};
    /// Time from which a gateway counts after it has passed on an answer with the limit.
    static constexpr std::chrono::milliseconds told_time{500};
    static constexpr std::chrono::milliseconds window{4000};
    /// In a window an endpoint may get factor times the requests that its limit allows, and slack.
    static constexpr double factor = 1.5;
    static constexpr unsigned slack = 5;
    /// Time from which a gateway that has passed on that an endpoint leaves sends it none of its
    /// callers' new requests.
    static constexpr std::chrono::milliseconds drain_time{2000};
    /// Time from which a gateway that an endpoint has refused with a quiet time must keep to it,
    /// and the number of requests that are tolerated until its end.
    static constexpr std::chrono::milliseconds quiet_notice_time{500};
    static constexpr unsigned max_quiet_requests = 2;

    /// Reports that an endpoint names a limit from now on.
    void on_limit(const core::endpoint_id& endpoint, double per_second, core::time_point at);
    void on_limit_end(const core::endpoint_id& endpoint);
    /// Reports that an endpoint says from now on that it leaves.
    void on_leaving(const core::endpoint_id& endpoint, core::time_point at);
    /// Reports that an endpoint has refused a request of the gateway for this time.
    void on_quiet(std::size_t gateway, const core::endpoint_id& endpoint, core::duration quiet_time,
                  core::time_point at);
    /// Reports that the gateway passed on an answer of the endpoint to a request that had arrived
    /// at the given time.
    void on_answer(std::size_t gateway, const core::endpoint_id& endpoint,
                   core::time_point arrived_at, core::time_point at);
    /// Forgets what a gateway was told before it started.
    void on_gateway_start(std::size_t gateway);
    /// Records a request that the caller sent and that the endpoint got at these times. Returns a
    /// finding, empty if there is none.
    std::string on_arrival(std::size_t gateway, const core::endpoint_id& endpoint,
                           core::time_point sent_at, core::time_point at);

private:
    struct limit {
        double per_second = 0;
        core::time_point named_at;
        std::map<std::size_t, core::time_point> told_at;
        std::vector<core::time_point> arrivals;
        bool exceeded = false;
    };

    struct departure {
        core::time_point said_at;
        std::map<std::size_t, core::time_point> told_at;
    };
    struct quiet_period {
        core::time_point from;
        core::time_point until;
        unsigned requests = 0;
    };

    std::string check_limit(std::size_t gateway, const core::endpoint_id& endpoint,
                            core::time_point at);
    std::string check_quiet(std::size_t gateway, const core::endpoint_id& endpoint,
                            core::time_point at);

    std::map<core::endpoint_id, limit> limits_;
    std::map<core::endpoint_id, departure> departures_;
    std::map<std::pair<std::size_t, core::endpoint_id>, quiet_period> quiet_periods_;
};

} // namespace currantpitch::soak
