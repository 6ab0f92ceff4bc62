#pragma once

#include "rankcontrol/agentcontext.h"
#include "rankcontrol/rankexecutor.h"
#include "rankcontrol/rankmessages.h"

namespace currantpitch::rankcontrol {

/// Looks at the engine on this host at a steady interval and carries orders out on it.
template <rank_port Port>
class engine_watch {
public:
    explicit engine_watch(agent_context& context)
        : context_(context), port_(context.executor, context.settings.engine_address),
          engine_(context.executor, port_), fresh_(context.executor)
    {
    }

    core::task<void> run();
    core::task<executed_order> execute(engine_order order);

    /// The engine's state at the last look; nothing before it answered.
    const std::optional<rank_state>& state() const { return state_; }
    /// Wakes whoever waits for a look at the engine.
    core::notifier& fresh() { return fresh_; }
    /// Shape of the group's layouts; nothing before it is known.
    std::optional<layout_shape> shape() const;

    /// Status without counts and lists. Only once there is a state.
    rank_status own_status() const;
    /// Status with the counts, when it is their turn, and with the list of experts if it is asked
    /// for and known.
    rank_status status_for_leader(bool with_held);
    /// The epoch and version whose experts the leader cannot know by itself, with the list.
    std::optional<std::pair<group_epoch, core::map_version>> listed() const;

private:
    bool list_wanted(core::time_point now) const;
    core::task<void> read_list();
    core::task<void> read_counts();
    std::chrono::milliseconds counts_interval() const;

    agent_context& context_;
    Port port_;
    rank_executor<Port> engine_;
    core::notifier fresh_;
    std::optional<rank_state> state_;
    /// The version that runs, and since when it was seen.
    std::pair<group_epoch, core::map_version> running_;
    core::time_point running_since_;
    std::vector<std::vector<expert>> held_;
    std::pair<group_epoch, core::map_version> held_for_;
    /// Counts of the last look, and what came since the look before: demand moves within a second,
    /// so that older counts would hide it.
    expert_counts last_counts_;
    core::incarnation counted_life_;
    expert_counts chosen_;
    core::time_point chosen_told_;
    core::time_point loading_until_;
};

template <rank_port Port>
core::task<void> engine_watch<Port>::run()
{
    while (!context_.stopping) {
        const core::result<rank_state> state = co_await engine_.state();
        if (state) {
            state_ = state.value();
            const core::time_point now = core::runtime_clock::now();
            const std::pair<group_epoch, core::map_version> running{state_->epoch, state_->active};
            if (running != running_) {
                running_ = running;
                running_since_ = now;
            }
            if (list_wanted(now)) {
                co_await read_list();
            }
            co_await read_counts();
        }
        fresh_.notify();
        const bool loading = core::runtime_clock::now() < loading_until_;
        co_await core::sleep_for(loading ? loading_status_interval : status_interval);
    }
}

template <rank_port Port>
bool engine_watch<Port>::list_wanted(core::time_point now) const
{
    if (!held_.empty() && held_for_ == running_) {
        return false;
    }
    // A leader knows the layouts of its own term, unless it lost track of them.
    const bool known_to_leader =
        context_.promised.value > 0 && term_of(running_.second) == context_.promised;
    return !known_to_leader || now - running_since_ >= held_told_after;
}

template <rank_port Port>
core::task<void> engine_watch<Port>::read_list()
{
    const core::result<std::vector<std::vector<expert>>> held = co_await engine_.held();
    const core::result<rank_state> again = co_await engine_.state();
    // The list belongs to the map only if that did not change meanwhile.
    if (held && again && again.value().active == running_.second &&
        again.value().epoch == running_.first) {
        held_ = held.value();
        held_for_ = running_;
    }
}

template <rank_port Port>
core::task<void> engine_watch<Port>::read_counts()
{
    const std::size_t layers = context_.profile ? context_.profile->expert_layers : 0;
    if (layers == 0) {
        co_return;
    }
    const core::incarnation life = state_->incarnation;
    const core::result<chosen_experts> chosen = co_await engine_.chosen(layers);
    if (!chosen) {
        co_return;
    }
    const expert_counts& counts = chosen.value().counts;
    const bool same_life = counted_life_ == life && last_counts_.size() == counts.size();
    chosen_.assign(counts.size(), {});
    for (std::size_t l = 0; l < counts.size() && same_life; ++l) {
        chosen_[l].resize(counts[l].size());
        for (std::size_t e = 0; e < counts[l].size(); ++e) {
            chosen_[l][e] = std::max(counts[l][e] - last_counts_[l][e], 0.0);
        }
    }
    last_counts_ = counts;
    counted_life_ = life;
}

template <rank_port Port>
core::task<executed_order> engine_watch<Port>::execute(engine_order order)
{
    const bool load = order.kind == order_kind::load;
    if (load) {
        loading_until_ = core::runtime_clock::now() + load_patience;
    }
    executed_order done = co_await engine_.execute(std::move(order));
    if (done.state) {
        state_ = done.state;
    }
    if (load) {
        fresh_.notify();
    }
    co_return done;
}

template <rank_port Port>
std::optional<layout_shape> engine_watch<Port>::shape() const
{
    const std::optional<routes::engine_profile>& profile = context_.profile;
    if (!profile || profile->expert_layers == 0 || !state_ || state_->group_size == 0) {
        return std::nullopt;
    }
    layout_shape s;
    s.ranks = state_->group_size;
    s.layers = profile->expert_layers;
    s.experts = profile->experts;
    s.expert_slots_per_rank = profile->experts_per_rank;
    s.new_per_rank = profile->new_experts_per_map;
    return s;
}

template <rank_port Port>
rank_status engine_watch<Port>::own_status() const
{
    rank_status s;
    s.promised = context_.promised;
    s.state = *state_;
    return s;
}

template <rank_port Port>
std::chrono::milliseconds engine_watch<Port>::counts_interval() const
{
    const std::optional<layout_shape> s = shape();
    if (!s) {
        return status_interval;
    }
    // All ranks together stay below the bytes that the leader's host may receive for counts.
    const double bytes = static_cast<double>(s->ranks * s->layers * s->experts);
    const std::chrono::duration<double> interval(bytes / counts_bytes_per_second);
    return std::max(status_interval,
                    std::chrono::duration_cast<std::chrono::milliseconds>(interval));
}

template <rank_port Port>
rank_status engine_watch<Port>::status_for_leader(bool with_held)
{
    rank_status s = own_status();
    const core::time_point now = core::runtime_clock::now();
    if (now - chosen_told_ >= counts_interval() && !chosen_.empty()) {
        chosen_told_ = now;
        for (const std::vector<double>& layer : std::exchange(chosen_, {})) {
            s.chosen.push_back(to_compact(layer));
        }
    }
    if (with_held && listed()) {
        s.held_experts = held_;
    }
    return s;
}

template <rank_port Port>
std::optional<std::pair<group_epoch, core::map_version>> engine_watch<Port>::listed() const
{
    const bool fits = state_ && !held_.empty() && held_for_.first == state_->epoch &&
                      held_for_.second == state_->active;
    return fits ? std::optional<std::pair<group_epoch, core::map_version>>(held_for_)
                : std::nullopt;
}

} // namespace currantpitch::rankcontrol
