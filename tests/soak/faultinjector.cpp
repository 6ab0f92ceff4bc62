#include "soak/faultinjector.h"

#include "core/timer.h"

#include <array>
#include <csignal>

namespace currantpitch::soak {

using namespace platform::standins;

namespace {

/// Time after which the store removes the registration of an endpoint that no longer reports.
/// Equals three reporting intervals.
constexpr std::chrono::milliseconds registration_expiry_time{3000};
/// Time for which an endpoint keeps serving after it announced that it leaves.
constexpr std::chrono::milliseconds drain_time{3000};
constexpr std::chrono::milliseconds slow_link_delay{150};
constexpr std::chrono::milliseconds slow_store_delay{400};
constexpr std::chrono::milliseconds late_order_delay{1200};
constexpr unsigned slow_endpoint_factor = 8;
/// The same for endpoints that are slow and fast by turns, and the time of a turn.
constexpr unsigned uneven_endpoint_factor = 6;
constexpr std::chrono::milliseconds uneven_turn{5000};
constexpr std::size_t uneven_groups = 3;
/// Time for which the store is away before it comes back from a copy, and after which the lost
/// objects are written again.
constexpr std::chrono::milliseconds store_away_time{700};
constexpr std::chrono::milliseconds rewrite_delay{500};
/// Time for which endpoints want no requests.
constexpr std::chrono::milliseconds quiet_time{1500};
/// Requests per second that endpoints say they accept.
constexpr std::array<double, 4> request_limits{0.5, 1.0, 2.0, 5.0};
constexpr const char* unsolicited_response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nspam";

/// Reports a disturbance to the checker for the lifetime of the scope.
class disturbance_scope {
public:
    disturbance_scope(guarantee_checker& checker, disturbance_target target, std::size_t index)
        : checker_(checker), target_(target), index_(index)
    {
        checker_.on_disturbance_start(target_, index_, core::runtime_clock::now());
    }
    disturbance_scope(const disturbance_scope&) = delete;
    disturbance_scope& operator=(const disturbance_scope&) = delete;
    ~disturbance_scope()
    {
        checker_.on_disturbance_end(target_, index_, core::runtime_clock::now());
    }

private:
    guarantee_checker& checker_;
    disturbance_target target_;
    std::size_t index_;
};

} // namespace

core::task<void> fault_injector::run(std::vector<planned_fault> script)
{
    const core::time_point started_at = core::runtime_clock::now();
    for (const planned_fault& f : script) {
        co_await core::sleep_for(started_at + f.at - core::runtime_clock::now());
        ++active_faults_;
        core::spawn(site_.executor(), inject(f));
    }
    while (active_faults_ > 0) {
        co_await core::sleep_for(std::chrono::milliseconds(50));
    }
}

core::task<void> fault_injector::inject(planned_fault f)
{
    using kind = fault_kind;
    if (f.kind <= kind::gateway_cut_from_store) {
        co_await inject_gateway_fault(f);
    }
    else if (f.kind <= kind::caller_link_silent) {
        co_await inject_caller_link_fault(f);
    }
    else if (f.kind <= kind::agent_stopped) {
        co_await inject_agent_fault(f);
    }
    else if (f.kind <= kind::endpoint_sends_garbage) {
        co_await inject_endpoint_link_fault(f);
    }
    else if (f.kind <= kind::endpoint_drains) {
        co_await inject_endpoint_fault(f);
    }
    else if (f.kind <= kind::orders_late) {
        co_await inject_group_fault(f);
    }
    else if (f.kind <= kind::store_turns_one_away) {
        co_await inject_store_fault(f);
    }
    else if (f.kind == kind::endpoint_limited) {
        co_await limit_endpoint(f);
    }
    else if (f.kind == kind::endpoint_says_it_leaves) {
        co_await let_endpoint_leave(f);
    }
    else if (f.kind == kind::endpoint_wants_quiet) {
        const disturbance_scope scope(site_.checker(), disturbance_target::endpoints, 0);
        endpoint_faults& faults = pick_endpoint(f.target).server->faults;
        faults.quiet_time = quiet_time;
        co_await core::sleep_for(f.duration);
        faults.quiet_time = {};
    }
    else if (f.kind == kind::endpoint_sends_without_end) {
        co_await send_without_end(f);
    }
    else if (f.kind == kind::store_restored) {
        co_await restore_store(f);
    }
    else {
        change_configuration(f);
    }
    --active_faults_;
}

core::task<void> fault_injector::inject_gateway_fault(planned_fault f)
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
    const disturbance_scope scope(site_.checker(), disturbance_target::gateway, i);
    if (f.kind == fault_kind::gateway_killed) {
        n.process->signal(SIGKILL);
        co_await core::sleep_for(f.duration);
        // On a host that stands still, a killed process may exist for longer than the fault lasts.
        co_await n.process->wait_for_exit(guarantee_limits{}.stop);
        site_.ensure_running(i);
    }
    else if (f.kind == fault_kind::gateway_paused) {
        n.process->signal(SIGSTOP);
        co_await core::sleep_for(f.duration);
        n.process->signal(SIGCONT);
    }
    else {
        n.store_link->set_faults({.cut_up = true, .cut_down = true});
        co_await core::sleep_for(f.duration);
        n.store_link->set_faults({});
    }
}

core::task<void> fault_injector::stop_gateway(std::size_t i)
{
    node_process& process = *site_.gateways()[i].process;
    const std::uint64_t start_count = process.start_count();
    const core::time_point started_at = core::runtime_clock::now();
    process.signal(SIGTERM);
    const std::optional<int> code = co_await process.wait_for_exit(guarantee_limits{}.stop);
    if (process.running() && process.start_count() == start_count) {
        // The platform also kills a process that exceeds the stop timeout. Only a process that was
        // disturbed in the meantime may take that long.
        if (!site_.checker().was_disturbed(i, started_at, core::runtime_clock::now())) {
            findings_.push_back("stop-took-too-long process=" + process.name());
        }
        const disturbance_scope scope(site_.checker(), disturbance_target::gateway, i);
        process.signal(SIGKILL);
        co_await process.wait_for_exit(guarantee_limits{}.stop);
    }
    else if (code && *code != 0) {
        findings_.push_back("stop-failed process=" + process.name() +
                            " code=" + std::to_string(*code));
    }
    site_.ensure_running(i);
}

core::task<void> fault_injector::inject_caller_link_fault(planned_fault f)
{
    const std::size_t i = f.target % site_.gateways().size();
    fault_proxy& link = *site_.gateways()[i].caller_link;
    const disturbance_scope scope(site_.checker(), disturbance_target::gateway, i);
    if (f.kind == fault_kind::caller_link_reset) {
        link.reset_all();
    }
    else if (f.kind == fault_kind::caller_link_silent) {
        link.silence_all();
    }
    else {
        link.set_faults({.delay = slow_link_delay});
        co_await core::sleep_for(f.duration);
        link.set_faults({});
    }
}

core::task<void> fault_injector::inject_agent_fault(planned_fault f)
{
    node_process& process = *site_.agents()[f.target % site_.agents().size()].process;
    if (f.kind == fault_kind::agent_paused) {
        process.signal(SIGSTOP);
        co_await core::sleep_for(f.duration);
        process.signal(SIGCONT);
        co_return;
    }
    process.signal(f.kind == fault_kind::agent_killed ? SIGKILL : SIGTERM);
    co_await core::sleep_for(f.duration);
    if (process.running()) {
        process.signal(SIGKILL);
        process.signal(SIGCONT);
        co_await process.wait_for_exit(guarantee_limits{}.stop);
    }
    if (!process.running()) {
        process.start();
    }
}

soak_site::endpoint& fault_injector::pick_endpoint(std::uint32_t target)
{
    const std::size_t ranks = site_.ranks().size();
    const std::size_t i = target % (ranks + site_.plain_endpoints().size());
    return i < ranks ? site_.ranks()[i] : site_.plain_endpoints()[i - ranks];
}

soak_site::endpoint& fault_injector::pick_plain_endpoint(std::uint32_t target)
{
    return site_.plain_endpoints()[target % site_.plain_endpoints().size()];
}

core::task<void> fault_injector::inject_endpoint_link_fault(planned_fault f)
{
    fault_proxy& link = *pick_endpoint(f.target).link;
    const disturbance_scope scope(site_.checker(), disturbance_target::endpoints, 0);
    switch (f.kind) {
    case fault_kind::endpoint_link_reset:
        link.reset_all();
        co_return;
    case fault_kind::endpoint_link_silent:
        link.silence_all();
        co_return;
    case fault_kind::endpoint_sends_garbage:
        link.inject_all(unsolicited_response);
        co_return;
    case fault_kind::endpoint_link_slow:
        link.set_faults({.delay = slow_link_delay});
        break;
    case fault_kind::endpoint_link_cut_up:
        link.set_faults({.cut_up = true});
        break;
    case fault_kind::endpoint_link_cut_down:
        link.set_faults({.cut_down = true});
        break;
    default:
        link.set_faults({.refuses = true});
        break;
    }
    co_await core::sleep_for(f.duration);
    link.set_faults({});
}

core::task<void> fault_injector::inject_endpoint_fault(planned_fault f)
{
    soak_site::endpoint& e = pick_plain_endpoint(f.target);
    if (f.kind == fault_kind::endpoint_drains) {
        co_await drain_endpoint(e);
        co_return;
    }
    const disturbance_scope scope(site_.checker(), disturbance_target::endpoints, 0);
    if (f.kind == fault_kind::endpoint_crashes) {
        co_await crash_endpoint(e, f.duration);
        co_return;
    }
    endpoint_faults& faults = pick_endpoint(f.target).server->faults;
    faults.fails = f.kind == fault_kind::endpoint_fails;
    faults.loses_answers = f.kind == fault_kind::endpoint_loses_answers;
    faults.cuts_answers = f.kind == fault_kind::endpoint_cuts_answers;
    faults.full = f.kind == fault_kind::endpoint_full;
    faults.slowness = f.kind == fault_kind::endpoint_slow ? slow_endpoint_factor : 1;
    co_await core::sleep_for(f.duration);
    // What the endpoint says of itself ends with its own fault.
    endpoint_faults kept;
    kept.request_limit = faults.request_limit;
    kept.leaving = faults.leaving;
    kept.quiet_time = faults.quiet_time;
    kept.sends_without_end = faults.sends_without_end;
    faults = kept;
}

core::task<void> fault_injector::vary_endpoint_speeds(std::chrono::milliseconds length)
{
    const core::time_point end = core::runtime_clock::now() + length;
    std::vector<soak_site::endpoint>& endpoints = site_.plain_endpoints();
    for (std::size_t turn = 0; core::runtime_clock::now() < end; ++turn) {
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            const bool slow = i % uneven_groups == turn % uneven_groups;
            endpoints[i].server->faults.slowness = slow ? uneven_endpoint_factor : 1;
        }
        co_await core::sleep_for(
            std::min<core::duration>(uneven_turn, end - core::runtime_clock::now()));
    }
    for (soak_site::endpoint& e : endpoints) {
        e.server->faults.slowness = 1;
    }
}

core::task<void> fault_injector::limit_endpoint(planned_fault f)
{
    soak_site::endpoint& e = pick_endpoint(f.target);
    const std::uint64_t incarnation = e.incarnation;
    const core::endpoint_id endpoint = e.server->options().endpoint;
    const double per_second = request_limits[f.target % request_limits.size()];
    site_.checker().on_endpoint_limit(endpoint, per_second, core::runtime_clock::now());
    e.server->faults.request_limit = per_second;
    co_await core::sleep_for(f.duration);
    site_.checker().on_endpoint_limit_end(endpoint);
    if (e.incarnation == incarnation) {
        e.server->faults.request_limit = std::nullopt;
    }
}

core::task<void> fault_injector::let_endpoint_leave(planned_fault f)
{
    // The store still says that it is ready.
    soak_site::endpoint& e = pick_plain_endpoint(f.target);
    const std::uint64_t incarnation = e.incarnation;
    site_.checker().on_endpoint_word_of_leaving(e.server->options().endpoint,
                                                core::runtime_clock::now());
    e.server->faults.leaving = true;
    co_await core::sleep_for(f.duration);
    if (e.incarnation == incarnation) {
        site_.restart_endpoint(e);
    }
}

core::task<void> fault_injector::send_without_end(planned_fault f)
{
    const disturbance_scope scope(site_.checker(), disturbance_target::endpoints, 0);
    soak_site::endpoint& e = pick_endpoint(f.target);
    e.server->faults.sends_without_end = true;
    co_await core::sleep_for(f.duration);
    e.server->faults.sends_without_end = false;
    for (soak_site::node& gateway : site_.gateways()) {
        const std::size_t bytes = gateway.process->peak_memory_bytes();
        peak_gateway_memory_ = std::max(peak_gateway_memory_, bytes);
        if (bytes > max_gateway_memory_bytes) {
            findings_.push_back("memory process=" + gateway.process->name() +
                                " bytes=" + std::to_string(bytes));
        }
    }
}

core::task<void> fault_injector::drain_endpoint(soak_site::endpoint& e)
{
    const std::uint64_t incarnation = e.incarnation;
    site_.register_endpoint(e, true);
    co_await core::sleep_for(drain_time);
    // The endpoint may have crashed and restarted in the meantime.
    if (e.incarnation == incarnation) {
        site_.restart_endpoint(e);
    }
}

core::task<void> fault_injector::crash_endpoint(soak_site::endpoint& e,
                                                std::chrono::milliseconds duration)
{
    const std::uint64_t incarnation = e.incarnation;
    e.link->set_faults({.refuses = true});
    e.link->reset_all();
    co_await core::sleep_for(std::min(duration, registration_expiry_time));
    if (e.incarnation == incarnation) {
        site_.deregister_endpoint(e);
    }
    co_await core::sleep_for(
        std::max(duration - registration_expiry_time, std::chrono::milliseconds{}));
    e.link->set_faults({});
    if (e.incarnation == incarnation) {
        site_.restart_endpoint(e);
    }
}

core::task<void> fault_injector::inject_group_fault(planned_fault f)
{
    const std::uint32_t rank = f.target % static_cast<std::uint32_t>(site_.ranks().size());
    soak_site::endpoint& e = site_.ranks()[rank];
    if (f.kind == fault_kind::orders_late) {
        e.engine->faults.order_delay = late_order_delay;
        co_await core::sleep_for(f.duration);
        e.engine->faults.order_delay = {};
        co_return;
    }
    const disturbance_scope scope(site_.checker(), disturbance_target::endpoints, 0);
    site_.group().crash(rank);
    e.link->reset_all();
    co_await core::sleep_for(f.duration);
    site_.group().rebuild_group();
}

core::task<void> fault_injector::inject_store_fault(planned_fault f)
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
    faults.execution_delay =
        f.kind == fault_kind::store_acts_late ? f.duration / 2 : f.duration * 0;
    faults.delay = f.kind == fault_kind::store_slow ? slow_store_delay : f.duration * 0;
    const bool one_gateway = f.kind == fault_kind::store_turns_one_away;
    const std::size_t i = f.target % site_.gateways().size();
    const disturbance_scope scope(
        site_.checker(), one_gateway ? disturbance_target::gateway : disturbance_target::store,
        one_gateway ? i : 0);
    if (one_gateway) {
        site_.gateways()[i].store->faults = faults;
        co_await core::sleep_for(f.duration);
        site_.gateways()[i].store->faults = {};
        co_return;
    }
    for (std::vector<soak_site::node>* list : {&site_.gateways(), &site_.agents()}) {
        for (soak_site::node& n : *list) {
            n.store->faults = faults;
        }
    }
    co_await core::sleep_for(f.duration);
    for (std::vector<soak_site::node>* list : {&site_.gateways(), &site_.agents()}) {
        for (soak_site::node& n : *list) {
            n.store->faults = {};
        }
    }
}

core::task<void> fault_injector::restore_store(planned_fault f)
{
    // A second restore begins when the first one has ended.
    if (restoring_) {
        co_return;
    }
    restoring_ = true;
    site_.store().copy();
    co_await core::sleep_for(f.duration / 2);
    const disturbance_scope scope(site_.checker(), disturbance_target::store, 0);
    std::vector<soak_site::node*> nodes;
    for (std::vector<soak_site::node>* list : {&site_.gateways(), &site_.agents()}) {
        for (soak_site::node& n : *list) {
            nodes.push_back(&n);
        }
    }
    for (soak_site::node* const n : nodes) {
        n->store->faults.closes_connections = true;
    }
    co_await core::sleep_for(store_away_time);
    site_.store().restore();
    for (soak_site::node* const n : nodes) {
        n->store->faults.closes_connections = false;
    }
    // The operator and the endpoints write again what they wrote.
    co_await core::sleep_for(rewrite_delay);
    site_.publish_again();
    restoring_ = false;
}

void fault_injector::change_configuration(planned_fault f)
{
    declared_configuration changed = site_.environment().declared;
    changed.version += 1 + f.target % 5;
    if (f.kind == fault_kind::key_revoked) {
        declared_workspace& w = changed.workspaces[f.target % changed.workspaces.size()];
        site_.environment().revoked_keys.push_back(w.keys.front());
        w.keys.erase(w.keys.begin());
        w.keys.push_back("key-" + w.name + "-new-" + std::to_string(++new_key_count_));
        site_.publish_configuration(std::move(changed));
        return;
    }
    const auto extra_route =
        std::find_if(changed.routes.begin(), changed.routes.end(),
                     [](const declared_route& r) { return r.path_prefix == "/extra/"; });
    const declared_route new_route{"/extra/", "archive", declared_route::kind::idempotent,
                                   std::chrono::milliseconds(1500), 3};
    if (f.target % 2 == 0) {
        // Moves the route "/move/" from one service to the other.
        std::string& service = changed.routes[2].service;
        service = service == "desk" ? "archive" : "desk";
    }
    else if (extra_route == changed.routes.end()) {
        changed.routes.push_back(new_route);
        site_.environment().removed_routes.clear();
    }
    else {
        changed.routes.erase(extra_route);
        site_.environment().removed_routes = {new_route};
    }
    site_.publish_configuration(std::move(changed));
}

} // namespace currantpitch::soak
