#include "routing/endpointpool.h"

#include "routing/routingconstants.h"

#include <algorithm>

namespace currantpitch::routing {

namespace {

double known_running(const endpoint_state& state, std::uint32_t own, std::uint32_t own_at_report)
{
    if (!state.report) {
        return own;
    }
    // Requests of this entry that the report cannot contain yet.
    const double since = own > own_at_report ? own - own_at_report : 0;
    return std::max<double>(own, state.report->running + since);
}

} // namespace

std::string_view to_string(choice_reason reason)
{
    switch (reason) {
    case choice_reason::prefix:
        return "prefix";
    case choice_reason::two_choices:
        return "two_choices";
    case choice_reason::only_one:
        return "only_one";
    }
    return "unknown";
}

void endpoint_pool::count(const slot& s, int sign)
{
    if (!s.state.usable) {
        return;
    }
    usable_count_ += static_cast<std::size_t>(sign);
    usable_concurrency_ += static_cast<std::uint32_t>(sign) * s.state.concurrency;
    total_running_ += sign * known_running(s.state, s.own, s.own_at_report);
}

void endpoint_pool::update(endpoint_state state)
{
    state.concurrency = std::max<std::uint32_t>(state.concurrency, 1);
    const auto found = slot_of_.find(state.endpoint);
    if (found != slot_of_.end()) {
        slot& s = slots_[found->second];
        count(s, -1);
        const bool newer =
            state.report && (!s.state.report || state.report->at > s.state.report->at);
        if (newer) {
            s.own_at_report = s.own;
        }
        s.state = std::move(state);
        count(s, 1);
        return;
    }
    std::size_t index = slots_.size();
    if (free_slots_.empty()) {
        slots_.emplace_back();
    }
    else {
        index = free_slots_.back();
        free_slots_.pop_back();
    }
    slots_[index] = slot{std::move(state), 0, 0, 0, true};
    slot_of_[slots_[index].state.endpoint] = index;
    ring_.add(index, slots_[index].state.endpoint.str());
    count(slots_[index], 1);
}

void endpoint_pool::remove(const core::endpoint_id& endpoint)
{
    const auto found = slot_of_.find(endpoint);
    if (found == slot_of_.end()) {
        return;
    }
    slot& s = slots_[found->second];
    count(s, -1);
    s = slot{};
    ring_.remove(found->second);
    free_slots_.push_back(found->second);
    slot_of_.erase(found);
}

bool endpoint_pool::eligible(const slot& s, const route_request& request) const
{
    return s.in_use && s.state.usable && !(request.isolated && s.own_isolated > 0) &&
           (request.excluded.empty() || !request.excluded.contains(s.state.endpoint));
}

double endpoint_pool::mean_load() const
{
    return usable_concurrency_ == 0 ? 0 : total_running_ / usable_concurrency_;
}

double endpoint_pool::load_of(const slot& s, core::time_point now) const
{
    const double own_load = static_cast<double>(s.own) / s.state.concurrency;
    if (!s.state.report || now - s.state.report->at > report_lifetime) {
        return std::max(own_load, mean_load());
    }
    return known_running(s.state, s.own, s.own_at_report) / s.state.concurrency;
}

std::optional<std::size_t> endpoint_pool::draw(const route_request& request)
{
    std::uniform_int_distribution<std::size_t> any(0, slots_.size() - 1);
    for (int i = 0; i < random_draws; ++i) {
        const std::size_t index = any(random_);
        if (eligible(slots_[index], request)) {
            return index;
        }
    }
    // Few endpoints are eligible: look at all, from a random one on.
    const std::size_t first = any(random_);
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        const std::size_t index = (first + i) % slots_.size();
        if (eligible(slots_[index], request)) {
            return index;
        }
    }
    return std::nullopt;
}

choice endpoint_pool::chosen(std::size_t index, choice_reason reason, core::time_point now) const
{
    return {slots_[index].state.endpoint, reason, load_of(slots_[index], now)};
}

std::optional<choice> endpoint_pool::choose(const route_request& request, core::time_point now)
{
    if (usable_count_ == 0) {
        return std::nullopt;
    }
    const std::optional<std::size_t> preferred = ring_.find(request.prefix);
    if (preferred && eligible(slots_[*preferred], request)) {
        const slot& s = slots_[*preferred];
        const double bound =
            affinity_load_bound * mean_load() + affinity_slack / s.state.concurrency;
        if (load_of(s, now) <= bound) {
            return chosen(*preferred, choice_reason::prefix, now);
        }
    }
    const std::optional<std::size_t> first = draw(request);
    if (!first) {
        return std::nullopt;
    }
    const std::optional<std::size_t> second = draw(request);
    if (*first == *second) {
        return chosen(*first, choice_reason::only_one, now);
    }
    const bool first_is_less = load_of(slots_[*first], now) <= load_of(slots_[*second], now);
    return chosen(first_is_less ? *first : *second, choice_reason::two_choices, now);
}

void endpoint_pool::started(const core::endpoint_id& endpoint, bool isolated)
{
    const auto found = slot_of_.find(endpoint);
    if (found == slot_of_.end()) {
        return;
    }
    slot& s = slots_[found->second];
    count(s, -1);
    ++s.own;
    s.own_isolated += isolated ? 1 : 0;
    count(s, 1);
}

void endpoint_pool::finished(const core::endpoint_id& endpoint, bool isolated)
{
    const auto found = slot_of_.find(endpoint);
    if (found == slot_of_.end() || slots_[found->second].own == 0) {
        return;
    }
    slot& s = slots_[found->second];
    count(s, -1);
    --s.own;
    s.own_at_report = std::min(s.own_at_report, s.own);
    s.own_isolated -= isolated && s.own_isolated > 0 ? 1 : 0;
    count(s, 1);
}

} // namespace currantpitch::routing
