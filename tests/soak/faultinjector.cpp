#include "soak/faultinjector.h"

#include "core/timer.h"

#include <csignal>

namespace currantpitch::soak {

using namespace platform::standins;

namespace {

/// Time after which the store removes an endpoint that says nothing: three of its intervals.
constexpr std::chrono::milliseconds entry_lapses{3000};
/// Time for which an endpoint goes on serving after it said that it leaves.
constexpr std::chrono::milliseconds leaves_after{3000};
constexpr std::chrono::milliseconds slow_link{150};
constexpr std::chrono::milliseconds slow_store{400};
constexpr std::chrono::milliseconds late_order{1200};
constexpr unsigned slow_endpoint = 8;
constexpr const char* garbage = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nspam";

/// Concerns the judge for as long as it lives.
class disturbance_scope {
public:
    disturbance_scope(judge& j, disturbed what, std::size_t which)
        : judge_(j), what_(what), which_(which)
    {
        judge_.on_disturbance(what_, which_, core::runtime_clock::now());
    }
    disturbance_scope(const disturbance_scope&) = delete;
    disturbance_scope& operator=(const disturbance_scope&) = delete;
    ~disturbance_scope() { judge_.on_calm(what_, which_, core::runtime_clock::now()); }

private:
    judge& judge_;
    disturbed what_;
    std::size_t which_;
};

} // namespace

core::task<void> fault_injector::run(std::vector<planned_fault> script)
{
    const core::time_point began = core::runtime_clock::now();
    for (const planned_fault& f : script) {
        co_await core::sleep_for(began + f.at - core::runtime_clock::now());
        ++under_way_;
        core::spawn(site_.executor(), carry_out(f));
    }
    while (under_way_ > 0) {
        co_await core::sleep_for(std::chrono::milliseconds(50));
    }
}

core::task<void> fault_injector::carry_out(planned_fault f)
{
    using k = fault_kind;
    if (f.kind <= k::gateway_cut_from_store) {
        co_await at_gateway(f);
    }
    else if (f.kind <= k::caller_link_silent) {
        co_await at_caller_link(f);
    }
    else if (f.kind <= k::agent_stopped) {
        co_await at_agent(f);
    }
    else if (f.kind <= k::endpoint_sends_garbage) {
        co_await at_endpoint_link(f);
    }
    else if (f.kind <= k::endpoint_drains) {
        co_await at_endpoint(f);
    }
    else if (f.kind <= k::orders_late) {
        co_await at_group(f);
    }
    else if (f.kind <= k::store_turns_one_away) {
        co_await at_store(f);
    }
    else {
        by_operator(f);
    }
    --under_way_;
}

core::task<void> fault_injector::at_gateway(planned_fault f)
{
    const std::size_t i = f.target % site_.gateways().size();
    soak_site::node& n = site_.gateways()[i];
    if (f.kind == fault_kind::gateway_stopped) {
        co_await stop_gateway(i);
        co_return;
    }
    if (f.kind == fault_kind::gateway_reloads) {
        n.process->signal(SIGHUP);
        co_return;
    }
    const disturbance_scope scope(site_.verdicts(), disturbed::gateway, i);
    if (f.kind == fault_kind::gateway_killed) {
        n.process->signal(SIGKILL);
        co_await core::sleep_for(f.lasts);
        site_.ensure_running(i);
    }
    else if (f.kind == fault_kind::gateway_paused) {
        n.process->signal(SIGSTOP);
        co_await core::sleep_for(f.lasts);
        n.process->signal(SIGCONT);
    }
    else {
        n.store_link->set({.cut_up = true, .cut_down = true});
        co_await core::sleep_for(f.lasts);
        n.store_link->set({});
    }
}

core::task<void> fault_injector::stop_gateway(std::size_t i)
{
    node_process& p = *site_.gateways()[i].process;
    const std::uint64_t life = p.starts();
    const core::time_point began = core::runtime_clock::now();
    p.signal(SIGTERM);
    const std::optional<int> code = co_await p.wait_for_end(bounds{}.stop);
    if (p.running() && p.starts() == life) {
        // As the platform does. Only a process that was held up meanwhile may take that long.
        if (!site_.verdicts().held_up(i, began, core::runtime_clock::now())) {
            findings_.push_back("stop-took-too-long process=" + p.name());
        }
        const disturbance_scope scope(site_.verdicts(), disturbed::gateway, i);
        p.signal(SIGKILL);
        co_await p.wait_for_end(bounds{}.stop);
    }
    else if (code && *code != 0) {
        findings_.push_back("stop-failed process=" + p.name() + " code=" + std::to_string(*code));
    }
    site_.ensure_running(i);
}

core::task<void> fault_injector::at_caller_link(planned_fault f)
{
    const std::size_t i = f.target % site_.gateways().size();
    fault_proxy& link = *site_.gateways()[i].caller_link;
    const disturbance_scope scope(site_.verdicts(), disturbed::gateway, i);
    if (f.kind == fault_kind::caller_link_reset) {
        link.reset_all();
    }
    else if (f.kind == fault_kind::caller_link_silent) {
        link.silence_all();
    }
    else {
        link.set({.delay = slow_link});
        co_await core::sleep_for(f.lasts);
        link.set({});
    }
}

core::task<void> fault_injector::at_agent(planned_fault f)
{
    node_process& p = *site_.agents()[f.target % site_.agents().size()].process;
    if (f.kind == fault_kind::agent_paused) {
        p.signal(SIGSTOP);
        co_await core::sleep_for(f.lasts);
        p.signal(SIGCONT);
        co_return;
    }
    p.signal(f.kind == fault_kind::agent_killed ? SIGKILL : SIGTERM);
    co_await core::sleep_for(f.lasts);
    if (p.running()) {
        p.signal(SIGKILL);
        p.signal(SIGCONT);
        co_await p.wait_for_end(bounds{}.stop);
    }
    if (!p.running()) {
        p.start();
    }
}

soak_site::endpoint& fault_injector::any_endpoint(std::uint32_t target)
{
    const std::size_t ranks = site_.ranks().size();
    const std::size_t i = target % (ranks + site_.plain().size());
    return i < ranks ? site_.ranks()[i] : site_.plain()[i - ranks];
}

soak_site::endpoint& fault_injector::plain_endpoint(std::uint32_t target)
{
    return site_.plain()[target % site_.plain().size()];
}

core::task<void> fault_injector::at_endpoint_link(planned_fault f)
{
    fault_proxy& link = *any_endpoint(f.target).link;
    const disturbance_scope scope(site_.verdicts(), disturbed::endpoints, 0);
    switch (f.kind) {
    case fault_kind::endpoint_link_reset:
        link.reset_all();
        co_return;
    case fault_kind::endpoint_link_silent:
        link.silence_all();
        co_return;
    case fault_kind::endpoint_sends_garbage:
        link.inject_all(garbage);
        co_return;
    case fault_kind::endpoint_link_slow:
        link.set({.delay = slow_link});
        break;
    case fault_kind::endpoint_link_cut_up:
        link.set({.cut_up = true});
        break;
    case fault_kind::endpoint_link_cut_down:
        link.set({.cut_down = true});
        break;
    default:
        link.set({.refuses = true});
        break;
    }
    co_await core::sleep_for(f.lasts);
    link.set({});
}

core::task<void> fault_injector::at_endpoint(planned_fault f)
{
    soak_site::endpoint& e = plain_endpoint(f.target);
    if (f.kind == fault_kind::endpoint_drains) {
        co_await drain(e);
        co_return;
    }
    const disturbance_scope scope(site_.verdicts(), disturbed::endpoints, 0);
    if (f.kind == fault_kind::endpoint_crashes) {
        co_await crash(e, f.lasts);
        co_return;
    }
    endpoint_faults& faults = any_endpoint(f.target).server->faults;
    faults.fails = f.kind == fault_kind::endpoint_fails;
    faults.loses_answers = f.kind == fault_kind::endpoint_loses_answers;
    faults.cuts_answers = f.kind == fault_kind::endpoint_cuts_answers;
    faults.full = f.kind == fault_kind::endpoint_full;
    faults.slowness = f.kind == fault_kind::endpoint_slow ? slow_endpoint : 1;
    co_await core::sleep_for(f.lasts);
    faults = {};
}

core::task<void> fault_injector::drain(soak_site::endpoint& e)
{
    const std::uint64_t life = e.lives;
    site_.register_endpoint(e, true);
    co_await core::sleep_for(leaves_after);
    // It may have crashed meanwhile.
    if (e.lives == life) {
        site_.renew(e);
    }
}

core::task<void> fault_injector::crash(soak_site::endpoint& e, std::chrono::milliseconds lasts)
{
    const std::uint64_t life = e.lives;
    e.link->set({.refuses = true});
    e.link->reset_all();
    co_await core::sleep_for(std::min(lasts, entry_lapses));
    if (e.lives == life) {
        site_.remove_entry(e);
    }
    co_await core::sleep_for(std::max(lasts - entry_lapses, std::chrono::milliseconds{}));
    e.link->set({});
    if (e.lives == life) {
        site_.renew(e);
    }
}

core::task<void> fault_injector::at_group(planned_fault f)
{
    const std::uint32_t rank = f.target % static_cast<std::uint32_t>(site_.ranks().size());
    soak_site::endpoint& e = site_.ranks()[rank];
    if (f.kind == fault_kind::orders_late) {
        e.engine->faults.order_delay = late_order;
        co_await core::sleep_for(f.lasts);
        e.engine->faults.order_delay = {};
        co_return;
    }
    const disturbance_scope scope(site_.verdicts(), disturbed::endpoints, 0);
    site_.group().crash(rank);
    e.link->reset_all();
    co_await core::sleep_for(f.lasts);
    site_.group().rebuild_group();
}

core::task<void> fault_injector::at_store(planned_fault f)
{
    if (f.kind == fault_kind::store_forgets) {
        site_.store().compact();
        co_return;
    }
    store_faults faults;
    faults.closes_connections = f.kind == fault_kind::store_away;
    faults.refuses =
        f.kind == fault_kind::store_refuses || f.kind == fault_kind::store_turns_one_away;
    faults.loses_answers = f.kind == fault_kind::store_loses_answers;
    faults.unresponsive = f.kind == fault_kind::store_deaf;
    faults.execution_delay = f.kind == fault_kind::store_acts_late ? f.lasts / 2 : f.lasts * 0;
    faults.delay = f.kind == fault_kind::store_slow ? slow_store : f.lasts * 0;
    const bool one = f.kind == fault_kind::store_turns_one_away;
    const std::size_t i = f.target % site_.gateways().size();
    const disturbance_scope scope(site_.verdicts(), one ? disturbed::gateway : disturbed::store,
                                  one ? i : 0);
    if (one) {
        site_.gateways()[i].store->faults = faults;
        co_await core::sleep_for(f.lasts);
        site_.gateways()[i].store->faults = {};
        co_return;
    }
    for (std::vector<soak_site::node>* list : {&site_.gateways(), &site_.agents()}) {
        for (soak_site::node& n : *list) {
            n.store->faults = faults;
        }
    }
    co_await core::sleep_for(f.lasts);
    for (std::vector<soak_site::node>* list : {&site_.gateways(), &site_.agents()}) {
        for (soak_site::node& n : *list) {
            n.store->faults = {};
        }
    }
}

void fault_injector::by_operator(planned_fault f)
{
    declared_configuration next = site_.world().declared;
    next.version += 1 + f.target % 5;
    if (f.kind == fault_kind::key_revoked) {
        declared_workspace& w = next.workspaces[f.target % next.workspaces.size()];
        site_.world().old_keys.push_back(w.keys.front());
        w.keys.erase(w.keys.begin());
        w.keys.push_back("key-" + w.name + "-new-" + std::to_string(++keys_made_));
        site_.declare(std::move(next));
        return;
    }
    const auto extra =
        std::find_if(next.routes.begin(), next.routes.end(),
                     [](const declared_route& r) { return r.path_prefix == "/extra/"; });
    const declared_route added{"/extra/", "archive", declared_route::kind::idempotent,
                               std::chrono::milliseconds(1500), 3};
    if (f.target % 2 == 0) {
        // The route that moves from one service to the other.
        std::string& service = next.routes[2].service;
        service = service == "desk" ? "archive" : "desk";
    }
    else if (extra == next.routes.end()) {
        next.routes.push_back(added);
        site_.world().old_routes.clear();
    }
    else {
        next.routes.erase(extra);
        site_.world().old_routes = {added};
    }
    site_.declare(std::move(next));
}

} // namespace currantpitch::soak
