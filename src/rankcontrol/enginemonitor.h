#pragma once

#include "rankcontrol/agentcontext.h"
#include "rankcontrol/rankexecutor.h"
#include "rankcontrol/rankmessages.h"

namespace currantpitch::rankcontrol {

/// Polls the engine on this host at a steady interval and executes orders on it.
template <rank_port Port>
class engine_monitor {
public:
    explicit engine_monitor(agent_context& context)
        : context_(context), port_(context.executor, context.settings.engine_address),
          engine_(context.executor, port_), state_updated_(context.executor)
    {
    }

    core::task<void> run();
    /// Executes the order while its leadership is obeyed and no later order has arrived: the leader
    /// has given up an order by the time it sends the next one.
    core::task<executed_order> execute(engine_order order, order_origin origin);

    /// The engine's state at the last poll; empty until it has answered once.
    const std::optional<rank_state>& state() const { return state_; }
    /// Is notified after each poll of the engine.
    core::notifier& state_updated() { return state_updated_; }
    /// Shape of the group's layouts; empty until it is known.
    std::optional<layout_shape> shape() const;

    /// Status without counts and expert lists. Requires a state.
    rank_status own_status() const;
    /// Status with the counts, once in each counts interval, and with the held experts if they are
    /// requested and known.
    rank_status status_for_leader(bool include_held_experts);
    /// Epoch and version of the expert list that status_for_leader can include; empty when there is
    /// no list of the active layout.
    std::optional<std::pair<group_epoch, core::map_version>> held_layout_id() const;

private:
    /// Logs the first of several successive states that cannot be decoded.
    void log_unreadable(const core::result<rank_state>& state);
    bool needs_expert_list(core::time_point now) const;
    core::task<void> read_held_experts();
    core::task<void> read_counts();
    std::chrono::milliseconds counts_interval() const;
    /// Whether the engine is asked for its counts at this poll. In a large group it is asked only
    /// at the beginning and the end of a counting window.
    bool counts_due(core::time_point now);

    agent_context& context_;
    Port port_;
    rank_executor<Port> engine_;
    core::notifier state_updated_;
    std::optional<rank_state> state_;
    /// Term that was promised before state_ was read.
    term state_read_under_;
    order_id newest_order_;
    bool state_unreadable_ = false;
    /// Epoch and version of the active layout, and the time at which it was first seen.
    std::pair<group_epoch, core::map_version> active_layout_id_;
    core::time_point active_layout_since_;
    std::vector<std::vector<expert>> held_experts_;
    std::pair<group_epoch, core::map_version> held_layout_id_;
    /// Beginning of the counting window; empty in a small group.
    std::optional<core::time_point> counting_since_;
    /// Counts at the last poll, and the increase since the poll before it. The increase is not
    /// accumulated over polls: demand shifts within a second, and older counts would hide that.
    expert_counts last_counts_;
    core::incarnation counted_incarnation_;
    expert_counts new_counts_;
    core::time_point counts_sent_at_;
    core::time_point loading_until_;
};

template <rank_port Port>
core::task<void> engine_monitor<Port>::run()
{
    while (!context_.stopping) {
        // Orders of earlier terms have ended when the call begins, as calls follow one another.
        const term promised = context_.promised;
        const core::result<rank_state> state = co_await engine_.state();
        log_unreadable(state);
        if (state) {
            state_ = state.value();
            state_read_under_ = promised;
            if (state_->group != context_.group) {
                context_.join(state_->group);
            }
            const core::time_point now = core::runtime_clock::now();
            const std::pair<group_epoch, core::map_version> id{state_->epoch, state_->active};
            if (id != active_layout_id_) {
                active_layout_id_ = id;
                active_layout_since_ = now;
            }
            if (needs_expert_list(now)) {
                co_await read_held_experts();
            }
            co_await read_counts();
        }
        state_updated_.notify();
        const bool loading = core::runtime_clock::now() < loading_until_;
        co_await core::sleep_for(loading ? loading_status_interval : status_interval);
    }
}

template <rank_port Port>
void engine_monitor<Port>::log_unreadable(const core::result<rank_state>& state)
{
    const bool unreadable = !state && state.error().code == core::errc::malformed;
    if (unreadable && !state_unreadable_) {
        core::log_event("engine_state_unreadable", core::log_event::level::warning)
            .field("reason", state.error().detail);
    }
    state_unreadable_ = unreadable;
}

template <rank_port Port>
bool engine_monitor<Port>::needs_expert_list(core::time_point now) const
{
    if (!held_experts_.empty() && held_layout_id_ == active_layout_id_) {
        return false;
    }
    // A leader knows the layouts of its own term, unless it lost track of them.
    const bool known_to_leader =
        context_.promised.value > 0 && term_of(active_layout_id_.second) == context_.promised;
    return !known_to_leader || now - active_layout_since_ >= held_experts_report_delay;
}

template <rank_port Port>
core::task<void> engine_monitor<Port>::read_held_experts()
{
    const core::result<std::vector<std::vector<expert>>> held = co_await engine_.held_experts();
    const core::result<rank_state> state_after = co_await engine_.state();
    // The list belongs to the layout only if the layout did not change in the meantime.
    if (held && state_after && state_after.value().active == active_layout_id_.second &&
        state_after.value().epoch == active_layout_id_.first) {
        held_experts_ = held.value();
        held_layout_id_ = active_layout_id_;
    }
}

template <rank_port Port>
core::task<void> engine_monitor<Port>::read_counts()
{
    const std::size_t layers = context_.profile ? context_.profile->expert_layers : 0;
    const core::time_point now = core::runtime_clock::now();
    if (layers == 0 || !counts_due(now)) {
        co_return;
    }
    const core::incarnation incarnation = state_->incarnation;
    const core::result<cumulative_selection_counts> selection_counts =
        co_await engine_.selection_counts(layers);
    if (!selection_counts) {
        co_return;
    }
    const expert_counts& counts = selection_counts.value().counts;
    const bool same_incarnation =
        counted_incarnation_ == incarnation && last_counts_.size() == counts.size();
    new_counts_.assign(counts.size(), {});
    for (std::size_t l = 0; l < counts.size() && same_incarnation; ++l) {
        new_counts_[l].resize(counts[l].size());
        for (std::size_t e = 0; e < counts[l].size(); ++e) {
            new_counts_[l][e] = std::max(counts[l][e] - last_counts_[l][e], 0.0);
        }
    }
    last_counts_ = counts;
    counted_incarnation_ = incarnation;
    if (counting_since_ && now - *counting_since_ < counting_window) {
        // The first poll after a pause; the counts since the previous one are old.
        new_counts_.clear();
    }
}

template <rank_port Port>
bool engine_monitor<Port>::counts_due(core::time_point now)
{
    const std::chrono::milliseconds interval = counts_interval();
    if (interval <= 2 * counting_window) {
        counting_since_.reset();
        return true;
    }
    if (!new_counts_.empty() && now - *counting_since_ < 2 * interval) {
        return false;
    }
    if (!new_counts_.empty()) {
        // There was no leader to send them to.
        new_counts_.clear();
        counting_since_ = now;
        return true;
    }
    if (!counting_since_ || *counting_since_ < counts_sent_at_) {
        const bool due = now - counts_sent_at_ >= interval - counting_window;
        if (due) {
            counting_since_ = now;
        }
        return due;
    }
    return now - *counting_since_ >= counting_window;
}

template <rank_port Port>
core::task<executed_order> engine_monitor<Port>::execute(engine_order order, order_origin origin)
{
    const bool load = order.kind == order_kind::load;
    if (load) {
        loading_until_ = core::runtime_clock::now() + load_timeout;
    }
    newest_order_ = std::max(newest_order_, origin.id);
    executed_order done =
        co_await engine_.execute(std::move(order), origin, [this](const order_origin& o) {
            return context_.obeys(o) && o.id == newest_order_;
        });
    if (done.state) {
        state_ = done.state;
        state_read_under_ = origin.id.term;
    }
    if (load) {
        state_updated_.notify();
    }
    co_return done;
}

template <rank_port Port>
std::optional<layout_shape> engine_monitor<Port>::shape() const
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
rank_status engine_monitor<Port>::own_status() const
{
    rank_status s;
    s.promised = context_.promised;
    s.read_under = state_read_under_;
    s.state = *state_;
    return s;
}

template <rank_port Port>
std::chrono::milliseconds engine_monitor<Port>::counts_interval() const
{
    const std::optional<layout_shape> s = shape();
    if (!s) {
        return status_interval;
    }
    // Keeps the counts of all ranks together within counts_bytes_per_second.
    const double bytes = static_cast<double>(s->ranks * s->layers * s->experts);
    const std::chrono::duration<double> interval(bytes / counts_bytes_per_second);
    return std::max(status_interval,
                    std::chrono::duration_cast<std::chrono::milliseconds>(interval));
}

template <rank_port Port>
rank_status engine_monitor<Port>::status_for_leader(bool include_held_experts)
{
    rank_status s = own_status();
    const core::time_point now = core::runtime_clock::now();
    if (now - counts_sent_at_ >= counts_interval() && !new_counts_.empty()) {
        counts_sent_at_ = now;
        for (const std::vector<double>& layer : std::exchange(new_counts_, {})) {
            s.selection_counts.push_back(to_compact(layer));
        }
    }
    if (include_held_experts && held_layout_id()) {
        s.held_experts = held_experts_;
    }
    return s;
}

template <rank_port Port>
std::optional<std::pair<group_epoch, core::map_version>>
engine_monitor<Port>::held_layout_id() const
{
    const bool fits = state_ && !held_experts_.empty() && held_layout_id_.first == state_->epoch &&
                      held_layout_id_.second == state_->active;
    return fits ? std::optional<std::pair<group_epoch, core::map_version>>(held_layout_id_)
                : std::nullopt;
}

} // namespace currantpitch::rankcontrol
