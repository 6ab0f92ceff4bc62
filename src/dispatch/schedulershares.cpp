// The part of the scheduler that shares the slots among the entries and the priorities.
#include "dispatch/scheduler.h"

#include "dispatch/dispatchconstants.h"
#include "overload/waitpolicy.h"

#include <algorithm>
#include <cmath>

namespace currantpitch::dispatch {

std::size_t scheduler::sharing_count(core::time_point now)
{
    const std::chrono::milliseconds kept = report_lifetime_ * lifetimes_before_leaving;
    std::erase_if(sharing_, [&](const std::pair<const core::host_id, core::time_point>& peer) {
        return now - peer.second > kept;
    });
    if (sharing_.empty()) {
        return process_count_;
    }
    return std::clamp(sharing_.size() + 1, (process_count_ + 1) / 2, process_count_);
}

scheduler::slot_usage scheduler::usage(core::time_point now)
{
    remove_expired_reports(now);
    slot_usage u;
    for (const std::pair<const core::endpoint_id, endpoint_state>& entry : endpoints_) {
        const endpoint_state& s = entry.second;
        u.slots += usable_slots(s, now);
        u.used += s.own_requests + peer_load(entry.first);
        u.own += s.own_requests;
    }
    return u;
}

bool scheduler::fair_share_used(core::time_point now)
{
    const slot_usage u = usage(now);
    const double fair_share = std::max(u.slots / static_cast<double>(sharing_count(now)), 1.0);
    return u.used >= busy_fraction * u.slots && u.own + 1 > fair_share;
}

std::optional<overload::priority_reserve::decision>
scheduler::reserve_decision(int priority, core::time_point now)
{
    if (!reserve_.active()) {
        return std::nullopt;
    }
    const slot_usage u = usage(now);
    return reserve_.room_for(priority,
                             {u.slots, u.used, static_cast<double>(sharing_count(now)),
                              process_count_ == 1 || !peers_.empty()},
                             now);
}

bool scheduler::has_room(int priority, core::time_point now)
{
    const std::optional<overload::priority_reserve::decision> d = reserve_decision(priority, now);
    return d ? d->room : !fair_share_used(now);
}

bool scheduler::reserved(const dispatch_request& request, core::time_point now)
{
    return reserve_.active() && !has_room(request.priority, now);
}

bool scheduler::may_start_in_time(const dispatch_request& request, core::time_point now)
{
    const std::optional<overload::priority_reserve::decision> d =
        reserve_decision(request.priority, now);
    return !d || overload::may_start_in_time(
                     reserve_.waiting(request.priority),
                     reserve_.expected_starts(request.priority, *d, request.deadline - now));
}

void scheduler::update_reserve()
{
    overload::load_by_priority sum;
    for (const std::pair<const core::host_id, peer_state>& peer : peers_) {
        for (const std::pair<const int, overload::priority_load>& entry : peer.second.by_priority) {
            sum[entry.first] += entry.second;
        }
    }
    reserve_.set_peer_load(std::move(sum));
}

std::chrono::milliseconds scheduler::retry_after(int priority, core::time_point now)
{
    const std::optional<overload::priority_reserve::decision> d = reserve_decision(priority, now);
    if (!d) {
        return retry_after();
    }
    const double starts = reserve_.expected_starts(priority, *d, std::chrono::seconds(1));
    return returns_.delay(priority, reserve_.waiting(priority), starts, now);
}

std::map<core::service_id, overload::load_by_priority> loads_by_service(const load_report& report)
{
    std::map<core::service_id, overload::load_by_priority> loads;
    for (const priority_load_report& p : report.priorities) {
        if (p.priority <= max_priority && std::isfinite(p.expected) && p.expected >= 0) {
            loads[p.service][static_cast<int>(p.priority)] = {
                p.expected, static_cast<double>(p.running), static_cast<double>(p.waiting)};
        }
    }
    return loads;
}

void append_priorities(const core::service_id& service, const scheduler& s, load_report& report,
                       core::time_point now)
{
    if (!s.reserve().active()) {
        return;
    }
    for (const std::pair<const int, overload::priority_load>& entry : s.reserve().own_load(now)) {
        const overload::priority_load& l = entry.second;
        if (entry.first < 0 || entry.first > static_cast<int>(max_priority)) {
            continue;
        }
        report.priorities.push_back(
            {service, static_cast<std::uint32_t>(entry.first),
             static_cast<std::uint32_t>(l.running), static_cast<std::uint32_t>(l.waiting),
             std::round(l.expected / expected_slots_step) * expected_slots_step});
    }
}

} // namespace currantpitch::dispatch
