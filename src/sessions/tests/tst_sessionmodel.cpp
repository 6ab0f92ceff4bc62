#include "sessions/attemptgate.h"
#include "sessions/attempttracker.h"

#include "support/modelrun.h"
#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::sessions;

namespace {

constexpr std::size_t entry_count = 2;

struct hello_in_flight {
    std::size_t entry = 0;
    hello message;
};
struct ack_in_flight {
    std::size_t entry = 0;
    core::incarnation to;
    core::epoch epoch;
    hello_ack message;
};
struct start_in_flight {
    attempt_identity id;
};

// Simulates two entries and one agent on a network that loses, delays, reorders and repeats
// messages. Any process can be restarted. The oracle records the attempts that ran and those that
// were reported as never started.
class session_simulation {
public:
    session_simulation()
    {
        for (std::size_t i = 0; i < entry_count; ++i) {
            restart_entry(i);
        }
        restart_agent();
    }

    void run_command(testing::script& s)
    {
        const std::size_t entry = s.choose(entry_count);
        switch (s.choose(12)) {
        case 0:
            send_hello(entry);
            break;
        case 1:
        case 2:
            deliver_hello(s);
            break;
        case 3:
        case 4:
            deliver_ack(s);
            break;
        case 5:
        case 6:
            send_start(entry);
            break;
        case 7:
        case 8:
            deliver_start(s);
            break;
        case 9:
            end_or_settle(entry, s);
            break;
        case 10:
            query_attempt(entry, s);
            break;
        case 11:
            restart_or_expire(entry, s);
            break;
        }
    }

private:
    struct entry_process {
        core::incarnation incarnation;
        attempt_tracker tracker;
        bool acknowledged = false;
    };

    void restart_entry(std::size_t i)
    {
        entries_[i] = entry_process{core::incarnation{++last_incarnation_}, {}, false};
    }
    void restart_agent()
    {
        agent_ = core::incarnation{++last_incarnation_};
        gate_ = std::make_unique<attempt_gate>(agent_);
        running_.clear();
    }

    void send_hello(std::size_t i)
    {
        entry_process& e = entries_[i];
        e.acknowledged = false;
        hellos_.push_back({i, hello{core::host_id("e"), e.incarnation, e.tracker.begin_session(),
                                    e.tracker.settled_below()}});
    }
    void deliver_hello(testing::script& s)
    {
        if (hellos_.empty()) {
            return;
        }
        // The message stays in flight, so that it can be delivered again.
        const hello_in_flight& h = hellos_[s.choose(hellos_.size())];
        const core::result<std::vector<attempt_report>> opened = gate_->open(h.message, now_);
        if (opened) {
            acks_.push_back({h.entry, h.message.incarnation, h.message.epoch,
                             hello_ack{core::host_id("a"), agent_, false, opened.value()}});
        }
    }
    void deliver_ack(testing::script& s)
    {
        if (acks_.empty()) {
            return;
        }
        const ack_in_flight& ack = acks_[s.choose(acks_.size())];
        entry_process& e = entries_[ack.entry];
        // A connection carries only the answer of its own session, and only once.
        if (e.incarnation != ack.to || e.tracker.epoch() != ack.epoch || e.acknowledged) {
            return;
        }
        e.acknowledged = true;
        for (const attempt_conclusion& conclusion : e.tracker.on_ack(ack.message)) {
            if (conclusion.kind == conclusion_kind::never_started) {
                record_never_started(sent_.at({e.incarnation, conclusion.number}));
            }
            if (conclusion.kind != conclusion_kind::fenced) {
                e.tracker.settle(conclusion.number);
            }
        }
    }
    void send_start(std::size_t i)
    {
        entry_process& e = entries_[i];
        if (!e.acknowledged) {
            return;
        }
        const core::epoch epoch = e.tracker.epoch();
        const core::incarnation agent = e.tracker.agent();
        const attempt_identity id{e.incarnation, agent, epoch, e.tracker.next_attempt()};
        sent_[{e.incarnation, id.number}] = id;
        starts_.push_back({id});
    }
    void deliver_start(testing::script& s)
    {
        if (starts_.empty()) {
            return;
        }
        const attempt_identity id = starts_[s.choose(starts_.size())].id;
        // A frame can only arrive over a connection to the agent incarnation it was sent to.
        if (id.agent != agent_ || !gate_->start(id.entry, id.epoch, id.number)) {
            return;
        }
        RC_ASSERT(ran_.insert({id.entry, id.number}).second);
        RC_ASSERT(!never_started_.contains({id.entry, id.number}));
        running_.push_back(id);
    }
    void end_or_settle(std::size_t i, testing::script& s)
    {
        if (s.choose(2) == 0 && !running_.empty()) {
            const std::size_t index = s.choose(running_.size());
            work_end end;
            end.number = running_[index].number;
            end.state = end_state::finished;
            gate_->end(running_[index].entry, end);
            running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
            return;
        }
        entry_process& e = entries_[i];
        if (e.acknowledged) {
            const core::attempt_number below = e.tracker.settled_below();
            gate_->settle(e.incarnation, entry_heartbeat{below, e.tracker.take_settled()}, now_);
        }
    }
    void query_attempt(std::size_t i, testing::script& s)
    {
        (void)i;
        if (sent_.empty()) {
            return;
        }
        auto it = sent_.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(s.choose(sent_.size())));
        const resolution answer = gate_->resolve_attempt(resolve{1, it->second}, now_);
        if (answer.status == attempt_status::never_started) {
            record_never_started(it->second);
        }
    }
    void restart_or_expire(std::size_t i, testing::script& s)
    {
        switch (s.choose(6)) {
        case 0:
            restart_agent();
            break;
        case 1:
            restart_entry(i);
            break;
        case 2:
            now_ += std::chrono::minutes(61);
            gate_->expire(now_);
            break;
        default:
            break;
        }
    }
    void record_never_started(const attempt_identity& id)
    {
        RC_ASSERT(!ran_.contains({id.entry, id.number}));
        never_started_.insert({id.entry, id.number});
    }

    using attempt_key = std::pair<core::incarnation, core::attempt_number>;

    core::time_point now_{std::chrono::hours(1)};
    std::uint64_t last_incarnation_ = 0;
    entry_process entries_[entry_count];
    core::incarnation agent_;
    std::unique_ptr<attempt_gate> gate_;
    std::vector<hello_in_flight> hellos_;
    std::vector<ack_in_flight> acks_;
    std::vector<start_in_flight> starts_;
    std::vector<attempt_identity> running_;
    std::map<attempt_key, attempt_identity> sent_;
    std::set<attempt_key> ran_;
    std::set<attempt_key> never_started_;
};

} // namespace

TEST_GROUP(session_model){};

TEST(session_model, attempts_reported_as_never_started_never_start_and_none_starts_twice)
{
    CHECK_TRUE(testing::check_model("sessions", [](testing::script& s) {
        session_simulation simulation;
        while (!s.done()) {
            s.next_command();
            simulation.run_command(s);
        }
    }));
}
