#include "rankcontrol/groupleader.h"

#include "core/counters.h"
#include "core/eventlog.h"

#include <algorithm>

namespace currantpitch::rankcontrol {

group_leader::group_leader(term own, std::uint32_t own_rank, const layout_shape& shape,
                           planner_costs costs, core::duration pass_target)
    : own_(own), shape_(shape), costs_(costs), switch_(own, shape.ranks, own_rank), demand_(shape),
      pass_target_(pass_target)
{
}

void group_leader::on_status(const rank_status& status, core::time_point now)
{
    if (status.promised > own_) {
        deposed_ = true;
        return;
    }
    if (status.promised != own_) {
        return;
    }
    expert_counts chosen;
    for (const compact_counts& layer : status.chosen) {
        chosen.push_back(from_compact(layer));
    }
    if (!chosen.empty() && !demand_.add(chosen)) {
        core::counter_for("demand_reports_ignored_total").add();
    }
    learn_held(status);
    const switch_phase before = switch_.phase();
    switch_.on_state(status.state, now);
    learn_layout();
    log_phase(before);
}

void group_leader::on_answer(std::uint32_t rank, const rank_answer& answer, core::time_point now)
{
    if (answer.status.promised != own_) {
        on_status(answer.status, now);
        return;
    }
    learn_held(answer.status);
    const switch_phase before = switch_.phase();
    switch_.on_answer(rank, answer.result, answer.status.state, now);
    log_phase(before);
    learn_layout();
}

void group_leader::on_lost(std::uint32_t rank)
{
    switch_.on_lost(rank);
}

void group_leader::learn_held(const rank_status& status)
{
    if (!status.held_experts.empty()) {
        held_[status.state.rank] = {status.state.epoch, status.state.active, status.held_experts};
    }
}

void group_leader::learn_layout()
{
    const std::optional<std::pair<group_epoch, core::map_version>> observed = switch_.observed();
    if (!observed || (present_ && present_for_ == observed)) {
        return;
    }
    if (proposed_ && observed->first == present_for_.first &&
        observed->second == switch_.running()) {
        present_ = std::move(proposed_);
        proposed_.reset();
        present_for_ = *observed;
        return;
    }
    layout assembled(shape_.layers, layer_layout(shape_.ranks));
    for (std::uint32_t rank = 0; rank < shape_.ranks; ++rank) {
        const auto list = held_.find(rank);
        const bool fits = list != held_.end() && list->second.epoch == observed->first &&
                          list->second.version == observed->second &&
                          list->second.experts.size() == shape_.layers;
        if (!fits) {
            return;
        }
        for (std::size_t layer = 0; layer < shape_.layers; ++layer) {
            assembled[layer][rank] = list->second.experts[layer];
        }
    }
    present_ = assembled;
    present_for_ = *observed;
    switch_.set_present(observed->first, observed->second, std::move(assembled));
}

void group_leader::log_phase(switch_phase before) const
{
    if (switch_.phase() == before) {
        return;
    }
    core::log_event("layout_switch")
        .field("term", own_)
        .field("from", to_string(before))
        .field("to", to_string(switch_.phase()))
        .field("running", switch_.running())
        .field("failure", switch_.failure());
}

std::vector<addressed_order> group_leader::tick(core::time_point now)
{
    const core::duration since = now - last_planned_;
    if (since >= planning_interval) {
        last_planned_ = now;
        watch_passes(since);
        demand_.advance(std::min<core::duration>(since, planning_interval * 4));
        plan(now);
    }
    const switch_phase before = switch_.phase();
    std::vector<addressed_order> orders = switch_.take_orders(now);
    log_phase(before);
    return orders;
}

void group_leader::watch_passes(core::duration since)
{
    const core::step_number step = switch_.newest_step();
    // After a long while nothing can be told of a single pass.
    if (last_step_.value > 0 && step > last_step_ && since < planning_interval * 4) {
        const core::duration each =
            since / static_cast<std::int64_t>(step.value - last_step_.value);
        pass_time_ = pass_time_ == core::duration{} ? each : (pass_time_ * 3 + each) / 4;
    }
    last_step_ = step;
    switch_.set_pass_time(pass_time_);
}

std::chrono::duration<double> group_leader::least_net_gain() const
{
    const bool comfortable =
        pass_time_ > core::duration{} &&
        std::chrono::duration<double>(pass_time_) <
            comfortable_pass_share * std::chrono::duration<double>(pass_target_);
    return comfortable ? std::chrono::duration<double>(comfortable_net_gain)
                       : costs_.least_net_gain;
}

void group_leader::plan(core::time_point now)
{
    const bool able = switch_.can_propose() && present_ && switch_.observed() == present_for_ &&
                      !demand_.shares().empty() && demand_.last_tokens() >= fewest_tokens;
    if (!able) {
        return;
    }
    const std::vector<double> slowness = switch_.slowness();
    planner_costs costs = costs_;
    costs.least_net_gain = least_net_gain();
    std::optional<even_plan> next =
        plan_layout(*present_, demand_.shares(), slowness, shape_, costs);
    core::log_event("placement")
        .field("term", own_)
        .field("running", switch_.running())
        .field("tokens", demand_.last_tokens())
        .field("distance", demand_.last_distance())
        .field("pass_ms", core::to_milliseconds(pass_time_))
        .field("slowest", *std::max_element(slowness.begin(), slowness.end()))
        .field("skew", layout_skew(*present_, demand_.shares(), slowness))
        .field("planned_skew", next ? next->skew_after : 0.0)
        .field("most_copies", next ? next->max_copies : 0)
        .field("net_gain_s", next ? next->net_gain.count() : 0.0);
    if (next) {
        core::counter_for("layout_proposals_total").add();
        proposed_ = next->experts;
        switch_.propose(std::move(next->experts), now);
    }
}

} // namespace currantpitch::rankcontrol
