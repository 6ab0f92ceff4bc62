#include "rankcontrol/layoutswitch.h"

#include "rankcontrol/rankcontrolconstants.h"

#include <algorithm>

namespace currantpitch::rankcontrol {

std::string_view to_string(switch_phase p)
{
    switch (p) {
    case switch_phase::settling:
        return "settling";
    case switch_phase::securing:
        return "securing";
    case switch_phase::fencing:
        return "fencing";
    case switch_phase::idle:
        return "idle";
    case switch_phase::loading:
        return "loading";
    case switch_phase::holding:
        return "holding";
    case switch_phase::arming:
        return "arming";
    case switch_phase::releasing:
        return "releasing";
    case switch_phase::withdrawing:
        break;
    }
    return "withdrawing";
}

layout_switch::layout_switch(term own, std::size_t ranks, std::uint32_t holder)
    : own_term_(own), holder_(holder), ranks_(ranks)
{
}

core::map_version layout_switch::next_version()
{
    ++versions_issued_;
    return core::map_version{own_term_.value * versions_per_term + versions_issued_};
}

core::step_number layout_switch::newest_step() const
{
    core::step_number newest;
    for (const rank_view& v : ranks_) {
        newest = std::max(newest, v.state ? v.state->step : core::step_number{});
    }
    return newest;
}

std::vector<double> layout_switch::slowness() const
{
    std::vector<double> all;
    for (const rank_view& v : ranks_) {
        all.push_back(v.state ? std::max(v.state->slowness, 1.0) : 1.0);
    }
    return all;
}

bool layout_switch::group_running() const
{
    return std::all_of(ranks_.begin(), ranks_.end(),
                       [](const rank_view& v) { return v.state && v.state->open; });
}

bool layout_switch::same_epoch() const
{
    return std::all_of(ranks_.begin(), ranks_.end(), [this](const rank_view& v) {
        return v.state && v.state->epoch == ranks_.front().state->epoch;
    });
}

bool layout_switch::any_armed() const
{
    return std::any_of(ranks_.begin(), ranks_.end(),
                       [](const rank_view& v) { return v.state && v.state->armed; });
}

bool layout_switch::any_held() const
{
    return std::any_of(ranks_.begin(), ranks_.end(),
                       [](const rank_view& v) { return v.state && v.state->held_step; });
}

bool layout_switch::all_armed() const
{
    const armed_layout target{version_, step_};
    return std::all_of(ranks_.begin(), ranks_.end(), [&target](const rank_view& v) {
        return v.state && v.state->armed == target;
    });
}

bool layout_switch::withdrawn() const
{
    return std::all_of(ranks_.begin(), ranks_.end(),
                       [](const rank_view& v) { return v.accepted_load && !v.state->armed; });
}

std::uint64_t layout_switch::lead_steps() const
{
    if (step_time_ <= core::duration{}) {
        return min_lead_steps;
    }
    return min_lead_steps + static_cast<std::uint64_t>(expected_arming_time_ / step_time_);
}

core::step_number layout_switch::choose_step() const
{
    return std::max(core::step_number{newest_step().value + lead_steps()}, last_held_step_.next());
}

void layout_switch::enter(switch_phase p, core::time_point now)
{
    const bool was_under_way = phase_ == switch_phase::arming ||
                               phase_ == switch_phase::withdrawing ||
                               phase_ == switch_phase::holding;
    const bool ended = p == switch_phase::releasing || p == switch_phase::idle;
    if (was_under_way && ended) {
        // The expected time rises at once and falls by at most a quarter for each switch, so that
        // one quick switch does not hide a slow one.
        expected_arming_time_ = std::min<core::duration>(
            std::max(now - step_chosen_at_, expected_arming_time_ * 3 / 4), max_lead_time);
    }
    phase_ = p;
    phase_since_ = now;
    for (rank_view& v : ranks_) {
        v.refused = false;
    }
}

void layout_switch::on_state(const rank_state& state, core::time_point now)
{
    if (state.rank >= ranks_.size()) {
        return;
    }
    rank_view& view = ranks_[state.rank];
    view.state = state;
    view.agent_obeys = view.agent_obeys || !view.direct;
    if (epoch_ && state.epoch.value > epoch_->value) {
        // The group was rebuilt, so nothing is armed, held or loaded any more.
        epoch_.reset();
        last_held_step_ = core::step_number{};
        running_version_ = core::map_version{};
        fenced_ = false;
        for (rank_view& v : ranks_) {
            v.outstanding.reset();
        }
        if (phase_ != switch_phase::settling && phase_ != switch_phase::idle) {
            failure_ = "group_formed_anew";
        }
        enter(switch_phase::settling, now);
    }
    advance(now);
}

void layout_switch::on_answer(std::uint32_t rank, const order_id& id,
                              std::optional<order_result> result, const rank_state& state,
                              core::time_point now)
{
    if (rank >= ranks_.size()) {
        return;
    }
    rank_view& v = ranks_[rank];
    if (v.outstanding && v.outstanding->id == id) {
        const engine_order order = std::move(v.outstanding->order);
        v.outstanding.reset();
        const bool done = result && *result != order_result::refused;
        v.refused = result && *result == order_result::refused && !fulfilled(order, state);
        const bool newest_load = order.kind == order_kind::load && order.version == version_;
        v.accepted_load = v.accepted_load || (newest_load && done);
    }
    on_state(state, now);
}

void layout_switch::on_disconnected(std::uint32_t rank)
{
    if (rank < ranks_.size()) {
        ranks_[rank].state.reset();
        ranks_[rank].outstanding.reset();
    }
}

void layout_switch::set_direct(std::uint32_t rank, bool direct)
{
    if (rank < ranks_.size() && ranks_[rank].direct != direct) {
        ranks_[rank].direct = direct;
        ranks_[rank].outstanding.reset();
    }
}

bool layout_switch::any_direct() const
{
    return std::any_of(ranks_.begin(), ranks_.end(), [](const rank_view& v) { return v.direct; });
}

bool layout_switch::own_hold(std::uint32_t rank) const
{
    return rank == holder_ && ranks_[rank].state->held_step == step_;
}

bool layout_switch::held_by_others() const
{
    for (std::uint32_t rank = 0; rank < ranks_.size(); ++rank) {
        const rank_view& v = ranks_[rank];
        if (v.direct && v.state->held_step && !own_hold(rank)) {
            return true;
        }
    }
    return false;
}

bool layout_switch::fence_needed() const
{
    return !fenced_ && !std::all_of(ranks_.begin(), ranks_.end(),
                                    [](const rank_view& v) { return v.agent_obeys; });
}

bool layout_switch::can_propose() const
{
    return phase_ == switch_phase::idle && group_running() && same_epoch() && !any_armed() &&
           !any_held() && !any_direct();
}

void layout_switch::propose(layout next, core::time_point now)
{
    if (!can_propose()) {
        return;
    }
    next_layout_ = std::make_shared<const layout>(std::move(next));
    version_ = next_version();
    for (rank_view& v : ranks_) {
        v.accepted_load = false;
    }
    failure_ = {};
    enter(switch_phase::loading, now);
}

void layout_switch::abandon_loading(core::time_point now)
{
    if (phase_ == switch_phase::loading) {
        failure_ = "abandoned";
        enter(switch_phase::idle, now);
    }
}

void layout_switch::withdraw(std::string_view reason, core::time_point now)
{
    failure_ = reason;
    begin_reload();
    enter(switch_phase::withdrawing, now);
}

void layout_switch::begin_reload()
{
    version_ = next_version();
    next_layout_ = current_layout_;
    for (rank_view& v : ranks_) {
        v.accepted_load = false;
    }
}

void layout_switch::set_current_layout(group_epoch epoch, core::map_version version, layout current)
{
    current_layout_ = std::make_shared<const layout>(std::move(current));
    current_layout_id_.emplace(epoch, version);
}

std::optional<std::pair<group_epoch, core::map_version>> layout_switch::observed_layout_id() const
{
    if (!group_running() || !same_epoch()) {
        return std::nullopt;
    }
    const rank_state& first = *ranks_.front().state;
    const bool same = std::all_of(ranks_.begin(), ranks_.end(), [&first](const rank_view& v) {
        return v.state->active == first.active;
    });
    return same ? std::make_optional(std::make_pair(first.epoch, first.active)) : std::nullopt;
}

void layout_switch::settle(core::time_point now)
{
    if (!current_layout_id_ || current_layout_id_ != observed_layout_id()) {
        return;
    }
    epoch_ = ranks_.front().state->epoch;
    running_version_ = ranks_.front().state->active;
    if (any_held()) {
        secure(now);
    }
    else if (!any_armed() && fence_needed()) {
        fence(now);
    }
    else if (!any_armed()) {
        enter(switch_phase::idle, now);
    }
    // Otherwise the layout is armed on all engines and about to become active: earlier leaders held
    // its step until then.
}

void layout_switch::secure(core::time_point now)
{
    std::optional<core::step_number> first;
    for (const rank_view& v : ranks_) {
        for (const std::optional<core::step_number>& step :
             {v.state->held_step,
              v.state->armed ? std::optional(v.state->armed->step) : std::nullopt}) {
            first = step && (!first || *step < *first) ? step : first;
        }
    }
    // An engine holds one step at a time, and an order to release the one that it holds may be
    // late. The agent of an engine that is reached directly may release a step under an earlier
    // term.
    for (std::size_t i = 0; i < ranks_.size(); ++i) {
        const rank_view& holder = ranks_[holder_];
        if (!holder.state->held_step && !holder.direct) {
            step_ = *first;
            enter(switch_phase::securing, now);
            return;
        }
        holder_ = static_cast<std::uint32_t>((holder_ + 1) % ranks_.size());
    }
    // All engines hold a step. This is possible only in a group of a few ranks.
    for (std::uint32_t rank = 0; rank < ranks_.size(); ++rank) {
        if (ranks_[rank].state->held_step == first && !ranks_[rank].direct) {
            holder_ = rank;
            step_ = *first;
            enter(switch_phase::securing, now);
            return;
        }
    }
}

void layout_switch::fence(core::time_point now)
{
    failure_ = {};
    begin_reload();
    enter(switch_phase::fencing, now);
}

void layout_switch::advance_fencing(core::time_point now)
{
    if (any_held() || any_armed()) {
        // An earlier leader or its agent goes on. Nothing is disarmed without an own hold.
        enter(switch_phase::settling, now);
        settle(now);
    }
    else if (withdrawn()) {
        fenced_ = true;
        enter(switch_phase::idle, now);
    }
}

void layout_switch::advance_idle(core::time_point now)
{
    if (!any_held()) {
        return;
    }
    // A hold order was executed late. At this point either no engine is armed, or all are.
    enter(held_by_others() ? switch_phase::settling : switch_phase::releasing, now);
}

void layout_switch::advance_securing(core::time_point now)
{
    const rank_view& holder = ranks_[holder_];
    if (holder.state->held_step == step_) {
        withdraw("left_behind", now);
    }
    else if (holder.refused || holder.direct || !any_held()) {
        // The step has begun, the engine holds another one, or its agent is silent.
        enter(switch_phase::settling, now);
    }
}

void layout_switch::advance(core::time_point now)
{
    if (!group_running() || !same_epoch()) {
        return;
    }
    switch (phase_) {
    case switch_phase::settling:
        settle(now);
        break;
    case switch_phase::securing:
        advance_securing(now);
        break;
    case switch_phase::fencing:
        advance_fencing(now);
        break;
    case switch_phase::idle:
        advance_idle(now);
        break;
    case switch_phase::loading:
        advance_loading(now);
        break;
    case switch_phase::holding:
        advance_holding(now);
        break;
    case switch_phase::arming:
        advance_arming(now);
        break;
    case switch_phase::releasing:
        if (!any_held() || held_by_others()) {
            enter(any_held() ? switch_phase::settling : switch_phase::idle, now);
        }
        break;
    case switch_phase::withdrawing:
        advance_withdrawing(now);
        break;
    }
}

void layout_switch::advance_loading(core::time_point now)
{
    const bool loaded = std::all_of(ranks_.begin(), ranks_.end(), [this](const rank_view& v) {
        return v.state->loaded == version_;
    });
    if (any_held()) {
        withdraw("late_hold", now);
        return;
    }
    if (loaded && ranks_[holder_].direct) {
        failure_ = "holder_silent";
        enter(switch_phase::idle, now);
        return;
    }
    if (loaded) {
        step_ = choose_step();
        step_chosen_at_ = now;
        enter(switch_phase::holding, now);
        return;
    }
    const bool refused =
        std::any_of(ranks_.begin(), ranks_.end(), [](const rank_view& v) { return v.refused; });
    if (refused || now - phase_since_ > load_timeout) {
        // Nothing is armed or held, so there is nothing to withdraw.
        failure_ = refused ? "load_refused" : "load_timeout";
        enter(switch_phase::idle, now);
    }
}

void layout_switch::advance_holding(core::time_point now)
{
    rank_view& holder = ranks_[holder_];
    if (holder.state->held_step == step_) {
        enter(switch_phase::arming, now);
        return;
    }
    if (any_held()) {
        withdraw("late_hold", now);
        return;
    }
    if (holder.refused) {
        holder.refused = false;
        step_ = choose_step();
    }
    if (holder.direct || now - phase_since_ > arm_timeout) {
        withdraw(holder.direct ? "holder_silent" : "hold_timeout", now);
    }
}

void layout_switch::advance_arming(core::time_point now)
{
    if (all_armed()) {
        running_version_ = version_;
        current_layout_ = next_layout_;
        current_layout_id_.emplace(*epoch_, version_);
        enter(switch_phase::releasing, now);
        return;
    }
    const bool refused =
        std::any_of(ranks_.begin(), ranks_.end(), [](const rank_view& v) { return v.refused; });
    if (refused || now - phase_since_ > arm_timeout + expected_arming_time_) {
        withdraw(refused ? "arm_refused" : "arm_timeout", now);
    }
}

void layout_switch::advance_withdrawing(core::time_point now)
{
    if (withdrawn() && !any_held()) {
        fenced_ = true;
        enter(switch_phase::idle, now);
    }
}

} // namespace currantpitch::rankcontrol
