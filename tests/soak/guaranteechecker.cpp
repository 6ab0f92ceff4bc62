#include "soak/guaranteechecker.h"

#include <algorithm>

namespace currantpitch::soak {

namespace {

/// Returns the route prefix of a target, up to and including the second slash.
std::string route_prefix_of(const std::string& target)
{
    const std::size_t end = target.find('/', 1);
    return end == std::string::npos ? target : target.substr(0, end + 1);
}

/// What the platform's contact time exceeds the settling time by.
constexpr std::chrono::milliseconds contact_margin{1000};

bool means_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void guarantee_checker::add_finding(const std::string& guarantee, const std::string& request,
                                    const std::string& detail)
{
    findings_.push_back(guarantee + " request=" + request + " " + detail);
}

void guarantee_checker::on_configuration(const declared_configuration& c,
                                         core::time_point acknowledged)
{
    configuration added;
    added.acknowledged = acknowledged;
    for (const declared_route& r : c.routes) {
        added.services[r.path_prefix] = r.service;
        added.max_attempts = std::max(added.max_attempts, r.max_attempts);
    }
    for (const platform::standins::declared_workspace& w : c.workspaces) {
        for (const std::string& key : w.keys) {
            added.workspaces[key] = w.name;
        }
    }
    configurations_.push_back(std::move(added));
}

void guarantee_checker::on_endpoint_leaving(const core::endpoint_id& e,
                                            core::time_point acknowledged)
{
    leaving_.emplace(e, acknowledged);
}

void guarantee_checker::on_gateway_start(std::size_t gateway)
{
    newest_used_.erase(gateway);
    endpoint_signals_.on_gateway_start(gateway);
}

void guarantee_checker::on_disturbance_start(disturbance_target target, std::size_t index,
                                             core::time_point at)
{
    disturbances_.push_back({target, index, at});
}

void guarantee_checker::on_disturbance_end(disturbance_target target, std::size_t index,
                                           core::time_point at)
{
    for (disturbance& d : disturbances_) {
        if (d.target == target && d.index == index && d.to == core::time_point::max()) {
            d.to = at;
            return;
        }
    }
}

bool guarantee_checker::disturbed_between(disturbance_target target, std::size_t index,
                                          core::time_point from, core::time_point to) const
{
    return std::any_of(disturbances_.begin(), disturbances_.end(), [&](const disturbance& d) {
        const bool ended = d.to != core::time_point::max() && d.to + limits_.settling_time < from;
        return d.target == target && d.index == index && !ended && d.from <= to;
    });
}

bool guarantee_checker::gateway_undisturbed(std::size_t gateway, core::time_point from,
                                            core::time_point to) const
{
    return !disturbed_between(disturbance_target::gateway, gateway, from, to) &&
           !disturbed_between(disturbance_target::store, 0, from, to);
}

std::size_t guarantee_checker::oldest_usable_configuration(core::time_point sent_at,
                                                           std::chrono::milliseconds limit) const
{
    std::size_t oldest = 0;
    for (std::size_t i = 0; i < configurations_.size(); ++i) {
        if (configurations_[i].acknowledged + limit < sent_at) {
            oldest = i;
        }
    }
    return oldest;
}

bool guarantee_checker::allows(const configuration& c, const sent_call& call) const
{
    return c.services.contains(route_prefix_of(call.target)) && c.workspaces.contains(call.key);
}

bool guarantee_checker::allows_run(const configuration& c, const sent_call& call,
                                   const arrival& a) const
{
    const auto service = c.services.find(route_prefix_of(call.target));
    const auto workspace = c.workspaces.find(call.key);
    return service != c.services.end() && service->second == a.service.str() &&
           workspace != c.workspaces.end() && a.workspace &&
           workspace->second == a.workspace->str();
}

void guarantee_checker::on_sent(const sent_call& call)
{
    calls_[call.request].call = call;
}

void guarantee_checker::on_arrival(const arrival& a)
{
    const auto found = calls_.find(a.request);
    if (found == calls_.end()) {
        add_finding("unasked", a.request, "not sent by any caller");
        return;
    }
    call_state& s = found->second;
    s.arrivals.push_back(a);
    // The bound holds whatever the state of the gateways. A request that was meant for another
    // endpoint does not count.
    const std::string too_many = a.misdirected ? "" : cold_requests_.on_arrival(a.endpoint, a.at);
    if (!too_many.empty()) {
        add_finding("cold-endpoint", a.request, a.endpoint.str() + " " + too_many);
    }
    if (gateway_undisturbed(s.call.gateway, a.at, a.at)) {
        const std::string finding =
            endpoint_signals_.on_arrival(s.call.gateway, a.endpoint, s.call.at, a.at);
        if (!finding.empty()) {
            add_finding("endpoint-signal", a.request, a.endpoint.str() + " " + finding);
        }
    }
    check_evacuation(s, a);
    if (a.quiet_time.count() > 0) {
        endpoint_signals_.on_quiet(s.call.gateway, a.endpoint, a.quiet_time, a.at);
    }
    if (a.runs) {
        check_run(s, a);
    }
}

void guarantee_checker::check_evacuation(const call_state& s, const arrival& a)
{
    if (a.misdirected || !evacuations_.any_in_effect(a.at, limits_.evacuate) ||
        !gateway_undisturbed(s.call.gateway, a.at - contact_margin, a.at)) {
        return;
    }
    ++judged_in_evacuations_;
    if (evacuations_.is_late(a.endpoint, a.at, limits_.evacuate)) {
        add_finding("evacuation", a.request,
                    a.endpoint.str() + " gateway=" + std::to_string(s.call.gateway));
    }
}

void guarantee_checker::check_run(call_state& s, const arrival& a)
{
    const sent_call& call = s.call;
    if (a.method != call.method || a.target != call.target || a.body != call.body) {
        add_finding("changed", a.request, a.method + " " + a.target);
    }
    if (a.key_forwarded) {
        add_finding("key-passed-on", a.request, a.endpoint.str());
    }
    const auto runs = std::count_if(s.arrivals.begin(), s.arrivals.end(),
                                    [](const arrival& x) { return x.runs; });
    if (call.route_kind == declared_route::kind::at_most_once && runs > 1) {
        add_finding("twice", a.request, "runs=" + std::to_string(runs));
    }
    if (s.result && means_not_run(s.result->status) && !s.result->signature) {
        add_finding("refused-and-ran", a.request, "ran after " + std::to_string(s.result->status));
    }
    const auto leaving = leaving_.find(a.endpoint);
    if (leaving != leaving_.end() && a.at > leaving->second + limits_.drain &&
        gateway_undisturbed(call.gateway, leaving->second, a.at)) {
        add_finding("drain", a.request, a.endpoint.str());
    }
    check_crashing_request(s, a);
    check_configuration(s, a);
}

void guarantee_checker::check_crashing_request(const call_state& s, const arrival& a)
{
    if (a.crashed_by == arrival::crash_cause::none) {
        return;
    }
    const bool by_part = a.crashed_by == arrival::crash_cause::part;
    const std::vector<core::time_point>& crashes =
        by_part ? part_crashes_ : request_crashes_[a.target];
    const std::size_t allowed = by_part ? limits_.max_part_crashes : limits_.max_request_crashes;
    const bool late = crashes.size() >= allowed &&
                      a.at > crashes[allowed - 1] + limits_.settling_time &&
                      gateway_undisturbed(s.call.gateway, s.call.at, a.at);
    (by_part ? late_crashing_requests_ : late_repeats_[a.target]) += late ? 1 : 0;
}

std::size_t guarantee_checker::request_crashes() const
{
    std::size_t total = 0;
    for (const std::pair<const std::string, std::vector<core::time_point>>& r : request_crashes_) {
        total += r.second.size();
    }
    return total;
}

std::size_t guarantee_checker::late_crashing_requests() const
{
    std::size_t total = 0;
    for (const std::pair<const std::string, std::size_t>& r : late_repeats_) {
        total += r.second;
    }
    return total;
}

void guarantee_checker::check_configuration(call_state& s, const arrival& a)
{
    const sent_call& call = s.call;
    std::vector<std::size_t> matching;
    for (std::size_t i = 0; i < configurations_.size(); ++i) {
        if (allows_run(configurations_[i], call, a)) {
            matching.push_back(i);
        }
    }
    if (matching.empty()) {
        add_finding("never-allowed", a.request, a.service.str());
        return;
    }
    const std::size_t newest = matching.back();
    const bool current = newest >= oldest_usable_configuration(call.at, limits_.apply);
    if (!current && gateway_undisturbed(call.gateway, call.at, a.at)) {
        add_finding("old-configuration", a.request, "version=" + std::to_string(newest));
    }
    bool key_valid = false;
    for (std::size_t i = oldest_usable_configuration(call.at, limits_.revoke);
         i < configurations_.size(); ++i) {
        key_valid = key_valid || configurations_[i].workspaces.contains(call.key);
    }
    if (!key_valid) {
        add_finding("revoked-key", a.request, "gateway=" + std::to_string(call.gateway));
    }
    const auto newest_used = newest_used_.find(call.gateway);
    if (newest_used != newest_used_.end() && newest < newest_used->second.first &&
        call.at > newest_used->second.second + limits_.rollback) {
        add_finding("went-back", a.request, "gateway=" + std::to_string(call.gateway));
    }
    const std::size_t oldest = matching.front();
    if (oldest > 0 && (newest_used == newest_used_.end() || oldest > newest_used->second.first)) {
        newest_used_[call.gateway] = {oldest, a.at};
    }
}

void guarantee_checker::on_end(const std::string& request, const call_result& result)
{
    call_state& s = calls_.at(request);
    s.result = result;
    const bool undisturbed = gateway_undisturbed(s.call.gateway, s.call.at, result.at);
    undisturbed_calls_ += undisturbed ? 1 : 0;
    sound_suspected_ +=
        result.refused_as_suspect && !request_crashes_.contains(s.call.target) ? 1 : 0;
    if (!result.defect.empty()) {
        add_finding("mixed", request, result.defect);
    }
    const bool late = result.at > s.call.at + s.call.timeout + limits_.answer;
    if (late && undisturbed && result.outcome != call_result::outcome_kind::unsent) {
        add_finding("no-final-answer", request,
                    "after_ms=" + std::to_string(core::to_milliseconds(result.at - s.call.at)));
    }
    if (result.outcome == call_result::outcome_kind::answered) {
        if (result.signature && !s.arrivals.empty()) {
            const arrival& last = s.arrivals.back();
            endpoint_signals_.on_answer(s.call.gateway, last.endpoint, last.at, result.at);
        }
        check_answer(s, result);
    }
    else {
        ++failed_;
        check_lost_request(s, result);
    }
}

void guarantee_checker::check_answer(call_state& s, const call_result& result)
{
    const bool success = result.status / 100 == 2;
    if (result.signature) {
        const bool genuine =
            std::any_of(s.arrivals.begin(), s.arrivals.end(), [&result](const arrival& a) {
                return a.runs && a.signature == *result.signature;
            });
        if (!genuine) {
            add_finding("mixed", s.call.request, "answer of another run");
        }
        ++(success ? served_ : failed_);
        return;
    }
    if (success) {
        add_finding("mixed", s.call.request, "success without an endpoint");
        return;
    }
    check_gateway_answer(s, result);
}

void guarantee_checker::check_gateway_answer(call_state& s, const call_result& result)
{
    const bool ran =
        std::any_of(s.arrivals.begin(), s.arrivals.end(), [](const arrival& a) { return a.runs; });
    ++(means_not_run(result.status) ? refused_ : failed_);
    if (means_not_run(result.status) && ran) {
        add_finding("refused-and-ran", s.call.request, "status=" + std::to_string(result.status));
    }
    const bool denied = result.status / 100 == 4 && !means_not_run(result.status);
    if (!denied) {
        return;
    }
    const auto allowed_from = [&](std::size_t first) {
        return std::all_of(configurations_.begin() + static_cast<long>(first),
                           configurations_.end(),
                           [&](const configuration& c) { return allows(c, s.call); });
    };
    const bool undisturbed = gateway_undisturbed(s.call.gateway, s.call.at, result.at);
    if (allowed_from(0) ||
        (undisturbed && allowed_from(oldest_usable_configuration(s.call.at, limits_.apply)))) {
        add_finding("denied", s.call.request, "status=" + std::to_string(result.status));
    }
}

void guarantee_checker::check_lost_request(call_state& s, const call_result& result)
{
    const bool closed_by_system = result.outcome == call_result::outcome_kind::cut ||
                                  result.outcome == call_result::outcome_kind::closed;
    const bool no_disturbance =
        gateway_undisturbed(s.call.gateway, s.call.at, result.at) &&
        !disturbed_between(disturbance_target::endpoints, 0, s.call.at, result.at);
    if (closed_by_system && no_disturbance && !s.arrivals.empty()) {
        add_finding("lost", s.call.request, "gateway=" + std::to_string(s.call.gateway));
    }
}

void guarantee_checker::check_retries()
{
    std::map<std::string, std::vector<core::time_point>> retries;
    std::map<std::string, std::vector<core::time_point>> requests;
    for (const std::pair<const std::string, call_state>& entry : calls_) {
        const call_state& s = entry.second;
        for (std::size_t i = 0; i < s.arrivals.size(); ++i) {
            (i == 0 ? requests : retries)[s.arrivals[i].service.str()].push_back(s.arrivals[i].at);
        }
    }
    for (std::pair<const std::string, std::vector<core::time_point>>& entry : retries) {
        std::vector<core::time_point>& retry_times = entry.second;
        const std::vector<core::time_point>& request_times = requests[entry.first];
        std::sort(retry_times.begin(), retry_times.end());
        const auto count_within = [this](const std::vector<core::time_point>& times,
                                         core::time_point window_end) {
            return static_cast<double>(
                std::count_if(times.begin(), times.end(), [&](core::time_point t) {
                    return t <= window_end && t > window_end - limits_.retry_window;
                }));
        };
        for (const core::time_point t : retry_times) {
            const double base =
                std::max({count_within(request_times, t),
                          count_within(request_times, t - limits_.retry_window),
                          count_within(request_times, t - limits_.retry_window / 2)});
            if (count_within(retry_times, t) > limits_.retry_ratio * base + limits_.retry_slack) {
                add_finding("retries", entry.first,
                            "repeats=" + std::to_string(count_within(retry_times, t)) +
                                " requests=" + std::to_string(base));
                break;
            }
        }
    }
}

void guarantee_checker::check_attempts()
{
    unsigned max_attempts = 0;
    for (const configuration& c : configurations_) {
        max_attempts = std::max(max_attempts, c.max_attempts);
    }
    std::size_t excess = 0;
    for (const std::pair<const std::string, call_state>& entry : calls_) {
        const auto runs = std::count_if(entry.second.arrivals.begin(), entry.second.arrivals.end(),
                                        [](const arrival& a) { return a.runs; });
        excess += runs > static_cast<long>(max_attempts) ? 1 : 0;
    }
    if (excess > limits_.max_excess_attempts) {
        add_finding("attempts", "-", "requests=" + std::to_string(excess));
    }
}

void guarantee_checker::finish()
{
    check_retries();
    check_attempts();
    if (late_crashing_requests_ > limits_.max_late_crashing_requests) {
        add_finding("crashing-part", "-", "requests=" + std::to_string(late_crashing_requests_));
    }
    for (const std::pair<const std::string, std::size_t>& r : late_repeats_) {
        if (r.second > limits_.max_late_repeats) {
            add_finding("crashing-request", r.first,
                        "requests=" + std::to_string(r.second) +
                            " crashes=" + std::to_string(request_crashes_[r.first].size()));
        }
    }
    if (static_cast<double>(sound_suspected_) >
        limits_.max_suspected_ratio * static_cast<double>(calls_.size())) {
        add_finding("sound-suspected", "-", "requests=" + std::to_string(sound_suspected_));
    }
}

double guarantee_checker::success_ratio_since(core::time_point t) const
{
    std::size_t total = 0;
    std::size_t succeeded = 0;
    for (const std::pair<const std::string, call_state>& entry : calls_) {
        const call_state& s = entry.second;
        const bool counted = s.call.at >= t && s.result && allows(configurations_.back(), s.call);
        total += counted ? 1 : 0;
        succeeded += counted && s.result->signature && s.result->status == 200 &&
                             s.result->outcome == call_result::outcome_kind::answered
                         ? 1
                         : 0;
    }
    return total == 0 ? 1.0 : static_cast<double>(succeeded) / static_cast<double>(total);
}

} // namespace currantpitch::soak
