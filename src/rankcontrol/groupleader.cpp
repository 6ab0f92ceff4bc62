#include "rankcontrol/groupleader.h"

#include "core/counters.h"
#include "core/eventlog.h"

#include <algorithm>

namespace currantpitch::rankcontrol {

group_leader::group_leader(term own, group_key group, const layout_shape& shape,
                           planner_costs costs, core::duration step_time_target)
    : own_term_(own), group_(std::move(group)), shape_(shape), costs_(costs),
      switch_(own, shape.ranks, static_cast<std::uint32_t>(own.value % shape.ranks)),
      demand_(shape), step_time_target_(step_time_target)
{
}

void group_leader::on_status(const rank_status& status, core::time_point now)
{
    if (status.promised > own_term_ || newest_term(status.state) > own_term_) {
        deposed_ = true;
        return;
    }
    if (status.promised != own_term_) {
        return;
    }
    expert_counts selection_counts;
    for (const compact_counts& layer : status.selection_counts) {
        selection_counts.push_back(from_compact(layer));
    }
    if (!selection_counts.empty() && !demand_.add(selection_counts)) {
        core::counter_for("demand_reports_ignored_total").add();
    }
    record_held_experts(status);
    if (status.read_under != own_term_) {
        // An order of an earlier term may have been executed after the state was read.
        return;
    }
    const switch_phase before = switch_.phase();
    switch_.on_state(status.state, now);
    update_layout();
    log_phase(before);
}

void group_leader::on_answer(std::uint32_t rank, const rank_answer& answer, core::time_point now)
{
    if (answer.status.read_under != own_term_) {
        on_status(answer.status, now);
        return;
    }
    record_held_experts(answer.status);
    const switch_phase before = switch_.phase();
    switch_.on_answer(rank, answer.id, answer.result, answer.status.state, now);
    log_phase(before);
    update_layout();
}

bool group_leader::is_deposed_by(const rank_state& state)
{
    deposed_ = deposed_ || newest_term(state) > own_term_;
    return deposed_;
}

void group_leader::on_direct_state(const rank_state& state,
                                   std::vector<std::vector<expert>> held_experts,
                                   core::time_point now)
{
    if (is_deposed_by(state)) {
        return;
    }
    if (!held_experts.empty()) {
        held_lists_[state.rank] = {state.epoch, state.active, std::move(held_experts)};
    }
    const switch_phase before = switch_.phase();
    switch_.on_state(state, now);
    update_layout();
    log_phase(before);
}

void group_leader::on_direct_answer(const addressed_order& order,
                                    std::optional<order_result> result, const rank_state& state,
                                    core::time_point now)
{
    if (is_deposed_by(state)) {
        return;
    }
    const switch_phase before = switch_.phase();
    switch_.on_answer(order.rank, order.id, result, state, now);
    log_phase(before);
    update_layout();
}

void group_leader::finish(core::time_point now)
{
    finishing_ = true;
    planner_.reset();
    const switch_phase before = switch_.phase();
    switch_.abandon_loading(now);
    log_phase(before);
}

void group_leader::set_direct(std::uint32_t rank, bool direct)
{
    switch_.set_direct(rank, direct);
}

bool group_leader::lacks_experts(const rank_state& state) const
{
    const std::pair<group_epoch, core::map_version> id{state.epoch, state.active};
    if ((current_layout_ && current_layout_id_ == id) || term_of(state.active) == own_term_) {
        return false;
    }
    const auto list = held_lists_.find(state.rank);
    return list == held_lists_.end() || list->second.epoch != state.epoch ||
           list->second.version != state.active;
}

std::optional<std::pair<group_epoch, core::map_version>> group_leader::unknown_layout() const
{
    const std::optional<std::pair<group_epoch, core::map_version>> observed =
        switch_.observed_layout_id();
    const bool known = current_layout_ && current_layout_id_ == observed;
    return known ? std::nullopt : observed;
}

void group_leader::set_known_layout(std::pair<group_epoch, core::map_version> id, layout known)
{
    switch_.set_current_layout(id.first, id.second, known);
    current_layout_ = std::move(known);
    current_layout_id_ = id;
}

void group_leader::on_disconnected(std::uint32_t rank)
{
    switch_.on_disconnected(rank);
}

std::optional<core::map_version> group_leader::active_version() const
{
    const std::optional<std::pair<group_epoch, core::map_version>> id =
        switch_.observed_layout_id();
    return id ? std::optional<core::map_version>(id->second) : std::nullopt;
}

void group_leader::record_held_experts(const rank_status& status)
{
    if (!status.held_experts.empty()) {
        held_lists_[status.state.rank] = {status.state.epoch, status.state.active,
                                          status.held_experts};
    }
}

void group_leader::update_layout()
{
    const std::optional<std::pair<group_epoch, core::map_version>> observed =
        switch_.observed_layout_id();
    if (!observed) {
        return;
    }
    if (current_layout_ && current_layout_id_ == observed) {
        // A switch that had been released is withdrawn: its layout does not become active.
        if (switch_.phase() == switch_phase::settling && switch_.current_layout_id() != observed) {
            switch_.set_current_layout(observed->first, observed->second, *current_layout_);
        }
        return;
    }
    if (proposed_layout_ && observed->first == current_layout_id_.first &&
        observed->second == switch_.running_version()) {
        current_layout_ = std::move(proposed_layout_);
        proposed_layout_.reset();
        current_layout_id_ = *observed;
        return;
    }
    layout assembled(shape_.layers, layer_layout(shape_.ranks));
    for (std::uint32_t rank = 0; rank < shape_.ranks; ++rank) {
        const auto list = held_lists_.find(rank);
        const bool fits = list != held_lists_.end() && list->second.epoch == observed->first &&
                          list->second.version == observed->second &&
                          list->second.experts.size() == shape_.layers;
        if (!fits) {
            return;
        }
        for (std::size_t layer = 0; layer < shape_.layers; ++layer) {
            assembled[layer][rank] = list->second.experts[layer];
        }
    }
    current_layout_ = assembled;
    current_layout_id_ = *observed;
    switch_.set_current_layout(observed->first, observed->second, std::move(assembled));
}

void group_leader::log_phase(switch_phase before) const
{
    if (switch_.phase() == before) {
        return;
    }
    core::log_event("layout_switch")
        .field("group", group_.group)
        .field("term", own_term_)
        .field("from", to_string(before))
        .field("to", to_string(switch_.phase()))
        .field("running", switch_.running_version())
        .field("failure", switch_.failure());
}

std::vector<addressed_order> group_leader::tick(core::time_point now)
{
    const core::duration elapsed = now - last_planned_;
    if (elapsed >= planning_interval) {
        last_planned_ = now;
        update_step_time(elapsed);
        demand_.advance(std::min<core::duration>(elapsed, planning_interval * 4));
        begin_plan();
    }
    continue_plan(now);
    const switch_phase before = switch_.phase();
    std::vector<addressed_order> orders = switch_.take_orders(now);
    log_phase(before);
    return orders;
}

void group_leader::update_step_time(core::duration elapsed)
{
    const core::step_number step = switch_.newest_step();
    // Over a long interval the mean says little about the current time of a step.
    if (last_step_.value > 0 && step > last_step_ && elapsed < planning_interval * 4) {
        const core::duration latest =
            elapsed / static_cast<std::int64_t>(step.value - last_step_.value);
        step_time_ = step_time_ == core::duration{} ? latest : (step_time_ * 3 + latest) / 4;
    }
    last_step_ = step;
    switch_.set_step_time(step_time_);
}

std::chrono::duration<double> group_leader::min_net_gain() const
{
    const bool fast = step_time_ > core::duration{} &&
                      std::chrono::duration<double>(step_time_) <
                          fast_step_ratio * std::chrono::duration<double>(step_time_target_);
    return fast ? std::chrono::duration<double>(min_net_gain_when_fast) : costs_.min_net_gain;
}

bool group_leader::can_plan() const
{
    return switch_.can_propose() && current_layout_ &&
           switch_.observed_layout_id() == current_layout_id_;
}

void group_leader::begin_plan()
{
    const bool has_demand =
        !demand_.shares().empty() && demand_.last_tokens() >= min_planning_tokens;
    if (planner_ || finishing_ || !has_demand || !can_plan()) {
        return;
    }
    planner_costs costs = costs_;
    costs.min_net_gain = min_net_gain();
    planner_ = std::make_unique<layout_planner>(*current_layout_, demand_.shares(),
                                                switch_.slowness(), shape_, costs);
    planned_layout_id_ = current_layout_id_;
}

void group_leader::continue_plan(core::time_point now)
{
    if (!planner_) {
        return;
    }
    if (!can_plan() || planned_layout_id_ != current_layout_id_) {
        planner_.reset();
        return;
    }
    if (!planner_->advance(planner_moves_per_tick)) {
        return;
    }
    std::optional<layout_plan> next = planner_->best();
    const std::vector<double> slowness = switch_.slowness();
    core::log_event("placement")
        .field("group", group_.group)
        .field("term", own_term_)
        .field("running", switch_.running_version())
        .field("tokens", demand_.last_tokens())
        .field("distance", demand_.last_distance())
        .field("pass_ms", core::to_milliseconds(step_time_))
        .field("slowest", *std::max_element(slowness.begin(), slowness.end()))
        .field("skew", planner_->skew_before())
        .field("planned_skew", next ? next->skew_after : 0.0)
        .field("most_copies", next ? next->max_copies : 0)
        .field("net_gain_s", next ? next->net_gain.count() : 0.0);
    planner_.reset();
    if (next) {
        core::counter_for("layout_proposals_total").add();
        proposed_layout_ = next->experts;
        switch_.propose(std::move(next->experts), now);
    }
}

} // namespace currantpitch::rankcontrol
