#include "overload/priorityreserve.h"

#include "overload/overloadconstants.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace currantpitch::overload {

namespace {

double decay(core::duration elapsed, std::chrono::milliseconds time_constant)
{
    return std::exp(-std::chrono::duration<double>(elapsed) /
                    std::chrono::duration<double>(time_constant));
}

} // namespace

double priority_reserve::priority_state::rate_after(core::time_point now) const
{
    return rate * decay(std::max(now - rate_at, core::duration::zero()), rate_time_constant);
}

void priority_reserve::on_arrival(int priority, core::time_point now)
{
    seen_.insert(priority);
    priority_state& s = own_[priority];
    s.rate = s.rate_after(now) + 1 / std::chrono::duration<double>(rate_time_constant).count();
    s.rate_at = now;
}

void priority_reserve::on_start(int priority)
{
    own_[priority].running += 1;
}

void priority_reserve::on_finish(int priority, core::duration service_time, bool ran)
{
    priority_state& s = own_[priority];
    s.running = std::max(s.running - 1, 0.0);
    if (ran) {
        const double weight = s.service_time.count() == 0 ? 1.0 : service_time_weight;
        s.service_time += weight * (std::chrono::duration<double>(service_time) - s.service_time);
    }
}

void priority_reserve::on_waiting(int priority, int change)
{
    priority_state& s = own_[priority];
    s.waiting = std::max(s.waiting + change, 0.0);
}

void priority_reserve::set_peer_load(load_by_priority peers)
{
    peers_ = std::move(peers);
    for (const std::pair<const int, priority_load>& entry : peers_) {
        seen_.insert(entry.first);
    }
}

bool priority_reserve::most_urgent(int priority) const
{
    return seen_.empty() || priority <= *seen_.begin();
}

load_by_priority priority_reserve::own_load(core::time_point now) const
{
    load_by_priority load;
    for (const std::pair<const int, priority_state>& entry : own_) {
        const priority_state& s = entry.second;
        load[entry.first] = {s.rate_after(now) * s.service_time.count(), s.running, s.waiting};
    }
    return load;
}

double priority_reserve::waiting(int priority) const
{
    const auto found = own_.find(priority);
    return found == own_.end() ? 0 : found->second.waiting;
}

load_by_priority priority_reserve::total_load(const service_capacity& capacity,
                                              core::time_point now) const
{
    load_by_priority total = own_load(now);
    if (!capacity.peers_known) {
        return total;
    }
    if (peers_.empty()) {
        // The peers report no priorities. Callers spread their requests, so the peers' are alike.
        for (std::pair<const int, priority_load>& entry : total) {
            priority_load& l = entry.second;
            l = {l.expected * capacity.gateways, l.running * capacity.gateways,
                 l.waiting * capacity.gateways};
        }
        return total;
    }
    for (const std::pair<const int, priority_load>& entry : peers_) {
        total[entry.first] += entry.second;
    }
    return total;
}

double priority_reserve::need_of(int priority, double expected, core::time_point now)
{
    held_demand& held = held_[priority];
    held.expected = std::max(expected, held.expected * decay(now - held.at, demand_decline_time));
    held.at = now;
    return held.expected;
}

priority_reserve::decision
priority_reserve::room_for(int priority, const service_capacity& capacity, core::time_point now)
{
    const load_by_priority total = total_load(capacity, now);
    // A gateway that is cut off relies on its share of the slots.
    const double slots = capacity.peers_known ? capacity.slots : capacity.slots / capacity.gateways;
    const double gateways = capacity.peers_known ? capacity.gateways : 1;
    const double min_part = min_priority_part * slots;
    decision d;
    d.allowed = slots;
    double min_allowed = 0;
    for (const std::pair<const int, priority_load>& entry : total) {
        const priority_load& l = entry.second;
        const double need = need_of(entry.first, l.expected, now);
        if (entry.first < priority) {
            // Some slots stay free even when the expected number is running: other gateways' latest
            // requests are not known yet, and arrivals are random.
            const double kept = std::max({need, l.running, l.running + l.waiting});
            const double margin = arrival_margin * std::sqrt(kept);
            d.reserved += kept + margin - l.running;
            d.allowed -= kept + margin;
        }
        else if (entry.first > priority) {
            const double kept = std::min(need, min_part);
            d.reserved += std::max(kept - l.running, 0.0);
            d.allowed -= kept;
        }
        else {
            min_allowed = std::min(std::max(need, l.waiting), min_part);
            d.allowed = std::max(d.allowed, min_allowed);
        }
    }
    d.allowed = std::max(d.allowed, min_allowed) / gateways;
    const bool first = most_urgent(priority);
    if (first) {
        d.allowed = std::max(d.allowed, 1.0);
    }
    const auto own = own_.find(priority);
    const double own_running = own == own_.end() ? 0 : own->second.running;
    const auto all = total.find(priority);
    const double all_running = all == total.end() ? 0 : all->second.running;
    double used = capacity.used;
    if (!capacity.peers_known) {
        used = 0;
        for (const std::pair<const int, priority_load>& entry : total) {
            used += entry.second.running;
        }
    }
    d.room = used + 1 + d.reserved <= shared_fraction * slots || own_running + 1 <= d.allowed ||
             all_running + 1 <= min_allowed || (first && !capacity.peers_known);
    return d;
}

double priority_reserve::expected_starts(int priority, const decision& d,
                                         core::duration within) const
{
    const auto found = own_.find(priority);
    if (found == own_.end() || found->second.service_time.count() <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    const priority_state& s = found->second;
    const double ending =
        std::max(s.running, d.allowed) * (std::chrono::duration<double>(within) / s.service_time);
    return std::max(ending - std::max(s.running - d.allowed, 0.0), 0.0);
}

} // namespace currantpitch::overload
