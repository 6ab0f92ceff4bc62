#include "expertmaps/switchparticipant.h"

#include <algorithm>

namespace currantpitch::expertmaps {

void switch_participant::promise(core::fence fence)
{
    state_.promised = std::max(state_.promised, fence);
}

rank_answer switch_participant::on_order(const rank_order& order, core::step_number current_step)
{
    state_.step = std::max(state_.step, current_step);
    rank_answer answer;
    answer.rank = rank_;
    answer.kind = order.kind;
    answer.proposal = order.proposal;
    if (order.proposal.fence < state_.promised) {
        answer.reason = "a higher fence has been promised";
    }
    else {
        state_.promised = order.proposal.fence;
        answer.reason = execute_order(order, current_step);
    }
    answer.accepted = answer.reason.empty();
    answer.state = state_;
    return answer;
}

std::string switch_participant::execute_order(const rank_order& order,
                                              core::step_number current_step)
{
    switch (order.kind) {
    case order_kind::query:
        return "";
    case order_kind::stage:
        return state_.fresh ? "the rank has no state" : "";
    case order_kind::prepare:
        return prepare(order, current_step);
    case order_kind::commit:
        return commit(order);
    case order_kind::abort:
        return abort(order);
    case order_kind::adopt:
        return adopt(order);
    }
    return "unknown order";
}

std::string switch_participant::prepare(const rank_order& order, core::step_number current_step)
{
    const prepared_switch requested{order.proposal, order.version, order.step};
    if (state_.fresh) {
        return "the rank has no state";
    }
    if (state_.prepared == requested) {
        return "";
    }
    if (order.proposal <= highest_decided_) {
        return "the proposal has been decided";
    }
    if (state_.prepared) {
        return "another switch is prepared";
    }
    if (order.step <= current_step) {
        return "the step has begun";
    }
    if (state_.staged != order.version) {
        return "the map is not staged";
    }
    if (order.version <= state_.active) {
        return "the version is not above the active one";
    }
    state_.prepared = requested;
    state_.committed = false;
    return "";
}

std::string switch_participant::commit(const rank_order& order)
{
    if (state_.active >= order.version) {
        return "";
    }
    const bool matches = state_.prepared && state_.prepared->version == order.version &&
                         state_.prepared->step == order.step;
    if (!matches) {
        return "the switch is not prepared";
    }
    state_.committed = true;
    highest_decided_ = std::max(highest_decided_, order.proposal);
    return "";
}

std::string switch_participant::abort(const rank_order& order)
{
    if (state_.committed || state_.active >= order.version) {
        return "the switch is committed";
    }
    if (state_.prepared && state_.prepared->version == order.version) {
        state_.prepared.reset();
    }
    highest_decided_ = std::max(highest_decided_, order.proposal);
    return "";
}

std::string switch_participant::adopt(const rank_order& order)
{
    if (!state_.fresh) {
        return "";
    }
    state_.fresh = false;
    state_.active = order.version;
    state_.prepared = order.committed;
    state_.committed = order.committed.has_value();
    if (order.committed) {
        state_.staged = order.committed->version;
    }
    return "";
}

bool switch_participant::may_begin(core::step_number step) const
{
    const bool undecided = state_.prepared && !state_.committed && state_.prepared->step <= step;
    return !state_.fresh && !undecided;
}

core::map_version switch_participant::version_at(core::step_number step) const
{
    const bool switched = state_.prepared && state_.committed && state_.prepared->step <= step;
    return switched ? state_.prepared->version : state_.active;
}

core::map_version switch_participant::begin(core::step_number step)
{
    state_.step = step;
    state_.active = version_at(step);
    if (state_.prepared && state_.committed && state_.prepared->step <= step) {
        state_.prepared.reset();
        state_.committed = false;
        state_.staged.reset();
    }
    return state_.active;
}

} // namespace currantpitch::expertmaps
