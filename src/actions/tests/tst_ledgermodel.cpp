#include "actions/actionrunner.h"
#include "actions/ledgerowner.h"
#include "fakes/memorystore.h"
#include "sessions/attemptgate.h"
#include "sessions/attempttracker.h"

#include "support/modelrun.h"
#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::actions;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t entry_count = 2;
constexpr std::size_t agent_count = 2;
constexpr std::size_t key_count = 3;

struct ledger_simulation;

// An agent process with its attempt gate and a fault of its endpoint.
struct agent_process {
    core::incarnation incarnation;
    std::unique_ptr<sessions::attempt_gate> gate;
    bool endpoint_loses_answers = false;
};

// An entry's sessions with the agents without a network. Frames are delivered after a delay unless
// the session is cut in the meantime.
struct entry_links {
    struct session {
        sessions::attempt_tracker tracker;
        bool open = false;
        std::map<core::attempt_number, std::shared_ptr<sessions::attempt_channel>> channels;
    };
    ledger_simulation* simulation = nullptr;
    std::size_t entry = 0;
    core::incarnation incarnation;
    std::map<core::host_id, session> sessions;
    /// Issue time of the request that chooses an agent. Unique for each request of a run.
    core::wall_time current_issue_time;

    std::optional<core::host_id> choose(const action_request& request,
                                        const std::set<core::host_id>& excluded);
    core::result<sessions::attempt_identity> reserve(const core::host_id& agent);
    core::result<std::shared_ptr<sessions::attempt_channel>>
    start_reserved(const core::host_id& agent, const sessions::attempt_identity& id,
                   sessions::start_work work);
    core::task<core::result<sessions::resolution>>
    resolve_attempt(core::host_id agent, sessions::attempt_identity id, core::time_point deadline);
    void settle(const core::host_id& agent, const sessions::attempt_identity& id);

    void connect(const core::host_id& agent);
    void cut(const core::host_id& agent);
};

static_assert(action_agents<entry_links>);

// An entry process with its own context, so that it can be stopped together with all its tasks.
struct entry_process {
    core::asio::io_context context{1};
    entry_links links;
    std::unique_ptr<ledger_owner<fakes::memory_store>> ledger;
    std::unique_ptr<action_runner<ledger_owner<fakes::memory_store>, entry_links>> runner;
};

struct ledger_simulation {
    core::asio::io_context context{1};
    fakes::memory_store store{context.get_executor()};
    std::map<core::host_id, agent_process> agents;
    std::array<std::unique_ptr<entry_process>, entry_count> entries;
    std::uint64_t last_incarnation = 0;
    std::mt19937_64 random{11};

    // The oracle: how often each action ran and the outcomes reported to callers.
    std::map<std::string, int> runs;
    // Requests are identified by their issue time.
    using attempt_name = std::pair<core::incarnation, core::attempt_number>;
    std::map<std::pair<core::host_id, attempt_name>, core::wall_time> requester;
    std::set<core::wall_time> requests_that_ran;
    std::set<core::wall_time> requests_reported_not_run;
    std::map<std::string, int> open_requests;
    core::wall_time last_issue;

    core::duration random_delay() { return std::chrono::milliseconds(1 + random() % 40); }

    void run_ready()
    {
        for (int round = 0; round < 3; ++round) {
            context.restart();
            context.poll();
            for (const std::unique_ptr<entry_process>& e : entries) {
                if (e) {
                    e->context.restart();
                    e->context.poll();
                }
            }
        }
    }
    void advance(core::duration d)
    {
        core::advance(d, [this] { run_ready(); });
    }
    core::host_id agent_name(std::size_t i) { return core::host_id("agent" + std::to_string(i)); }

    void boot_agent(std::size_t i)
    {
        agent_process& a = agents[agent_name(i)];
        a.incarnation = core::incarnation{++last_incarnation};
        a.gate = std::make_unique<sessions::attempt_gate>(a.incarnation);
        for (const std::unique_ptr<entry_process>& e : entries) {
            if (e) {
                e->links.cut(agent_name(i));
            }
        }
    }
    void boot_entry(std::size_t i)
    {
        entries[i].reset();
        entries[i] = std::make_unique<entry_process>();
        entry_process& e = *entries[i];
        e.links.simulation = this;
        e.links.entry = i;
        e.links.incarnation = core::incarnation{++last_incarnation};
        e.ledger = std::make_unique<ledger_owner<fakes::memory_store>>(
            store, e.context.get_executor(), 0, last_incarnation);
        e.runner = std::make_unique<action_runner<ledger_owner<fakes::memory_store>, entry_links>>(
            e.context.get_executor(), *e.ledger, e.links);
        for (std::size_t agent = 0; agent < agent_count; ++agent) {
            e.links.connect(agent_name(agent));
        }
    }

    // Runs a started call on the agent after a delay and reports its end.
    core::task<void> execute(core::host_id agent, core::incarnation agent_incarnation,
                             sessions::attempt_identity id, std::string body)
    {
        co_await core::sleep_for(random_delay());
        agent_process& a = agents[agent];
        if (a.incarnation != agent_incarnation || !a.gate->start(id.entry, id.epoch, id.number)) {
            // A fenced or repeated start is refused. The refusal is reported like any other end.
            if (a.incarnation == agent_incarnation) {
                sessions::work_end end;
                end.number = id.number;
                end.state = sessions::end_state::refused;
                report_end(agent, id, end);
            }
            co_return;
        }
        ++runs[body];
        const core::wall_time issue_time = requester.at({agent, {id.entry, id.number}});
        RC_ASSERT(!requests_reported_not_run.contains(issue_time));
        requests_that_ran.insert(issue_time);
        const bool lost = a.endpoint_loses_answers;
        co_await core::sleep_for(random_delay());
        if (a.incarnation != agent_incarnation) {
            co_return;
        }
        sessions::work_end end;
        end.number = id.number;
        end.state = lost ? sessions::end_state::failed : sessions::end_state::finished;
        end.status = 200;
        end.body = "done " + body;
        a.gate->end(id.entry, end);
        co_await core::sleep_for(random_delay());
        report_end(agent, id, end);
    }
    void report_end(const core::host_id& agent, const sessions::attempt_identity& id,
                    const sessions::work_end& end)
    {
        for (const std::unique_ptr<entry_process>& e : entries) {
            if (!e || e->links.incarnation != id.entry || !e->links.sessions[agent].open) {
                continue;
            }
            const auto channel = e->links.sessions[agent].channels.find(id.number);
            if (channel != e->links.sessions[agent].channels.end()) {
                channel->second->push(end);
            }
        }
    }

    void submit(std::size_t entry, const std::string& key)
    {
        entry_process& e = *entries[entry];
        core::spawn(
            e.context.get_executor(),
            [](ledger_simulation& self, entry_process& process, std::string k) -> core::task<void> {
                action_request request;
                request.workspace = core::workspace_id("w");
                request.key = k;
                request.body = k;
                self.last_issue = std::max(self.last_issue + 1ms, core::runtime_clock::wall_now());
                request.issued_at = self.last_issue;
                const bool alone = self.open_requests[k]++ == 0;
                const action_result result =
                    co_await process.runner->run(request, core::runtime_clock::now() + 3s);
                const bool still_alone = alone && self.open_requests[k] == 1;
                --self.open_requests[k];
                self.check(request, still_alone, result);
            }(*this, e, key));
    }
    void check(const action_request& request, bool alone, const action_result& result)
    {
        const int ran = runs[request.key];
        RC_ASSERT(ran <= 1);
        if (result.outcome == action_outcome::whole) {
            RC_ASSERT(ran == 1);
            RC_ASSERT(result.body == "done " + request.key);
        }
        if (result.outcome == action_outcome::not_run) {
            RC_ASSERT(!requests_that_ran.contains(request.issued_at));
            requests_reported_not_run.insert(request.issued_at);
            RC_ASSERT((!result.no_prior_attempt || !alone || ran == 0));
        }
    }
};

std::optional<core::host_id> entry_links::choose(const action_request& request,
                                                 const std::set<core::host_id>& excluded)
{
    current_issue_time = request.issued_at;
    for (const std::pair<const core::host_id, session>& s : sessions) {
        if (s.second.open && !excluded.contains(s.first)) {
            return s.first;
        }
    }
    return std::nullopt;
}

core::result<sessions::attempt_identity> entry_links::reserve(const core::host_id& agent)
{
    session& s = sessions[agent];
    if (!s.open) {
        return core::error{core::errc::unavailable, "no session"};
    }
    const core::attempt_number number = s.tracker.next_attempt();
    simulation->requester[{agent, {incarnation, number}}] = current_issue_time;
    return sessions::attempt_identity{incarnation, s.tracker.agent(), s.tracker.epoch(), number};
}

core::result<std::shared_ptr<sessions::attempt_channel>>
entry_links::start_reserved(const core::host_id& agent, const sessions::attempt_identity& id,
                            sessions::start_work work)
{
    session& s = sessions[agent];
    if (!s.open || s.tracker.epoch() != id.epoch) {
        return core::error{core::errc::stale, "another session"};
    }
    std::shared_ptr<sessions::attempt_channel> channel =
        std::make_shared<sessions::attempt_channel>(
            simulation->entries[entry]->context.get_executor(), id);
    s.channels[id.number] = channel;
    core::spawn(simulation->context.get_executor(),
                simulation->execute(agent, simulation->agents[agent].incarnation, id, work.body));
    return channel;
}

core::task<core::result<sessions::resolution>>
entry_links::resolve_attempt(core::host_id agent, sessions::attempt_identity id, core::time_point)
{
    co_await core::sleep_for(simulation->random_delay());
    if (!sessions[agent].open) {
        co_return core::error{core::errc::unavailable, "no session"};
    }
    const sessions::resolve request{1, id};
    const sessions::resolution answer =
        simulation->agents[agent].gate->resolve_attempt(request, core::runtime_clock::now());
    co_await core::sleep_for(simulation->random_delay());
    co_return answer;
}

void entry_links::settle(const core::host_id& agent, const sessions::attempt_identity& id)
{
    session& s = sessions[agent];
    s.tracker.settle(id.number);
    s.channels.erase(id.number);
    if (s.open) {
        simulation->agents[agent].gate->settle(
            incarnation,
            sessions::entry_heartbeat{s.tracker.settled_below(), s.tracker.take_settled()},
            core::runtime_clock::now());
    }
}

void entry_links::connect(const core::host_id& agent)
{
    session& s = sessions[agent];
    agent_process& a = simulation->agents[agent];
    const sessions::hello h{core::host_id("e"), incarnation, s.tracker.begin_session(),
                            s.tracker.settled_below()};
    const core::result<std::vector<sessions::attempt_report>> opened =
        a.gate->open(h, core::runtime_clock::now());
    s.open = opened.has_value();
    if (!opened) {
        return;
    }
    const sessions::hello_ack ack{agent, a.incarnation, false, opened.value()};
    for (const sessions::attempt_conclusion& conclusion : s.tracker.on_ack(ack)) {
        const auto channel = s.channels.find(conclusion.number);
        if (channel != s.channels.end()) {
            channel->second->push(conclusion);
        }
    }
}

void entry_links::cut(const core::host_id& agent)
{
    session& s = sessions[agent];
    s.open = false;
    for (const std::pair<const core::attempt_number, std::shared_ptr<sessions::attempt_channel>>&
             c : s.channels) {
        c.second->push(sessions::session_lost{});
    }
}

void run_command(ledger_simulation& simulation, testing::script& s)
{
    const std::size_t entry = s.choose(entry_count);
    const core::host_id agent = simulation.agent_name(s.choose(agent_count));
    switch (s.choose(12)) {
    case 0:
    case 1:
    case 2:
    case 3:
        simulation.submit(entry, "key" + std::to_string(s.choose(key_count)));
        break;
    case 4:
    case 5:
        simulation.advance(std::chrono::milliseconds(1 + s.choose(400)));
        break;
    case 6:
        simulation.entries[entry]->links.cut(agent);
        break;
    case 7:
        simulation.entries[entry]->links.connect(agent);
        break;
    case 8:
        if (s.choose(3) == 0) {
            simulation.boot_entry(entry);
        }
        break;
    case 9:
        if (s.choose(3) == 0) {
            simulation.boot_agent(s.choose(agent_count));
        }
        break;
    case 10:
        simulation.store.faults.unavailable = s.choose(3) == 0;
        simulation.store.faults.delay = std::chrono::milliseconds(s.choose(3) * 40);
        break;
    default:
        simulation.store.faults.responses_to_drop = static_cast<unsigned>(s.choose(3));
        simulation.agents[agent].endpoint_loses_answers = s.choose(4) == 0;
        break;
    }
}

} // namespace

TEST_GROUP(ledger_model){};

TEST(ledger_model, actions_run_at_most_once_and_reported_outcomes_are_correct)
{
    CHECK_TRUE(testing::check_model("ledger", [](testing::script& s) {
        const testing::paused_run clock;
        ledger_simulation simulation;
        for (std::size_t i = 0; i < agent_count; ++i) {
            simulation.boot_agent(i);
        }
        for (std::size_t i = 0; i < entry_count; ++i) {
            simulation.boot_entry(i);
        }
        while (!s.done()) {
            s.next_command();
            run_command(simulation, s);
        }
        simulation.advance(20s);
        for (const std::pair<const std::string, int>& action : simulation.runs) {
            RC_ASSERT(action.second <= 1);
        }
    }));
}
