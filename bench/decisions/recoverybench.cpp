#include "decisions/recoverybench.h"

#include "fakes/rankgroup.h"
#include "rankcontrol/layoutswitch.h"
#include "rankcontrol/rankcontrolconstants.h"

#include <array>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>

namespace currantpitch::bench {

namespace {

using namespace std::chrono_literals;
using namespace rankcontrol;

constexpr std::chrono::milliseconds step_time = 65ms;
constexpr std::chrono::milliseconds copy_time = 250ms;
/// Times from the leader to an agent or an engine, and of a call to the engine on the same host.
constexpr std::chrono::milliseconds travel_time = 15ms;
constexpr std::chrono::milliseconds call_time = 4ms;
constexpr std::chrono::milliseconds claim_time = 30ms;
constexpr std::chrono::milliseconds freeze_time = 4000ms;
constexpr std::chrono::milliseconds restart_time = 2000ms;
constexpr std::chrono::seconds observation_time = 10s;

enum class victim { leader, holder };
enum class fault { frozen, killed };

/// One group with the agents of its ranks. The first host leads; the second one is its successor.
class recovery_run {
public:
    recovery_run(std::size_t ranks, bool direct, std::uint64_t seed)
        : shape_{ranks, 1, ranks * 2, 4, 2}, group_(shape_), agents_(ranks), direct_(direct),
          random_(static_cast<std::uint32_t>(seed))
    {
    }

    /// Returns the time without a step after the fault.
    core::duration run(switch_phase at, victim v, fault f)
    {
        begin_leading(0);
        for (std::uint32_t rank = 0; rank < group_.size(); ++rank) {
            after(std::chrono::milliseconds(random_() % 120), [this, rank] { report(rank); });
        }
        after(step_time, [this] { step(); });
        after(0ms, [this] { tick(); });
        unanswered_arms_ = at == switch_phase::withdrawing;
        // In holding, the engine has accepted the order and the leader does not know it yet.
        const auto reached = [this, at] {
            const bool held = group_.state(1).held_step.has_value();
            return leader_->phase() == at && (held || at != switch_phase::holding);
        };
        while (!reached() && now_ < core::time_point(60s)) {
            run_next();
        }
        hit_ = v == victim::leader ? 0 : 1;
        fault_ = f;
        hit_at_ = now_;
        unanswered_arms_ = false;
        agents_[hit_].alive = false;
        after(f == fault::frozen ? freeze_time : restart_time, [this] { return_agent(); });
        if (hit_ == leader_host_) {
            after(candidate_heartbeat_timeout + claim_time, [this] { begin_leading(1); });
        }
        while (now_ < hit_at_ + observation_time) {
            run_next();
        }
        if (!group_.violation().empty()) {
            std::cerr << "violation: " << group_.violation() << '\n';
        }
        return stalled_ + (waiting_since_ ? now_ - *waiting_since_ : core::duration{});
    }

private:
    struct agent {
        bool alive = true;
        term promised;
        core::time_point reported_at;
        bool direct = false;
        /// Orders that arrived while it was frozen.
        std::vector<std::function<void()>> waiting;
    };

    void after(core::duration d, std::function<void()> f)
    {
        events_.emplace(now_ + d, std::move(f));
    }
    void run_next()
    {
        const auto first = events_.begin();
        now_ = first->first;
        const std::function<void()> f = std::move(first->second);
        events_.erase(first);
        f();
    }

    void begin_leading(std::size_t host)
    {
        leader_host_ = host;
        own_term_ = own_term_.next();
        leader_ = std::make_unique<layout_switch>(
            own_term_, group_.size(), static_cast<std::uint32_t>(own_term_.value % group_.size()));
        leader_->set_step_time(step_time);
        leading_since_ = now_;
        agents_[host].promised = own_term_;
        for (agent& a : agents_) {
            a.direct = false;
            a.promised = a.alive ? own_term_ : a.promised;
        }
    }

    void return_agent()
    {
        agent& a = agents_[hit_];
        a.alive = true;
        if (!direct_ && hit_ == 0) {
            // The earlier candidate deposed the leader when it was back.
            begin_leading(0);
        }
        a.promised = own_term_;
        for (const std::function<void()>& f : std::exchange(a.waiting, {})) {
            if (fault_ == fault::frozen) {
                f();
            }
        }
    }

    void step()
    {
        if (!group_.begin_step()) {
            waiting_since_ = waiting_since_.value_or(now_);
            after(1ms, [this] { step(); });
            return;
        }
        if (waiting_since_ && hit_at_ > core::time_point{}) {
            stalled_ += now_ - std::max(*waiting_since_, hit_at_);
        }
        waiting_since_.reset();
        after(step_time, [this] { step(); });
    }

    void report(std::uint32_t rank)
    {
        after(loading_status_interval, [this, rank] { report(rank); });
        const agent& a = agents_[rank];
        if (a.alive && a.promised == own_term_) {
            after(travel_time, [this, rank, s = group_.state(rank), t = own_term_] {
                if (t == own_term_ && leads()) {
                    agents_[rank].reported_at = now_;
                    set_direct(rank, false);
                    take(s);
                }
            });
        }
        else if (a.direct) {
            take(group_.state(rank));
        }
    }

    bool leads() const { return agents_[leader_host_].alive; }
    void set_direct(std::uint32_t rank, bool direct)
    {
        agents_[rank].direct = direct;
        leader_->set_direct(rank, direct);
    }

    void take(const rank_state& s)
    {
        if (!leads()) {
            return;
        }
        leader_->on_state(s, now_);
        const auto id = leader_->observed_layout_id();
        if (id && id->second == group_.state(0).active) {
            layout current(1, layer_layout(shape_.ranks));
            for (std::uint32_t rank = 0; rank < group_.size(); ++rank) {
                current[0][rank] = group_.held_experts(rank)[0];
            }
            leader_->set_current_layout(id->first, id->second, std::move(current));
        }
    }

    void tick()
    {
        after(leader_tick_interval, [this] { tick(); });
        if (!leads()) {
            return;
        }
        for (std::uint32_t rank = 0; rank < group_.size(); ++rank) {
            agent& a = agents_[rank];
            const core::duration silence = now_ - std::max(a.reported_at, leading_since_);
            if (direct_ && leader_->phase() != switch_phase::idle &&
                silence > agent_silence_limit && !a.direct) {
                set_direct(rank, true);
            }
            if (!a.direct && silence > candidate_heartbeat_timeout) {
                leader_->on_disconnected(rank);
            }
        }
        if (leader_->can_propose()) {
            const expert extra = static_cast<expert>(++proposals_ % 2);
            layout next = initial_layout(shape_);
            next[0][(extra + 1) % shape_.ranks].push_back(extra);
            leader_->propose(std::move(next), now_);
        }
        for (addressed_order& o : leader_->take_orders(now_)) {
            send(std::move(o));
        }
    }

    void send(addressed_order o)
    {
        agent& a = agents_[o.rank];
        if (a.direct) {
            after(travel_time + call_time, [this, o] { execute(o, own_term_); });
            return;
        }
        after(travel_time + call_time, [this, o, t = own_term_] {
            agent& receiver = agents_[o.rank];
            if (receiver.alive) {
                execute(o, receiver.promised);
            }
            else {
                receiver.waiting.push_back([this, o] { execute(o, agents_[o.rank].promised); });
            }
        });
    }

    void execute(const addressed_order& o, term obeyed)
    {
        const bool unanswered =
            unanswered_arms_ && o.order.kind == order_kind::arm && o.rank + 1 == group_.size();
        if (o.id.term != obeyed || unanswered) {
            return;
        }
        const order_result result = group_.order(o.rank, o.order);
        if (o.order.kind == order_kind::load && result == order_result::accepted) {
            after(copy_time, [this, rank = o.rank] { group_.finish_loading(rank); });
        }
        after(travel_time, [this, o, result, s = group_.state(o.rank)] {
            if (o.id.term == own_term_ && leads()) {
                leader_->on_answer(o.rank, o.id, result, s, now_);
            }
        });
    }

    layout_shape shape_;
    fakes::rank_group group_;
    std::vector<agent> agents_;
    bool direct_;
    std::minstd_rand random_;
    core::time_point now_{1s};
    std::multimap<core::time_point, std::function<void()>> events_;
    std::unique_ptr<layout_switch> leader_;
    std::size_t leader_host_ = 0;
    term own_term_;
    core::time_point leading_since_;
    std::uint64_t proposals_ = 0;
    std::size_t hit_ = 0;
    fault fault_ = fault::frozen;
    core::time_point hit_at_;
    bool unanswered_arms_ = false;
    std::optional<core::time_point> waiting_since_;
    core::duration stalled_{};
};

} // namespace

bench_report run_recovery(std::uint64_t seed)
{
    constexpr std::array<switch_phase, 5> phases{switch_phase::loading, switch_phase::holding,
                                                 switch_phase::arming, switch_phase::releasing,
                                                 switch_phase::withdrawing};
    constexpr std::array<std::size_t, 4> group_sizes{12, 63, 72, 129};
    bench_report report({"agent_of", "fault", "phase", "direct_calls", "ranks_12", "ranks_63",
                         "ranks_72", "ranks_129"});
    for (const victim v : {victim::leader, victim::holder}) {
        for (const fault f : {fault::frozen, fault::killed}) {
            for (const switch_phase phase : phases) {
                for (const bool direct : {false, true}) {
                    std::vector<std::string> row{v == victim::leader ? "leader" : "holder",
                                                 f == fault::frozen ? "frozen" : "killed",
                                                 std::string(to_string(phase)),
                                                 direct ? "yes" : "no"};
                    for (const std::size_t ranks : group_sizes) {
                        const core::duration stalled =
                            recovery_run(ranks, direct, seed).run(phase, v, f);
                        row.push_back(
                            format_number(std::chrono::duration<double>(stalled).count(), 2));
                    }
                    report.add(std::move(row));
                }
            }
        }
    }
    return report;
}

} // namespace currantpitch::bench
