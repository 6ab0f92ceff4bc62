#include "soak/soaksite.h"

#include "core/timer.h"
#include "platform/sitecodec.h"
#include "wire/framedconnection.h"

#include <csignal>
#include <stdexcept>

namespace currantpitch::soak {

using namespace platform::standins;
namespace asio = core::asio;

namespace {

/// Third octet of the loopback addresses, by their use.
enum address_block : unsigned {
    gateway_block = 1,
    rank_block,
    plain_block,
    store_block,
    caller_block
};

constexpr unsigned failure_domains = 3;
constexpr std::uint64_t stream_events = 20;
constexpr unsigned slots = 10;
/// Time between two steps of the group.
constexpr std::chrono::milliseconds step_interval{15};
/// Tokens that a rank's requests add to a layer in one step.
constexpr std::uint64_t tokens_per_step = 2000;
/// Interval at which the ranks finish copying the experts of their load orders.
constexpr std::chrono::milliseconds expert_copy_time{200};
/// Part of prompts that crashes ranks, the time from the head of its answer to the crash, and the
/// time for which the rank is gone.
constexpr const char* crashing_part_id = "deadbeef";
/// Last segment of the targets that crash endpoints.
constexpr const char* crashing_target_end = "deadly";
constexpr std::chrono::milliseconds crash_delay{20};
constexpr std::chrono::milliseconds rank_restart_time{1500};
/// Interval at which other experts become the most requested ones.
constexpr std::chrono::milliseconds demand_shift_interval{4000};
/// Delays of this process beyond this limit count as a disturbance of every gateway.
constexpr std::chrono::milliseconds max_own_lag{150};
/// First number of the agents' store listeners. Those of the gateways have lower numbers.
constexpr std::size_t first_agent_store_number = 100;

asio::ip::tcp::endpoint tcp_endpoint(const std::string& ip, std::uint16_t port)
{
    return {asio::ip::make_address(ip), port};
}

std::string address_text(const std::string& ip, std::uint16_t port)
{
    return ip + ":" + std::to_string(port);
}

declared_configuration initial_configuration(const rankcontrol::layout_shape& shape)
{
    using kind = declared_route::kind;
    constexpr std::chrono::milliseconds plain_timeout{1500};
    constexpr std::chrono::milliseconds stream_timeout{4000};
    declared_configuration c;
    c.version = 3;
    c.host = "site.example";
    c.routes = {{"/look/", "desk", kind::idempotent, plain_timeout, 3},
                {"/book/", "desk", kind::at_most_once, plain_timeout, 2},
                {"/move/", "desk", kind::idempotent, plain_timeout, 3},
                {"/talk/", "draft", kind::stream, stream_timeout, 3}};
    c.workspaces = {{"alpha", {"key-alpha-1", "key-alpha-2"}}, {"beta", {"key-beta-1"}}};
    c.group_service = "draft";
    c.layers = static_cast<unsigned>(shape.layers);
    c.experts = static_cast<unsigned>(shape.experts);
    c.expert_slots_per_rank = static_cast<unsigned>(shape.expert_slots_per_rank);
    c.new_per_rank = static_cast<unsigned>(shape.new_per_rank);
    c.slots = slots;
    return c;
}

std::string common_settings(const std::string& role, const std::string& host,
                            const std::string& domain, const std::string& store)
{
    return "role: " + role + "\nhost: " + host + "\nfailure_domain: " + domain +
           "\nstore: " + store + "\nstop_timeout: 8s\n";
}

} // namespace

soak_site::soak_site(const asio::any_io_executor& executor, site_options options,
                     guarantee_checker& checker)
    : executor_(executor), options_(std::move(options)), checker_(checker), random_(options_.seed),
      store_(executor),
      evacuations_(store_, checker_.evacuations(), failure_domains, options_.seed),
      shape_{options_.ranks, 2, options_.ranks * 4, 6, 2}, group_(shape_)
{
    environment_.stream_events = stream_events;
    gateways_.reserve(options_.gateways);
    for (std::size_t i = 0; i < options_.gateways; ++i) {
        build_gateway(i);
    }
    for (std::size_t i = 0; i < options_.ranks; ++i) {
        build_rank(i);
    }
    for (std::size_t i = 0; i < options_.plain_endpoints; ++i) {
        build_plain(i);
    }
}

std::string soak_site::loopback_ip(unsigned block, std::size_t number) const
{
    // Gives runs with different seeds their own addresses, so that they can run at the same time.
    return "127." + std::to_string(20 + options_.seed % 200) + "." + std::to_string(block) + "." +
           std::to_string(number + 1);
}

template <class Handler>
void soak_site::listen(const asio::ip::tcp::endpoint& address, Handler& handler)
{
    listeners_.push_back(std::make_unique<asio::ip::tcp::acceptor>(executor_));
    const core::result<void> opened = wire::open_listener(*listeners_.back(), address);
    if (!opened) {
        throw std::runtime_error("cannot listen: " + opened.error().detail);
    }
    core::spawn(executor_, http::serve(*listeners_.back(), handler));
}

soak_site::node soak_site::make_node(const std::string& name, const std::string& settings,
                                     std::size_t store_number)
{
    node n;
    n.process = std::make_unique<node_process>(options_.program, options_.folder, name, settings);
    n.store = std::make_unique<standin_store_server>(store_);
    const std::string ip = loopback_ip(store_block, store_number);
    listen(tcp_endpoint(ip, store_port), *n.store);
    n.store_link = std::make_unique<fault_proxy>(executor_, tcp_endpoint(ip, proxy_port),
                                                 tcp_endpoint(ip, store_port));
    core::spawn(executor_, n.store_link->run());
    return n;
}

void soak_site::build_gateway(std::size_t i)
{
    const std::string ip = loopback_ip(gateway_block, i);
    const std::string domain = "fd-" + std::to_string(i % failure_domains);
    const std::string store = address_text(loopback_ip(store_block, i), proxy_port);
    const std::string name = "gateway-" + std::to_string(i);
    const std::string settings =
        common_settings("gateway", name, domain, store) + "listen: {callers: \"" +
        address_text(ip, caller_port) + "\", directory: \"" + address_text(ip, directory_port) +
        "\", readiness: \"" + address_text(ip, readiness_port) + "\", peers: \"" +
        address_text(ip, peer_port) + "\", metrics: \"" + address_text(ip, metrics_port) +
        "\"}\nrevocation_time: 5000ms\nretries: {ratio: 0.2, slack: " +
        std::to_string(guarantee_limits{}.retry_slack) + ", window: 10s}\n" +
        (options_.uneven_endpoints ? "learn_capacity: true\n" : "") +
        (options_.evacuation
             ? "evacuation_time: " + std::to_string(guarantee_limits{}.evacuate.count()) + "ms\n"
             : "") +
        (options_.cold_endpoints
             ? "cold_start: {overshoot: " + std::to_string(guarantee_limits{}.cold_overshoot) +
                   ", tolerance: " + std::to_string(guarantee_limits{}.cold_tolerance) + "}\n"
             : "");
    node n = make_node(name, settings, i);
    const asio::ip::tcp::endpoint link = tcp_endpoint(loopback_ip(caller_block, i), proxy_port);
    n.caller_link = std::make_unique<fault_proxy>(executor_, link, tcp_endpoint(ip, caller_port));
    core::spawn(executor_, n.caller_link->run());
    gateways_.push_back(std::move(n));
    environment_.gateways.push_back(
        {address_text(ip, caller_port), tcp_endpoint(ip, directory_port), link, domain});
}

void soak_site::build_link(endpoint& e, unsigned block, std::size_t i)
{
    const std::string ip = loopback_ip(block, i);
    listen(tcp_endpoint(ip, endpoint_port), *e.server);
    e.link = std::make_unique<fault_proxy>(executor_, tcp_endpoint(ip, proxy_port),
                                           tcp_endpoint(ip, endpoint_port));
    core::spawn(executor_, e.link->run());
    e.address = address_text(ip, proxy_port);
    e.domain = "fd-" + std::to_string(i % failure_domains);
}

void soak_site::build_rank(std::size_t i)
{
    const std::string ip = loopback_ip(rank_block, i);
    endpoint e;
    e.engine = std::make_unique<standin_engine>(group_, shape_, static_cast<std::uint32_t>(i));
    endpoint_options o;
    o.endpoint = core::endpoint_id("rank-" + std::to_string(i));
    o.service = core::service_id("draft");
    o.slots = slots;
    o.events = stream_events;
    e.server = std::make_unique<standin_endpoint>(
        o, [this](const arrival& a) { checker_.on_arrival(a); }, e.engine.get());
    e.server->crashed_by =
        make_trigger([this, i](const arrival& a) { core::spawn(executor_, crash_rank(i, a)); });
    build_link(e, rank_block, i);
    ranks_.push_back(std::move(e));
    const std::string name = "agent-" + std::to_string(i);
    agents_.push_back(make_node(
        name,
        common_settings(
            "rank-agent", name, "fd-" + std::to_string(i % failure_domains),
            address_text(loopback_ip(store_block, first_agent_store_number + i), proxy_port)) +
            "listen: {peers: \"" + address_text(ip, peer_port) + "\", metrics: \"" +
            address_text(ip, metrics_port) + "\"}\nengine: {address: \"" +
            address_text(ip, endpoint_port) + "\", service: draft}\n",
        first_agent_store_number + i));
}

crash_trigger soak_site::make_trigger(std::function<void(const arrival&)> crash) const
{
    return {options_.crashing_part ? crashing_part_id : "",
            options_.crashing_request ? crashing_target_end : "", std::move(crash)};
}

void soak_site::record_crash(const arrival& a)
{
    const core::time_point now = core::runtime_clock::now();
    if (a.crashed_by == arrival::crash_cause::part) {
        checker_.on_part_crash(now);
    }
    else {
        checker_.on_request_crash(a.target, now);
    }
}

core::task<void> soak_site::crash_rank(std::size_t i, arrival a)
{
    endpoint& e = ranks_[i];
    if (e.crashed) {
        co_return;
    }
    e.crashed = true;
    co_await core::sleep_for(crash_delay);
    record_crash(a);
    checker_.on_disturbance_start(disturbance_target::endpoints, 0, core::runtime_clock::now());
    group_.crash(static_cast<std::uint32_t>(i));
    e.link->set_faults({.gone = true});
    e.link->reset_all();
    co_await core::sleep_for(rank_restart_time);
    e.link->set_faults({});
    e.crashed = false;
    ++e.incarnation;
    e.server->restart(e.server->options().endpoint, core::incarnation{e.incarnation});
    register_endpoint(e, false);
    group_.rebuild_group();
    checker_.on_disturbance_end(disturbance_target::endpoints, 0, core::runtime_clock::now());
}

core::task<void> soak_site::crash_plain(std::size_t i, arrival a)
{
    endpoint& e = plain_endpoints_[i];
    const std::uint64_t incarnation = e.incarnation;
    if (e.crashed) {
        co_return;
    }
    e.crashed = true;
    co_await core::sleep_for(crash_delay);
    record_crash(a);
    checker_.on_disturbance_start(disturbance_target::endpoints, 0, core::runtime_clock::now());
    e.link->set_faults({.gone = true});
    e.link->reset_all();
    co_await core::sleep_for(rank_restart_time);
    e.link->set_faults({});
    e.crashed = false;
    // A fault may have restarted it meanwhile.
    if (e.incarnation == incarnation) {
        restart_endpoint(e);
    }
    checker_.on_disturbance_end(disturbance_target::endpoints, 0, core::runtime_clock::now());
}

void soak_site::build_plain(std::size_t i)
{
    endpoint e;
    endpoint_options o;
    o.endpoint = core::endpoint_id("plain-" + std::to_string(i) + "-1");
    o.service = core::service_id(i % 3 == 2 ? "archive" : "desk");
    o.slots = slots;
    e.server =
        std::make_unique<standin_endpoint>(o, [this](const arrival& a) { checker_.on_arrival(a); });
    e.server->crashed_by =
        make_trigger([this, i](const arrival& a) { core::spawn(executor_, crash_plain(i, a)); });
    build_link(e, plain_block, i);
    plain_endpoints_.push_back(std::move(e));
}

void soak_site::register_endpoint(const endpoint& e, bool draining)
{
    const endpoint_options& o = e.server->options();
    const std::chrono::milliseconds cold_left = std::max(
        std::chrono::ceil<std::chrono::milliseconds>(e.cold_until - core::runtime_clock::now()),
        std::chrono::milliseconds(0));
    boost::json::value spec = boost::json::parse(encode_registration(
        o.service.str(), e.address, e.domain, o.slots, draining, o.incarnation, cold_left));
    registrations_[o.endpoint.str()] = spec;
    checker_.evacuations().on_endpoint(o.endpoint, e.domain);
    store_.put({std::string(platform::endpoint_kind), o.endpoint.str()}, std::move(spec));
    if (draining) {
        checker_.on_endpoint_leaving(o.endpoint, core::runtime_clock::now());
    }
}

void soak_site::deregister_endpoint(const endpoint& e)
{
    const core::endpoint_id& id = e.server->options().endpoint;
    registrations_.erase(id.str());
    if (store_.contains({std::string(platform::endpoint_kind), id.str()})) {
        store_.remove({std::string(platform::endpoint_kind), id.str()});
        checker_.on_endpoint_leaving(id, core::runtime_clock::now());
    }
}

void soak_site::restart_endpoint(endpoint& e)
{
    deregister_endpoint(e);
    ++e.incarnation;
    const std::string& old_name = e.server->options().endpoint.str();
    e.server->restart(core::endpoint_id(old_name.substr(0, old_name.rfind('-') + 1) +
                                        std::to_string(e.incarnation)),
                      core::incarnation{e.incarnation});
    if (options_.cold_endpoints) {
        e.cold_until = core::runtime_clock::now() + cold_time;
        checker_.on_endpoint_cold(e.server->options().endpoint, cold_per_second,
                                  core::runtime_clock::now(), e.cold_until);
        core::spawn(executor_, stay_cold(e));
    }
    register_endpoint(e, false);
}

void soak_site::publish_configuration(declared_configuration changed)
{
    store_.put(
        {std::string(platform::configuration_kind), std::string(platform::configuration_name)},
        boost::json::parse(encode_configuration(changed)));
    checker_.on_configuration(changed, core::runtime_clock::now());
    environment_.declared = std::move(changed);
}

void soak_site::publish_again()
{
    store_.put(
        {std::string(platform::configuration_kind), std::string(platform::configuration_name)},
        boost::json::parse(encode_configuration(environment_.declared)));
    const std::string kind(platform::endpoint_kind);
    for (const std::string& name : store_.names(kind)) {
        if (!registrations_.contains(name)) {
            store_.remove({kind, name});
        }
    }
    for (const std::pair<const std::string, boost::json::value>& entry : registrations_) {
        store_.put({kind, entry.first}, entry.second);
    }
    evacuations_.publish_again();
}

void soak_site::start()
{
    declared_configuration initial = initial_configuration(shape_);
    initial.cold_per_second = options_.cold_endpoints ? cold_per_second : 0;
    publish_configuration(std::move(initial));
    for (std::vector<endpoint>* list : {&ranks_, &plain_endpoints_}) {
        for (const endpoint& e : *list) {
            register_endpoint(e, false);
        }
    }
    for (std::vector<node>* list : {&gateways_, &agents_}) {
        for (node& n : *list) {
            n.process->start();
        }
    }
    core::spawn(executor_, run_group());
    core::spawn(executor_, monitor_own_lag());
}

void soak_site::start_callers()
{
    if (options_.cold_endpoints) {
        core::spawn(executor_, restart_endpoints());
    }
    environment_.crashing_part = options_.crashing_part ? crashing_part_id : "";
    environment_.crashing_target_end = options_.crashing_request ? crashing_target_end : "";
    if (options_.evacuation) {
        core::spawn(executor_, evacuations_.run());
    }
    for (std::size_t i = 0; i < options_.callers; ++i) {
        callers_.push_back(std::make_unique<caller>(environment_, checker_, i, random_()));
        ++running_callers_;
        core::spawn(executor_, [](soak_site& site, caller& c) -> core::task<void> {
            co_await c.run();
            --site.running_callers_;
        }(*this, *callers_.back()));
    }
}

core::task<std::vector<std::string>> soak_site::stop()
{
    environment_.stopping = true;
    while (running_callers_ > 0) {
        co_await core::sleep_for(std::chrono::milliseconds(50));
    }
    for (std::vector<node>* list : {&gateways_, &agents_}) {
        for (node& n : *list) {
            n.process->signal(SIGTERM);
        }
    }
    std::vector<std::string> findings;
    for (std::vector<node>* list : {&gateways_, &agents_}) {
        for (node& n : *list) {
            const std::optional<int> code = co_await n.process->wait_for_exit(
                guarantee_limits{}.stop + std::chrono::seconds(1));
            if (code != 0) {
                findings.push_back("stop process=" + n.process->name() +
                                   " code=" + (code ? std::to_string(*code) : "none"));
            }
        }
    }
    co_return findings;
}

void soak_site::ensure_running(std::size_t gateway)
{
    if (!gateways_[gateway].process->running()) {
        gateways_[gateway].process->start();
        checker_.on_gateway_start(gateway);
    }
}

core::task<void> soak_site::run_group()
{
    core::time_point last_copy = core::runtime_clock::now();
    const core::time_point started_at = last_copy;
    while (true) {
        co_await core::sleep_for(step_interval);
        const core::time_point now = core::runtime_clock::now();
        if (!group_.begin_step()) {
            continue;
        }
        // A few experts get most of the tokens. The set of these experts shifts over time.
        const std::uint64_t shift =
            static_cast<std::uint64_t>((now - started_at) / demand_shift_interval) * 7;
        for (endpoint& r : ranks_) {
            for (std::size_t layer = 0; layer < shape_.layers; ++layer) {
                const std::uint64_t sample = random_() % 100;
                const std::uint64_t expert = sample < 60 ? sample % 3 + shift : sample;
                r.engine->count(layer, static_cast<rankcontrol::expert>(expert % shape_.experts),
                                tokens_per_step);
            }
        }
        if (now - last_copy >= expert_copy_time) {
            last_copy = now;
            for (std::uint32_t rank = 0; rank < ranks_.size(); ++rank) {
                group_.finish_loading(rank);
            }
        }
    }
}

core::task<void> soak_site::monitor_own_lag()
{
    constexpr std::chrono::milliseconds interval{10};
    while (true) {
        const core::time_point before = core::runtime_clock::now();
        co_await core::sleep_for(interval);
        const core::time_point now = core::runtime_clock::now();
        if (now - before > interval + max_own_lag) {
            for (std::size_t i = 0; i < gateways_.size(); ++i) {
                checker_.on_disturbance_start(disturbance_target::gateway, i, before);
                checker_.on_disturbance_end(disturbance_target::gateway, i, now);
            }
        }
    }
}

} // namespace currantpitch::soak
