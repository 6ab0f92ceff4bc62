#include "routing/endpointpool.h"

#include "routing/routingconstants.h"

#include <algorithm>

namespace currantpitch::routing {

namespace {

// Returns the larger of this entry's requests in flight and the reported load plus the requests
// sent since that report.
double estimate_running(const endpoint_state& state, std::uint32_t in_flight,
                        std::uint32_t in_flight_at_report)
{
    if (!state.report) {
        return in_flight;
    }
    // Requests sent by this entry that are not included in the report yet.
    const double sent_since_report =
        in_flight > in_flight_at_report ? in_flight - in_flight_at_report : 0;
    return std::max<double>(in_flight, state.report->running + sent_since_report);
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

void endpoint_pool::add_to_totals(const tracked_endpoint& e, int sign)
{
    if (!e.state.usable) {
        return;
    }
    usable_count_ += static_cast<std::size_t>(sign);
    usable_concurrency_ += static_cast<std::uint32_t>(sign) * e.state.concurrency;
    total_running_ += sign * estimate_running(e.state, e.in_flight, e.in_flight_at_report);
}

void endpoint_pool::update(endpoint_state state)
{
    state.concurrency = std::max<std::uint32_t>(state.concurrency, 1);
    const auto found = index_of_.find(state.endpoint);
    if (found != index_of_.end()) {
        tracked_endpoint& e = endpoints_[found->second];
        add_to_totals(e, -1);
        const bool newer =
            state.report && (!e.state.report || state.report->at > e.state.report->at);
        if (newer) {
            e.in_flight_at_report = e.in_flight;
        }
        e.state = std::move(state);
        add_to_totals(e, 1);
        return;
    }
    std::size_t index = endpoints_.size();
    if (free_indices_.empty()) {
        endpoints_.emplace_back();
    }
    else {
        index = free_indices_.back();
        free_indices_.pop_back();
    }
    endpoints_[index] = tracked_endpoint{std::move(state), 0, 0, 0, true};
    index_of_[endpoints_[index].state.endpoint] = index;
    ring_.add(index, endpoints_[index].state.endpoint.str());
    add_to_totals(endpoints_[index], 1);
}

void endpoint_pool::remove(const core::endpoint_id& endpoint)
{
    const auto found = index_of_.find(endpoint);
    if (found == index_of_.end()) {
        return;
    }
    tracked_endpoint& e = endpoints_[found->second];
    add_to_totals(e, -1);
    e = tracked_endpoint{};
    ring_.remove(found->second);
    free_indices_.push_back(found->second);
    index_of_.erase(found);
}

bool endpoint_pool::eligible(const tracked_endpoint& e, const route_request& request) const
{
    return e.occupied && e.state.usable && !(request.isolated && e.isolated_in_flight > 0) &&
           (request.excluded.empty() || !request.excluded.contains(e.state.endpoint));
}

double endpoint_pool::mean_load() const
{
    return usable_concurrency_ == 0 ? 0 : total_running_ / usable_concurrency_;
}

double endpoint_pool::load_of(const tracked_endpoint& e, core::time_point now) const
{
    const double in_flight_load = static_cast<double>(e.in_flight) / e.state.concurrency;
    if (!e.state.report || now - e.state.report->at > report_lifetime) {
        return std::max(in_flight_load, mean_load());
    }
    return estimate_running(e.state, e.in_flight, e.in_flight_at_report) / e.state.concurrency;
}

std::optional<std::size_t> endpoint_pool::sample_eligible(const route_request& request)
{
    std::uniform_int_distribution<std::size_t> random_index(0, endpoints_.size() - 1);
    for (int i = 0; i < max_random_samples; ++i) {
        const std::size_t index = random_index(random_);
        if (eligible(endpoints_[index], request)) {
            return index;
        }
    }
    // Few endpoints are eligible. Scan all of them, starting at a random one.
    const std::size_t first = random_index(random_);
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        const std::size_t index = (first + i) % endpoints_.size();
        if (eligible(endpoints_[index], request)) {
            return index;
        }
    }
    return std::nullopt;
}

choice endpoint_pool::make_choice(std::size_t index, choice_reason reason,
                                  core::time_point now) const
{
    return {endpoints_[index].state.endpoint, reason, load_of(endpoints_[index], now)};
}

std::optional<choice> endpoint_pool::choose(const route_request& request, core::time_point now)
{
    if (usable_count_ == 0) {
        return std::nullopt;
    }
    const std::optional<std::size_t> preferred = ring_.find(request.prefix);
    if (preferred && eligible(endpoints_[*preferred], request)) {
        const tracked_endpoint& e = endpoints_[*preferred];
        const double max_affinity_load =
            affinity_load_bound * mean_load() + affinity_slack / e.state.concurrency;
        if (load_of(e, now) <= max_affinity_load) {
            return make_choice(*preferred, choice_reason::prefix, now);
        }
    }
    const std::optional<std::size_t> first = sample_eligible(request);
    if (!first) {
        return std::nullopt;
    }
    const std::optional<std::size_t> second = sample_eligible(request);
    if (*first == *second) {
        return make_choice(*first, choice_reason::only_one, now);
    }
    const bool first_is_less_loaded =
        load_of(endpoints_[*first], now) <= load_of(endpoints_[*second], now);
    return make_choice(first_is_less_loaded ? *first : *second, choice_reason::two_choices, now);
}

void endpoint_pool::on_request_started(const core::endpoint_id& endpoint, bool isolated)
{
    const auto found = index_of_.find(endpoint);
    if (found == index_of_.end()) {
        return;
    }
    tracked_endpoint& e = endpoints_[found->second];
    add_to_totals(e, -1);
    ++e.in_flight;
    e.isolated_in_flight += isolated ? 1 : 0;
    add_to_totals(e, 1);
}

void endpoint_pool::on_request_finished(const core::endpoint_id& endpoint, bool isolated)
{
    const auto found = index_of_.find(endpoint);
    if (found == index_of_.end() || endpoints_[found->second].in_flight == 0) {
        return;
    }
    tracked_endpoint& e = endpoints_[found->second];
    add_to_totals(e, -1);
    --e.in_flight;
    e.in_flight_at_report = std::min(e.in_flight_at_report, e.in_flight);
    e.isolated_in_flight -= isolated && e.isolated_in_flight > 0 ? 1 : 0;
    add_to_totals(e, 1);
}

} // namespace currantpitch::routing
