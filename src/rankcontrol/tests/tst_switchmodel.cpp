#include "fakes/rankgroup.h"
#include "rankcontrol/layoutswitch.h"
#include "rankcontrol/rankcontrolconstants.h"
#include "rankcontrol/rankmessages.h"

#include "support/modelrun.h"
#include "support/rapidcheck.h"

#include <deque>
#include <memory>

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::rankcontrol;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t rank_count = 3;
constexpr std::size_t leader_count = 2;
const layout_shape shape{rank_count, 1, 6, 4, 2};

/// What one side of a connection has sent and the other has not read yet, in order.
struct downward {
    std::optional<term> claim;
    std::optional<std::pair<term, engine_order>> order;
};
struct upward {
    term promised;
    rank_state state;
    bool answers = false;
    std::optional<order_result> result;
};

struct connection {
    std::deque<downward> down;
    std::deque<upward> up;
};

struct agent {
    term promised;
    bool fence_known = true;
};

struct lead {
    std::unique_ptr<layout_switch> decisions;
    term own;
};

// The engines' rules, agents that obey the highest term, leaders that may both believe to lead, and
// everything that may happen to them: connections that are cut, orders that the engine does not
// answer and carries out later or never, deaths of leaders and agents, crashes of ranks. The oracle
// looks at the passes only.
class switch_simulation {
public:
    explicit switch_simulation(testing::script& s) : script_(s) { claim(0); }

    void step()
    {
        script_.next_command();
        const std::size_t rank = script_.choose(rank_count);
        const std::size_t leader = script_.choose(leader_count);
        switch (script_.choose(32)) {
        case 0:
        case 1:
        case 2:
            deliver_down(leader, rank);
            break;
        case 3:
        case 4:
        case 5:
            deliver_up(leader, rank);
            break;
        case 6:
            send_status(leader, rank);
            break;
        case 7:
            group.begin_step();
            break;
        case 8:
            group.finish_loading(static_cast<std::uint32_t>(rank));
            break;
        case 9:
            tick(leader);
            break;
        case 10:
            propose(leader);
            break;
        case 11:
            carry_out_late();
            break;
        case 12:
        case 14:
            rare(leader, rank);
            break;
        case 13:
            now += std::chrono::milliseconds(100 * (1 + script_.choose(8)));
            tick(leader);
            break;
        default:
            round(script_.choose(4) == 0 ? leader : 0);
            break;
        }
    }

    /// No more faults: a leader brings a switch about.
    bool recovers()
    {
        late_.clear();
        if (!group.open()) {
            group.rebuild_group();
        }
        for (agent& a : agents_) {
            a.fence_known = true;
            a.promised = std::max(a.promised, last_term_);
        }
        leaders_[1].decisions.reset();
        claim(0);
        calm_ = true;
        const std::uint64_t before = group.switches();
        for (int i = 0; i < 400 && group.switches() == before; ++i) {
            now += 50ms;
            for (std::size_t rank = 0; rank < rank_count; ++rank) {
                group.finish_loading(static_cast<std::uint32_t>(rank));
                send_status(0, rank);
            }
            for (int k = 0; k < 4; ++k) {
                exchange(0);
            }
            group.begin_step();
            propose(0);
        }
        return group.switches() > before;
    }

    fakes::rank_group group{shape};
    core::time_point now{1h};

private:
    connection& link(std::size_t leader, std::size_t rank) { return links_[leader][rank]; }

    void claim(std::size_t leader)
    {
        // One conditional write: no two leaders get the same term.
        last_term_ = last_term_.next();
        leaders_[leader].own = last_term_;
        leaders_[leader].decisions =
            std::make_unique<layout_switch>(last_term_, rank_count, leader % rank_count);
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            link(leader, rank).down.push_back({last_term_, std::nullopt});
        }
    }

    void tick(std::size_t leader)
    {
        lead& l = leaders_[leader];
        if (!l.decisions) {
            return;
        }
        learn_layout(*l.decisions);
        for (addressed_order& o : l.decisions->take_orders(now)) {
            link(leader, o.rank)
                .down.push_back({std::nullopt, std::make_pair(l.own, std::move(o.order))});
        }
    }

    // The caller of the decisions knows the running layout from the ranks' own lists.
    void learn_layout(layout_switch& decisions)
    {
        const auto observed = decisions.observed();
        if (!observed || observed->first != group.state(0).epoch ||
            observed->second != group.state(0).active) {
            return;
        }
        layout present(1, layer_layout(rank_count));
        for (std::uint32_t rank = 0; rank < rank_count; ++rank) {
            present[0][rank] = group.held(rank)[0];
        }
        decisions.set_present(observed->first, observed->second, std::move(present));
    }

    void propose(std::size_t leader)
    {
        lead& l = leaders_[leader];
        if (l.decisions && l.decisions->can_propose()) {
            const expert extra = static_cast<expert>(++proposals_ % 3);
            layout next = initial_layout(shape);
            next[0][(extra + 1) % rank_count].push_back(extra);
            l.decisions->propose(std::move(next), now);
            tick(leader);
        }
    }

    void deliver_down(std::size_t leader, std::size_t rank)
    {
        connection& c = link(leader, rank);
        if (c.down.empty()) {
            return;
        }
        downward message = std::move(c.down.front());
        c.down.pop_front();
        agent& a = agents_[rank];
        if (message.claim && a.fence_known) {
            a.promised = std::max(a.promised, *message.claim);
        }
        if (!message.order) {
            return;
        }
        upward answer;
        answer.answers = true;
        if (a.fence_known && message.order->first == a.promised) {
            answer.result = execute(static_cast<std::uint32_t>(rank), message.order->second);
        }
        answer.promised = a.promised;
        answer.state = group.state(static_cast<std::uint32_t>(rank));
        c.up.push_back(answer);
    }

    // As rank_executor does it: the same order again until it is answered.
    std::optional<order_result> execute(std::uint32_t rank, const engine_order& order)
    {
        for (int i = 0; i < 3; ++i) {
            const std::size_t fate = calm_ ? 7 : script_.choose(8);
            if (fate == 0) {
                late_.emplace_back(rank, order);
            }
            if (fate == 1) {
                group.order(rank, order);
            }
            if (fate == 2) {
                late_.emplace_back(rank, order);
                group.begin_step();
            }
            const bool answered = fate > 2;
            const order_result result = answered ? group.order(rank, order) : order_result::refused;
            if (answered && result != order_result::refused) {
                return result;
            }
            const rank_state state = group.state(rank);
            const bool taken_before =
                i > 0 && answered && order.kind == order_kind::load && !state.armed;
            if (fulfilled(order, state) || taken_before) {
                return order_result::already;
            }
            if (answered) {
                return order_result::refused;
            }
        }
        return std::nullopt;
    }

    void deliver_up(std::size_t leader, std::size_t rank)
    {
        connection& c = link(leader, rank);
        if (c.up.empty()) {
            return;
        }
        const upward message = c.up.front();
        c.up.pop_front();
        lead& l = leaders_[leader];
        if (!l.decisions) {
            return;
        }
        if (message.promised > l.own) {
            l.decisions.reset();
            return;
        }
        if (message.promised != l.own) {
            return;
        }
        learn_layout(*l.decisions);
        if (message.answers) {
            l.decisions->on_answer(static_cast<std::uint32_t>(rank), message.result, message.state,
                                   now);
        }
        else {
            l.decisions->on_state(message.state, now);
        }
        tick(leader);
    }

    void send_status(std::size_t leader, std::size_t rank)
    {
        link(leader, rank)
            .up.push_back({agents_[rank].promised, group.state(static_cast<std::uint32_t>(rank)),
                           false, std::nullopt});
    }

    // A whole round, so that switches also get far enough to be disturbed late.
    void exchange(std::size_t leader)
    {
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            deliver_down(leader, rank);
            deliver_up(leader, rank);
        }
        tick(leader);
    }

    // The regular work of everybody, so that switches get far enough to be disturbed late.
    void round(std::size_t leader)
    {
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            group.finish_loading(static_cast<std::uint32_t>(rank));
            send_status(leader, rank);
            while (!link(leader, rank).down.empty()) {
                deliver_down(leader, rank);
            }
            while (!link(leader, rank).up.empty()) {
                deliver_up(leader, rank);
            }
        }
        tick(leader);
        if (script_.choose(2) == 0) {
            propose(leader);
        }
        if (script_.choose(2) == 0) {
            group.begin_step();
        }
    }

    void carry_out_late()
    {
        if (late_.empty()) {
            return;
        }
        const std::size_t which = script_.choose(late_.size());
        const std::pair<std::uint32_t, engine_order> order = late_[which];
        late_.erase(late_.begin() + static_cast<long>(which));
        group.order(order.first, order.second);
    }

    void cut(std::size_t leader, std::size_t rank)
    {
        link(leader, rank) = connection{};
        lead& l = leaders_[leader];
        if (l.decisions) {
            l.decisions->on_lost(static_cast<std::uint32_t>(rank));
            link(leader, rank).down.push_back({l.own, std::nullopt});
        }
    }

    void rare(std::size_t leader, std::size_t rank)
    {
        switch (script_.choose(8)) {
        case 0:
        case 1:
            claim(leader);
            break;
        case 2:
            leaders_[leader].decisions.reset();
            break;
        case 3:
            cut(leader, rank);
            break;
        case 4:
            // The agent dies; it obeys nobody before it has read the last term from the store.
            agents_[rank] = agent{term{}, false};
            for (std::size_t l = 0; l < leader_count; ++l) {
                cut(l, rank);
            }
            break;
        case 5:
            agents_[rank].fence_known = true;
            agents_[rank].promised = std::max(agents_[rank].promised, last_term_);
            break;
        case 6:
            group.crash(static_cast<std::uint32_t>(rank));
            break;
        default:
            if (!group.open()) {
                group.rebuild_group();
            }
            break;
        }
    }

    testing::script& script_;
    std::array<agent, rank_count> agents_;
    std::array<lead, leader_count> leaders_;
    std::array<std::array<connection, rank_count>, leader_count> links_;
    std::vector<std::pair<std::uint32_t, engine_order>> late_;
    term last_term_;
    std::uint64_t proposals_ = 0;
    bool calm_ = false;
};

} // namespace

TEST_GROUP(layout_switch_model){};

TEST(layout_switch_model, every_pass_has_one_layout)
{
    std::uint64_t switches = 0;
    CHECK_TRUE(testing::check_model("layout switch", [&switches](testing::script& s) {
        switch_simulation world(s);
        while (!s.done()) {
            world.step();
            RC_ASSERT(world.group.violation() == "");
        }
        RC_ASSERT(world.recovers());
        RC_ASSERT(world.group.violation() == "");
        switches += world.group.switches();
    }));
    std::printf("model=\"layout switch\" switches=%llu\n",
                static_cast<unsigned long long>(switches));
    CHECK(switches > 0);
}
