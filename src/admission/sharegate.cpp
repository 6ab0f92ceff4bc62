#include "admission/sharegate.h"

#include <algorithm>
#include <cmath>

namespace currantpitch::admission {

std::string_view to_string(admission_kind kind)
{
    switch (kind) {
    case admission_kind::guaranteed:
        return "guaranteed";
    case admission_kind::borrowed:
        return "borrowed";
    case admission_kind::waiting:
        return "waiting";
    case admission_kind::refused:
        return "refused";
    }
    return "unknown";
}

share_gate::workspace_state& share_gate::find_or_create(const core::workspace_id& workspace)
{
    const auto found = workspaces_.find(workspace);
    if (found != workspaces_.end()) {
        return found->second;
    }
    workspace_state& created = workspaces_[workspace];
    created.id = workspace;
    return created;
}

bool share_gate::active(const workspace_state& w) const
{
    return w.in_use > 0 || w.waiting > 0 || !w.demand_by_peer.empty();
}

void share_gate::update_activity(workspace_state& w)
{
    const bool now_active = active(w);
    if (now_active == w.counted_active) {
        return;
    }
    total_active_share_ += now_active ? w.share : -w.share;
    w.counted_active = now_active;
}

void share_gate::set_workspace(const core::workspace_id& workspace, double share,
                               std::size_t entries, std::uint32_t max_in_use)
{
    workspace_state& w = find_or_create(workspace);
    const double positive_share = share > 0 && std::isfinite(share) ? share : 1;
    if (w.counted_active) {
        total_active_share_ += positive_share - w.share;
    }
    w.share = positive_share;
    w.entries = std::max<std::size_t>(entries, 1);
    w.max_in_use = max_in_use;
}

void share_gate::remove_workspace(const core::workspace_id& workspace)
{
    const auto found = workspaces_.find(workspace);
    if (found == workspaces_.end() || found->second.in_use > 0 || found->second.waiting > 0) {
        return;
    }
    found->second.demand_by_peer.clear();
    update_activity(found->second);
    workspaces_.erase(found);
}

void share_gate::set_capacity(double slots, double used_by_peers)
{
    capacity_ = std::isfinite(slots) ? std::max(slots, 0.0) : 0;
    used_by_peers_ = std::isfinite(used_by_peers) ? std::max(used_by_peers, 0.0) : 0;
}

void share_gate::on_peer_demand(const peer_demand& report, core::time_point now)
{
    workspace_state& w = find_or_create(report.workspace);
    if (report.demand > 0 && std::isfinite(report.demand)) {
        w.demand_by_peer[report.peer] = received_demand{report.demand, now};
    }
    else {
        w.demand_by_peer.erase(report.peer);
    }
    update_activity(w);
}

double share_gate::local_fraction(workspace_state& w, core::time_point now)
{
    double total_peer_demand = 0;
    bool any_expired = false;
    for (auto it = w.demand_by_peer.begin(); it != w.demand_by_peer.end();) {
        if (now - it->second.at > demand_lifetime) {
            it = w.demand_by_peer.erase(it);
            any_expired = true;
            continue;
        }
        total_peer_demand += it->second.demand;
        ++it;
    }
    if (any_expired) {
        update_activity(w);
    }
    const double local_demand = w.in_use + static_cast<double>(w.waiting) + 1;
    const double fallback = 1.0 / static_cast<double>(w.entries);
    // Without any reported peer demand, this entry uses only its own fallback fraction and leaves
    // theirs to the peers.
    if (w.demand_by_peer.empty()) {
        return fallback;
    }
    return std::max(local_demand / (local_demand + total_peer_demand), fallback / 2);
}

double share_gate::fair_share(workspace_state& w, core::time_point now)
{
    const double fraction = local_fraction(w, now);
    const double total = w.counted_active ? total_active_share_ : total_active_share_ + w.share;
    return capacity_ * w.share / total * fraction;
}

double share_gate::fair_share(const core::workspace_id& workspace, core::time_point now)
{
    return fair_share(find_or_create(workspace), now);
}

bool share_gate::has_capacity(double capacity_fraction) const
{
    return used_by_peers_ + in_use_ + 1 <= capacity_ * capacity_fraction;
}

bool share_gate::below_limit(const workspace_state& w) const
{
    return w.max_in_use == 0 || w.in_use < w.max_in_use;
}

std::optional<admission_kind> share_gate::immediate_admission(workspace_state& w,
                                                              core::time_point now)
{
    if (!below_limit(w)) {
        return std::nullopt;
    }
    // A workspace without a running request may start one, however small its fair share is.
    if (w.in_use < std::max(fair_share(w, now), 1.0) && has_capacity(1)) {
        return admission_kind::guaranteed;
    }
    if (has_capacity(borrowing_utilization_limit)) {
        return admission_kind::borrowed;
    }
    return std::nullopt;
}

core::duration share_gate::expected_wait(workspace_state& w, core::time_point now)
{
    const double slots = std::max({fair_share(w, now), static_cast<double>(w.in_use), 1.0});
    const double rounds = static_cast<double>(w.waiting + 1) / slots;
    return std::chrono::duration_cast<core::duration>(service_time_ * rounds);
}

void share_gate::admit(workspace_state& w)
{
    ++w.in_use;
    ++in_use_;
    update_activity(w);
}

admission_decision share_gate::request(const core::workspace_id& workspace, int priority,
                                       core::duration time_left, core::time_point now)
{
    workspace_state& w = find_or_create(workspace);
    if (w.waiting == 0) {
        const std::optional<admission_kind> kind = immediate_admission(w, now);
        if (kind) {
            admit(w);
            return {*kind, {}, {}, {}};
        }
    }
    const core::duration wait = expected_wait(w, now);
    const std::chrono::milliseconds retry_after =
        std::chrono::ceil<std::chrono::milliseconds>(wait);
    if (capacity_ <= 0) {
        return {admission_kind::refused, {}, retry_after, "no_capacity"};
    }
    if (wait > time_left) {
        return {admission_kind::refused, {}, retry_after, "deadline"};
    }
    if (w.waiting >= max_waiting_per_workspace) {
        return {admission_kind::refused, {}, retry_after, "queue_full"};
    }
    last_ticket_ = last_ticket_.next();
    w.queues[priority].push_back({last_ticket_, now + time_left});
    ++w.waiting;
    ++waiting_count_;
    workspaces_with_waiting_.insert(workspace);
    tickets_[last_ticket_] = workspace;
    deadlines_.insert({now + time_left, last_ticket_});
    update_activity(w);
    return {admission_kind::waiting, last_ticket_, {}, {}};
}

void share_gate::release(const core::workspace_id& workspace, core::duration service_time)
{
    release_unused(workspace);
    const double mean = static_cast<double>(service_time_.count()) * (1 - service_time_weight) +
                        static_cast<double>(service_time.count()) * service_time_weight;
    service_time_ = core::duration(static_cast<core::duration::rep>(mean));
}

void share_gate::release_unused(const core::workspace_id& workspace)
{
    workspace_state& w = find_or_create(workspace);
    if (w.in_use == 0) {
        return;
    }
    --w.in_use;
    --in_use_;
    update_activity(w);
}

void share_gate::withdraw(ticket number)
{
    const auto found = tickets_.find(number);
    if (found == tickets_.end()) {
        return;
    }
    workspace_state& w = find_or_create(found->second);
    for (std::pair<const int, std::deque<waiting_request>>& queue : w.queues) {
        const auto position =
            std::find_if(queue.second.begin(), queue.second.end(),
                         [number](const waiting_request& r) { return r.number == number; });
        if (position != queue.second.end()) {
            deadlines_.erase({position->deadline, number});
            queue.second.erase(position);
            break;
        }
    }
    --w.waiting;
    --waiting_count_;
    if (w.waiting == 0) {
        workspaces_with_waiting_.erase(w.id);
    }
    update_activity(w);
    tickets_.erase(found);
}

std::vector<grant> share_gate::take_grants(core::time_point now)
{
    std::vector<grant> granted;
    while (!workspaces_with_waiting_.empty()) {
        workspace_state* best = nullptr;
        std::optional<admission_kind> best_kind;
        double best_relative_use = 0;
        for (const core::workspace_id& id : workspaces_with_waiting_) {
            workspace_state& w = find_or_create(id);
            const std::optional<admission_kind> kind = immediate_admission(w, now);
            if (!kind) {
                continue;
            }
            const double relative_use = w.in_use / w.share;
            const bool better = best == nullptr || *kind < *best_kind ||
                                (*kind == *best_kind && relative_use < best_relative_use);
            if (better) {
                best = &w;
                best_kind = kind;
                best_relative_use = relative_use;
            }
        }
        if (best == nullptr) {
            break;
        }
        const auto queue = std::find_if(best->queues.begin(), best->queues.end(),
                                        [](const auto& q) { return !q.second.empty(); });
        const ticket number = queue->second.front().number;
        granted.push_back({number, best->id, *best_kind});
        withdraw(number);
        admit(*best);
    }
    return granted;
}

std::vector<ticket> share_gate::take_expired(core::time_point now)
{
    std::vector<ticket> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        expired.push_back(deadlines_.begin()->second);
        withdraw(expired.back());
    }
    return expired;
}

std::vector<peer_demand> share_gate::demands(const core::host_id& self) const
{
    std::vector<peer_demand> list;
    for (const std::pair<const core::workspace_id, workspace_state>& entry : workspaces_) {
        const double demand = entry.second.in_use + static_cast<double>(entry.second.waiting);
        if (demand > 0) {
            list.push_back({self, entry.first, demand});
        }
    }
    return list;
}

} // namespace currantpitch::admission
