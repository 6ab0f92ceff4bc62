#pragma once

#include "core/runtimeclock.h"
#include "soak/coldchecker.h"
#include "soak/evacuationchecker.h"
#include "soak/signalchecker.h"
#include "soak/soakconstants.h"
#include "standins/standincaller.h"
#include "standins/standinendpoint.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace currantpitch::soak {

using platform::standins::arrival;
using platform::standins::declared_configuration;
using platform::standins::declared_route;

/// A request that a caller sent.
struct sent_call {
    std::string request;
    std::size_t gateway = 0;
    std::string method;
    std::string target;
    std::string body;
    std::string key;
    declared_route::kind route_kind = declared_route::kind::idempotent;
    std::chrono::milliseconds timeout{};
    core::time_point at;
};

/// Result of a call, as the caller saw it.
struct call_result {
    enum class outcome_kind {
        answered, ///< complete answer
        cut,      ///< connection closed in the middle of an answer
        closed,   ///< connection closed without an answer
        unsent,   ///< request could not be sent completely
        gave_up,  ///< caller timed out or abandoned the request
    } outcome = outcome_kind::closed;
    unsigned status = 0;
    std::optional<std::string> signature;
    /// Defect of the answer itself, empty if there is none.
    std::string defect;
    core::time_point at;
    /// The request was refused because it is suspected of crashing endpoints.
    bool refused_as_suspect = false;
};

/// Part of the system that a disturbance affects.
enum class disturbance_target { gateway, endpoints, store };

/// Checks the requests and answers of the callers and the runs at the endpoints against the
/// guarantees of the system.
class guarantee_checker {
public:
    explicit guarantee_checker(guarantee_limits limits) : limits_(limits) {}

    void on_configuration(const declared_configuration& c, core::time_point acknowledged);
    void on_endpoint_leaving(const core::endpoint_id& e, core::time_point acknowledged);
    /// Reports that an endpoint names a limit of requests per second, or none any more.
    void on_endpoint_limit(const core::endpoint_id& e, double per_second, core::time_point at)
    {
        endpoint_signals_.on_limit(e, per_second, at);
    }
    void on_endpoint_limit_end(const core::endpoint_id& e) { endpoint_signals_.on_limit_end(e); }
    /// Reports that an endpoint says in its answers that it leaves.
    void on_endpoint_word_of_leaving(const core::endpoint_id& e, core::time_point at)
    {
        endpoint_signals_.on_leaving(e, at);
    }
    /// Takes the evacuations of failure domains.
    evacuation_checker& evacuations() { return evacuations_; }
    /// Reports that an endpoint is cold between these times and accepts this many requests per
    /// second meanwhile.
    void on_endpoint_cold(const core::endpoint_id& e, double per_second, core::time_point from,
                          core::time_point until)
    {
        cold_requests_.on_cold(e, per_second * limits_.cold_overshoot + limits_.cold_tolerance,
                               from, until);
    }
    /// Reports that a part of a prompt crashed an endpoint.
    void on_part_crash(core::time_point at) { part_crashes_.push_back(at); }
    /// Reports that a request with this target crashed an endpoint.
    void on_request_crash(const std::string& target, core::time_point at)
    {
        request_crashes_[target].push_back(at);
    }
    /// Reports that a gateway process was started or restarted.
    void on_gateway_start(std::size_t gateway);
    /// Time limits, except for rollback and revoke, don't apply until the matching
    /// on_disturbance_end() and for the settling time after it. Planned work, such as a drain, is
    /// not a disturbance.
    void on_disturbance_start(disturbance_target target, std::size_t index, core::time_point at);
    void on_disturbance_end(disturbance_target target, std::size_t index, core::time_point at);

    /// Returns whether the gateway was disturbed at some time between @a from and @a to.
    bool was_disturbed(std::size_t gateway, core::time_point from, core::time_point to) const
    {
        return disturbed_between(disturbance_target::gateway, gateway, from, to);
    }

    void on_sent(const sent_call& call);
    void on_arrival(const arrival& a);
    void on_end(const std::string& request, const call_result& result);
    /// Adds the findings that need the complete run.
    void finish();

    const std::vector<std::string>& findings() const { return findings_; }
    /// Ratio of the requests sent at @a t or later that succeeded; 1 if none was sent.
    double success_ratio_since(core::time_point t) const;
    std::size_t sent() const { return calls_.size(); }
    std::size_t served() const { return served_; }
    std::size_t refused() const { return refused_; }
    std::size_t failed() const { return failed_; }
    std::size_t undisturbed_calls() const { return undisturbed_calls_; }
    /// Number of requests at endpoints that were checked while an evacuation had to be in effect.
    std::size_t judged_in_evacuations() const { return judged_in_evacuations_; }
    /// Number of times that a part of a prompt crashed an endpoint.
    std::size_t part_crashes() const { return part_crashes_.size(); }
    /// Number of endpoints that requests crashed as a whole, and of the requests that reached
    /// endpoints although they had to be known by then.
    std::size_t request_crashes() const;
    std::size_t late_crashing_requests() const;
    /// Number of requests that cold endpoints got, and the most that one got within a second.
    std::size_t cold_requests() const { return cold_requests_.requests(); }
    std::size_t most_cold_requests() const { return cold_requests_.most_in_a_second(); }
    /// Number of sound requests that were refused as suspects.
    std::size_t sound_suspected() const { return sound_suspected_; }

private:
    struct configuration {
        std::map<std::string, std::string> services;
        std::map<std::string, std::string> workspaces;
        unsigned max_attempts = 0;
        core::time_point acknowledged;
    };
    struct call_state {
        sent_call call;
        std::vector<arrival> arrivals;
        std::optional<call_result> result;
    };
    struct disturbance {
        disturbance_target target;
        std::size_t index = 0;
        core::time_point from;
        core::time_point to = core::time_point::max();
    };

    void add_finding(const std::string& guarantee, const std::string& request,
                     const std::string& detail);
    bool disturbed_between(disturbance_target target, std::size_t index, core::time_point from,
                           core::time_point to) const;
    /// Returns whether the gateway and the store were undisturbed between @a from and @a to and for
    /// the settling time before.
    bool gateway_undisturbed(std::size_t gateway, core::time_point from, core::time_point to) const;
    /// Index of the oldest configuration that may still be used for a request sent at that time.
    std::size_t oldest_usable_configuration(core::time_point sent_at,
                                            std::chrono::milliseconds limit) const;
    bool allows(const configuration& c, const sent_call& call) const;
    bool allows_run(const configuration& c, const sent_call& call, const arrival& a) const;
    void check_run(call_state& s, const arrival& a);
    void check_evacuation(const call_state& s, const arrival& a);
    void check_configuration(call_state& s, const arrival& a);
    void check_answer(call_state& s, const call_result& result);
    void check_gateway_answer(call_state& s, const call_result& result);
    void check_lost_request(call_state& s, const call_result& result);
    void check_retries();
    void check_attempts();
    void check_crashing_request(const call_state& s, const arrival& a);

    guarantee_limits limits_;
    signal_checker endpoint_signals_;
    evacuation_checker evacuations_;
    cold_checker cold_requests_;
    std::vector<configuration> configurations_;
    std::map<core::endpoint_id, core::time_point> leaving_;
    std::vector<disturbance> disturbances_;
    std::map<std::string, call_state> calls_;
    /// Newest configuration that each gateway is known to have used since its last start, and when.
    std::map<std::size_t, std::pair<std::size_t, core::time_point>> newest_used_;
    /// Times of the crashes by a part of prompts, in their order.
    std::vector<core::time_point> part_crashes_;
    std::size_t late_crashing_requests_ = 0;
    /// Times of the crashes by each request, by its target, and its arrivals after them that came
    /// too late.
    std::map<std::string, std::vector<core::time_point>> request_crashes_;
    std::map<std::string, std::size_t> late_repeats_;
    std::size_t sound_suspected_ = 0;
    std::vector<std::string> findings_;
    std::size_t served_ = 0;
    std::size_t refused_ = 0;
    std::size_t failed_ = 0;
    std::size_t undisturbed_calls_ = 0;
    std::size_t judged_in_evacuations_ = 0;
};

} // namespace currantpitch::soak
