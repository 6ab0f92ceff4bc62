#include "soak/judge.h"

#include <algorithm>

namespace currantpitch::soak {

namespace {

/// Route of a target: everything up to the second slash.
std::string prefix_of(const std::string& target)
{
    const std::size_t end = target.find('/', 1);
    return end == std::string::npos ? target : target.substr(0, end + 1);
}

bool says_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void judge::find(const std::string& promise, const std::string& request, const std::string& detail)
{
    findings_.push_back(promise + " request=" + request + " " + detail);
}

void judge::on_configuration(const declared_configuration& c, core::time_point acknowledged)
{
    configuration known;
    known.acknowledged = acknowledged;
    for (const declared_route& r : c.routes) {
        known.services[r.path_prefix] = r.service;
        known.max_attempts = std::max(known.max_attempts, r.attempts);
    }
    for (const platform::standins::declared_workspace& w : c.workspaces) {
        for (const std::string& key : w.keys) {
            known.workspaces[key] = w.name;
        }
    }
    configurations_.push_back(std::move(known));
}

void judge::on_endpoint_leaving(const core::endpoint_id& e, core::time_point acknowledged)
{
    leaving_.emplace(e, acknowledged);
}

void judge::on_gateway_start(std::size_t gateway)
{
    shown_.erase(gateway);
}

void judge::on_disturbance(disturbed what, std::size_t which, core::time_point at)
{
    disturbances_.push_back({what, which, at});
}

void judge::on_calm(disturbed what, std::size_t which, core::time_point at)
{
    for (disturbance& d : disturbances_) {
        if (d.what == what && d.which == which && d.to == core::time_point::max()) {
            d.to = at;
            return;
        }
    }
}

bool judge::disturbed_in(disturbed what, std::size_t which, core::time_point from,
                         core::time_point to) const
{
    return std::any_of(disturbances_.begin(), disturbances_.end(), [&](const disturbance& d) {
        const bool ended = d.to != core::time_point::max() && d.to + bounds_.contact < from;
        return d.what == what && d.which == which && !ended && d.from <= to;
    });
}

bool judge::in_touch(std::size_t gateway, core::time_point from, core::time_point to) const
{
    return !disturbed_in(disturbed::gateway, gateway, from, to) &&
           !disturbed_in(disturbed::store, 0, from, to);
}

std::size_t judge::oldest_in_force(core::time_point sent, std::chrono::milliseconds bound) const
{
    std::size_t oldest = 0;
    for (std::size_t i = 0; i < configurations_.size(); ++i) {
        if (configurations_[i].acknowledged + bound < sent) {
            oldest = i;
        }
    }
    return oldest;
}

bool judge::allows(const configuration& c, const sent_call& call) const
{
    return c.services.contains(prefix_of(call.target)) && c.workspaces.contains(call.key);
}

bool judge::allows_run(const configuration& c, const sent_call& call, const arrival& a) const
{
    const auto service = c.services.find(prefix_of(call.target));
    const auto workspace = c.workspaces.find(call.key);
    return service != c.services.end() && service->second == a.service.str() &&
           workspace != c.workspaces.end() && a.workspace &&
           workspace->second == a.workspace->str();
}

void judge::on_sent(const sent_call& call)
{
    calls_[call.request].call = call;
}

void judge::on_arrival(const arrival& a)
{
    const auto found = calls_.find(a.request);
    if (found == calls_.end()) {
        find("unasked", a.request, "nobody sent it");
        return;
    }
    call_state& s = found->second;
    s.arrivals.push_back(a);
    if (a.runs) {
        judge_run(s, a);
    }
}

void judge::judge_run(call_state& s, const arrival& a)
{
    const sent_call& call = s.call;
    if (a.method != call.method || a.target != call.target || a.body != call.body) {
        find("changed", a.request, a.method + " " + a.target);
    }
    if (a.shows_key) {
        find("key-passed-on", a.request, a.endpoint.str());
    }
    const auto runs = std::count_if(s.arrivals.begin(), s.arrivals.end(),
                                    [](const arrival& x) { return x.runs; });
    if (call.retry == declared_route::kind::at_most_once && runs > 1) {
        find("twice", a.request, "runs=" + std::to_string(runs));
    }
    if (s.end && says_not_run(s.end->status) && !s.end->signature) {
        find("refused-and-ran", a.request, "ran after " + std::to_string(s.end->status));
    }
    const auto left = leaving_.find(a.endpoint);
    if (left != leaving_.end() && a.at > left->second + bounds_.drain &&
        in_touch(call.gateway, left->second, a.at)) {
        find("drain", a.request, a.endpoint.str());
    }
    judge_versions(s, a);
}

void judge::judge_versions(call_state& s, const arrival& a)
{
    const sent_call& call = s.call;
    std::vector<std::size_t> allowing;
    for (std::size_t i = 0; i < configurations_.size(); ++i) {
        if (allows_run(configurations_[i], call, a)) {
            allowing.push_back(i);
        }
    }
    if (allowing.empty()) {
        find("never-allowed", a.request, a.service.str());
        return;
    }
    const std::size_t newest = allowing.back();
    const bool fresh = newest >= oldest_in_force(call.at, bounds_.apply);
    if (!fresh && in_touch(call.gateway, call.at, a.at)) {
        find("old-configuration", a.request, "version=" + std::to_string(newest));
    }
    bool key_known = false;
    for (std::size_t i = oldest_in_force(call.at, bounds_.revoke); i < configurations_.size();
         ++i) {
        key_known = key_known || configurations_[i].workspaces.contains(call.key);
    }
    if (!key_known) {
        find("revoked-key", a.request, "gateway=" + std::to_string(call.gateway));
    }
    const auto shown = shown_.find(call.gateway);
    if (shown != shown_.end() && newest < shown->second.first &&
        call.at > shown->second.second + bounds_.rollback) {
        find("went-back", a.request, "gateway=" + std::to_string(call.gateway));
    }
    const std::size_t oldest = allowing.front();
    if (oldest > 0 && (shown == shown_.end() || oldest > shown->second.first)) {
        shown_[call.gateway] = {oldest, a.at};
    }
}

void judge::on_end(const std::string& request, const call_end& end)
{
    call_state& s = calls_.at(request);
    s.end = end;
    const bool in_reach = in_touch(s.call.gateway, s.call.at, end.at);
    in_touch_ += in_reach ? 1 : 0;
    if (!end.defect.empty()) {
        find("mixed", request, end.defect);
    }
    const bool late = end.at > s.call.at + s.call.timeout + bounds_.answer;
    if (late && in_reach && end.end != call_end::how::unsent) {
        find("no-final-answer", request,
             "after_ms=" + std::to_string(core::to_milliseconds(end.at - s.call.at)));
    }
    if (end.end == call_end::how::answered) {
        judge_answer(s, end);
    }
    else {
        ++failed_;
        judge_loss(s, end);
    }
}

void judge::judge_answer(call_state& s, const call_end& end)
{
    const bool success = end.status / 100 == 2;
    if (end.signature) {
        const bool genuine =
            std::any_of(s.arrivals.begin(), s.arrivals.end(), [&end](const arrival& a) {
                return a.runs && a.signature == *end.signature;
            });
        if (!genuine) {
            find("mixed", s.call.request, "answer of another run");
        }
        ++(success ? served_ : failed_);
        return;
    }
    if (success) {
        find("mixed", s.call.request, "success without an endpoint");
        return;
    }
    judge_own_refusal(s, end);
}

void judge::judge_own_refusal(call_state& s, const call_end& end)
{
    const bool ran =
        std::any_of(s.arrivals.begin(), s.arrivals.end(), [](const arrival& a) { return a.runs; });
    ++(says_not_run(end.status) ? refused_ : failed_);
    if (says_not_run(end.status) && ran) {
        find("refused-and-ran", s.call.request, "status=" + std::to_string(end.status));
    }
    const bool denied = end.status / 100 == 4 && !says_not_run(end.status);
    if (!denied) {
        return;
    }
    const auto allowed_from = [&](std::size_t first) {
        return std::all_of(configurations_.begin() + static_cast<long>(first),
                           configurations_.end(),
                           [&](const configuration& c) { return allows(c, s.call); });
    };
    const bool in_reach = in_touch(s.call.gateway, s.call.at, end.at);
    if (allowed_from(0) || (in_reach && allowed_from(oldest_in_force(s.call.at, bounds_.apply)))) {
        find("denied", s.call.request, "status=" + std::to_string(end.status));
    }
}

void judge::judge_loss(call_state& s, const call_end& end)
{
    const bool ended_by_system = end.end == call_end::how::cut || end.end == call_end::how::closed;
    const bool calm = in_touch(s.call.gateway, s.call.at, end.at) &&
                      !disturbed_in(disturbed::endpoints, 0, s.call.at, end.at);
    if (ended_by_system && calm && !s.arrivals.empty()) {
        find("lost", s.call.request, "gateway=" + std::to_string(s.call.gateway));
    }
}

void judge::judge_retries()
{
    std::map<std::string, std::vector<core::time_point>> repeats;
    std::map<std::string, std::vector<core::time_point>> requests;
    for (const std::pair<const std::string, call_state>& entry : calls_) {
        const call_state& s = entry.second;
        for (std::size_t i = 0; i < s.arrivals.size(); ++i) {
            (i == 0 ? requests : repeats)[s.arrivals[i].service.str()].push_back(s.arrivals[i].at);
        }
    }
    for (std::pair<const std::string, std::vector<core::time_point>>& entry : repeats) {
        std::vector<core::time_point>& extra = entry.second;
        const std::vector<core::time_point>& all = requests[entry.first];
        std::sort(extra.begin(), extra.end());
        const auto within = [this](const std::vector<core::time_point>& times,
                                   core::time_point end) {
            return static_cast<double>(
                std::count_if(times.begin(), times.end(), [&](core::time_point t) {
                    return t <= end && t > end - bounds_.retry_window;
                }));
        };
        for (const core::time_point t : extra) {
            const double base = std::max({within(all, t), within(all, t - bounds_.retry_window),
                                          within(all, t - bounds_.retry_window / 2)});
            if (within(extra, t) > bounds_.retry_ratio * base + bounds_.retry_slack) {
                find("retries", entry.first,
                     "repeats=" + std::to_string(within(extra, t)) +
                         " requests=" + std::to_string(base));
                break;
            }
        }
    }
}

void judge::judge_attempts()
{
    unsigned most = 0;
    for (const configuration& c : configurations_) {
        most = std::max(most, c.max_attempts);
    }
    std::size_t over = 0;
    for (const std::pair<const std::string, call_state>& entry : calls_) {
        const auto runs = std::count_if(entry.second.arrivals.begin(), entry.second.arrivals.end(),
                                        [](const arrival& a) { return a.runs; });
        over += runs > static_cast<long>(most) ? 1 : 0;
    }
    if (over > bounds_.over_attempts) {
        find("attempts", "-", "requests=" + std::to_string(over));
    }
}

void judge::finish()
{
    judge_retries();
    judge_attempts();
}

double judge::served_since(core::time_point t) const
{
    std::size_t all = 0;
    std::size_t good = 0;
    for (const std::pair<const std::string, call_state>& entry : calls_) {
        const call_state& s = entry.second;
        const bool counts = s.call.at >= t && s.end && allows(configurations_.back(), s.call);
        all += counts ? 1 : 0;
        good += counts && s.end->signature && s.end->status == 200 &&
                        s.end->end == call_end::how::answered
                    ? 1
                    : 0;
    }
    return all == 0 ? 1.0 : static_cast<double>(good) / static_cast<double>(all);
}

} // namespace currantpitch::soak
