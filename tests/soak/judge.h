#pragma once

#include "core/runtimeclock.h"
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
    declared_route::kind retry = declared_route::kind::idempotent;
    std::chrono::milliseconds timeout{};
    core::time_point at;
};

/// How a call ended, as the caller saw it.
struct call_end {
    enum class how {
        answered, ///< with a whole answer
        cut,      ///< in the middle of an answer
        closed,   ///< without an answer
        unsent,   ///< it could not be sent whole
        gave_up,  ///< the caller's patience was over
    } end = how::closed;
    unsigned status = 0;
    std::optional<std::string> signature;
    /// What is wrong with the answer itself; empty when nothing is.
    std::string defect;
    core::time_point at;
};

/// Who a disturbance concerns.
enum class disturbed { gateway, endpoints, store };

/// Holds what callers sent and saw and what endpoints ran against the promises.
class judge {
public:
    explicit judge(bounds b) : bounds_(b) {}

    void on_configuration(const declared_configuration& c, core::time_point acknowledged);
    void on_endpoint_leaving(const core::endpoint_id& e, core::time_point acknowledged);
    /// A process began to run anew.
    void on_gateway_start(std::size_t gateway);
    /// Until the matching calm, and for the time of contact after it, bounds of time do not count.
    /// Planned work is no disturbance.
    void on_disturbance(disturbed what, std::size_t which, core::time_point at);
    void on_calm(disturbed what, std::size_t which, core::time_point at);

    /// Whether a disturbance held the gateway up at some time in between.
    bool held_up(std::size_t gateway, core::time_point from, core::time_point to) const
    {
        return disturbed_in(disturbed::gateway, gateway, from, to);
    }

    void on_sent(const sent_call& call);
    void on_arrival(const arrival& a);
    void on_end(const std::string& request, const call_end& end);
    /// Findings that need the whole run.
    void finish();

    const std::vector<std::string>& findings() const { return findings_; }
    /// Part of the requests sent since then that were answered with success; one when none was.
    double served_since(core::time_point t) const;
    std::size_t sent() const { return calls_.size(); }
    std::size_t served() const { return served_; }
    std::size_t refused() const { return refused_; }
    std::size_t failed() const { return failed_; }
    std::size_t judged_in_touch() const { return in_touch_; }

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
        std::optional<call_end> end;
    };
    struct disturbance {
        disturbed what;
        std::size_t which = 0;
        core::time_point from;
        core::time_point to = core::time_point::max();
    };

    void find(const std::string& promise, const std::string& request, const std::string& detail);
    bool disturbed_in(disturbed what, std::size_t which, core::time_point from,
                      core::time_point to) const;
    /// The gateway and the store were undisturbed from the time of contact before until then.
    bool in_touch(std::size_t gateway, core::time_point from, core::time_point to) const;
    /// Oldest configuration that may still decide a request sent then.
    std::size_t oldest_in_force(core::time_point sent, std::chrono::milliseconds bound) const;
    bool allows(const configuration& c, const sent_call& call) const;
    bool allows_run(const configuration& c, const sent_call& call, const arrival& a) const;
    void judge_run(call_state& s, const arrival& a);
    void judge_versions(call_state& s, const arrival& a);
    void judge_answer(call_state& s, const call_end& end);
    void judge_own_refusal(call_state& s, const call_end& end);
    void judge_loss(call_state& s, const call_end& end);
    void judge_retries();
    void judge_attempts();

    bounds bounds_;
    std::vector<configuration> configurations_;
    std::map<core::endpoint_id, core::time_point> leaving_;
    std::vector<disturbance> disturbances_;
    std::map<std::string, call_state> calls_;
    /// Newest configuration that a gateway's present life has shown, and when.
    std::map<std::size_t, std::pair<std::size_t, core::time_point>> shown_;
    std::vector<std::string> findings_;
    std::size_t served_ = 0;
    std::size_t refused_ = 0;
    std::size_t failed_ = 0;
    std::size_t in_touch_ = 0;
};

} // namespace currantpitch::soak
