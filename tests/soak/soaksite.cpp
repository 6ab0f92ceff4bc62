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

/// Blocks of loopback addresses.
enum block : unsigned { gateway_block = 1, rank_block, plain_block, store_block, caller_block };

constexpr std::uint64_t stream_events = 20;
constexpr unsigned slots = 10;
/// Time between two passes of the group, for copying experts, and until others are in demand.
constexpr std::chrono::milliseconds pass_time{15};
/// Tokens that a rank's requests bring to a layer in one pass.
constexpr std::uint64_t pass_tokens = 2000;
constexpr std::chrono::milliseconds copy_time{200};
constexpr std::chrono::milliseconds demand_time{4000};
/// Own delays beyond this count as a disturbance of every link.
constexpr std::chrono::milliseconds lag_limit{150};
/// First number of the agents' store listeners, after those of the gateways.
constexpr std::size_t agents_from = 100;

asio::ip::tcp::endpoint at(const std::string& ip, std::uint16_t port)
{
    return {asio::ip::make_address(ip), port};
}

std::string text(const std::string& ip, std::uint16_t port)
{
    return ip + ":" + std::to_string(port);
}

declared_configuration first_configuration(const rankcontrol::layout_shape& shape)
{
    using kind = declared_route::kind;
    constexpr std::chrono::milliseconds plain{1500};
    constexpr std::chrono::milliseconds stream{4000};
    declared_configuration c;
    c.version = 3;
    c.host = "site.example";
    c.routes = {{"/look/", "desk", kind::idempotent, plain, 3},
                {"/book/", "desk", kind::at_most_once, plain, 2},
                {"/move/", "desk", kind::idempotent, plain, 3},
                {"/talk/", "draft", kind::stream, stream, 3}};
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

soak_site::soak_site(const asio::any_io_executor& executor, site_options options, judge& verdicts)
    : executor_(executor), options_(std::move(options)), judge_(verdicts), random_(options_.seed),
      store_(executor), shape_{options_.ranks, 2, options_.ranks * 4, 6, 2}, group_(shape_)
{
    world_.stream_events = stream_events;
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

std::string soak_site::place(unsigned block, std::size_t number) const
{
    // Runs with different seeds keep to addresses of their own.
    return "127." + std::to_string(20 + options_.seed % 200) + "." + std::to_string(block) + "." +
           std::to_string(number + 1);
}

template <class Handler>
void soak_site::listen(const asio::ip::tcp::endpoint& where, Handler& handler)
{
    listeners_.push_back(std::make_unique<asio::ip::tcp::acceptor>(executor_));
    const core::result<void> open = wire::open_listener(*listeners_.back(), where);
    if (!open) {
        throw std::runtime_error("cannot listen: " + open.error().detail);
    }
    core::spawn(executor_, http::serve(*listeners_.back(), handler));
}

soak_site::node soak_site::make_node(const std::string& name, const std::string& settings,
                                     std::size_t store_number)
{
    node n;
    n.process = std::make_unique<node_process>(options_.program, options_.folder, name, settings);
    n.store = std::make_unique<standin_store_server>(store_);
    const std::string ip = place(store_block, store_number);
    listen(at(ip, store_port), *n.store);
    n.store_link = std::make_unique<fault_proxy>(executor_, at(ip, proxy_port), at(ip, store_port));
    core::spawn(executor_, n.store_link->run());
    return n;
}

void soak_site::build_gateway(std::size_t i)
{
    const std::string ip = place(gateway_block, i);
    const std::string domain = "fd-" + std::to_string(i % 3);
    const std::string store = text(place(store_block, i), proxy_port);
    const std::string name = "gateway-" + std::to_string(i);
    const std::string settings = common_settings("gateway", name, domain, store) +
                                 "listen: {callers: \"" + text(ip, caller_port) +
                                 "\", directory: \"" + text(ip, directory_port) +
                                 "\", readiness: \"" + text(ip, readiness_port) + "\", peers: \"" +
                                 text(ip, peer_port) + "\", metrics: \"" + text(ip, metrics_port) +
                                 "\"}\nrevocation_time: 5000ms\nretries: {ratio: 0.2, slack: " +
                                 std::to_string(bounds{}.retry_slack) + ", window: 10s}\n";
    node n = make_node(name, settings, i);
    const asio::ip::tcp::endpoint link = at(place(caller_block, i), proxy_port);
    n.caller_link = std::make_unique<fault_proxy>(executor_, link, at(ip, caller_port));
    core::spawn(executor_, n.caller_link->run());
    gateways_.push_back(std::move(n));
    world_.gateways.push_back({text(ip, caller_port), at(ip, directory_port), link, domain});
}

void soak_site::build_link(endpoint& e, unsigned block, std::size_t i)
{
    const std::string ip = place(block, i);
    listen(at(ip, endpoint_port), *e.server);
    e.link = std::make_unique<fault_proxy>(executor_, at(ip, proxy_port), at(ip, endpoint_port));
    core::spawn(executor_, e.link->run());
    e.address = text(ip, proxy_port);
    e.domain = "fd-" + std::to_string(i % 3);
}

void soak_site::build_rank(std::size_t i)
{
    const std::string ip = place(rank_block, i);
    endpoint e;
    e.engine = std::make_unique<standin_engine>(group_, shape_, static_cast<std::uint32_t>(i));
    endpoint_options o;
    o.endpoint = core::endpoint_id("rank-" + std::to_string(i));
    o.service = core::service_id("draft");
    o.slots = slots;
    o.events = stream_events;
    e.server = std::make_unique<standin_endpoint>(
        o, [this](const arrival& a) { judge_.on_arrival(a); }, e.engine.get());
    build_link(e, rank_block, i);
    ranks_.push_back(std::move(e));
    const std::string name = "agent-" + std::to_string(i);
    agents_.push_back(
        make_node(name,
                  common_settings("rank-agent", name, "fd-" + std::to_string(i % 3),
                                  text(place(store_block, agents_from + i), proxy_port)) +
                      "listen: {peers: \"" + text(ip, peer_port) + "\", metrics: \"" +
                      text(ip, metrics_port) + "\"}\nengine: {address: \"" +
                      text(ip, endpoint_port) + "\", service: draft}\n",
                  agents_from + i));
}

void soak_site::build_plain(std::size_t i)
{
    endpoint e;
    endpoint_options o;
    o.endpoint = core::endpoint_id("plain-" + std::to_string(i) + "-1");
    o.service = core::service_id(i % 3 == 2 ? "archive" : "desk");
    o.slots = slots;
    e.server =
        std::make_unique<standin_endpoint>(o, [this](const arrival& a) { judge_.on_arrival(a); });
    build_link(e, plain_block, i);
    plain_.push_back(std::move(e));
}

void soak_site::register_endpoint(const endpoint& e, bool draining)
{
    const endpoint_options& o = e.server->options();
    boost::json::value spec = boost::json::parse(encode_registration(
        o.service.str(), e.address, e.domain, o.slots, draining, o.incarnation));
    store_.put({std::string(platform::endpoint_kind), o.endpoint.str()}, std::move(spec));
    if (draining) {
        judge_.on_endpoint_leaving(o.endpoint, core::runtime_clock::now());
    }
}

void soak_site::remove_entry(const endpoint& e)
{
    const core::endpoint_id& name = e.server->options().endpoint;
    if (store_.contains({std::string(platform::endpoint_kind), name.str()})) {
        store_.remove({std::string(platform::endpoint_kind), name.str()});
        judge_.on_endpoint_leaving(name, core::runtime_clock::now());
    }
}

void soak_site::renew(endpoint& e)
{
    remove_entry(e);
    ++e.lives;
    const std::string& old = e.server->options().endpoint.str();
    e.server->restart(
        core::endpoint_id(old.substr(0, old.rfind('-') + 1) + std::to_string(e.lives)),
        core::incarnation{e.lives});
    register_endpoint(e, false);
}

void soak_site::declare(declared_configuration changed)
{
    store_.put(
        {std::string(platform::configuration_kind), std::string(platform::configuration_name)},
        boost::json::parse(encode_configuration(changed)));
    judge_.on_configuration(changed, core::runtime_clock::now());
    world_.declared = std::move(changed);
}

void soak_site::start()
{
    declare(first_configuration(shape_));
    for (std::vector<endpoint>* list : {&ranks_, &plain_}) {
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
    core::spawn(executor_, watch_own_lag());
}

void soak_site::start_callers()
{
    for (std::size_t i = 0; i < options_.callers; ++i) {
        callers_.push_back(std::make_unique<caller>(world_, judge_, i, random_()));
        ++callers_at_work_;
        core::spawn(executor_, [](soak_site& site, caller& c) -> core::task<void> {
            co_await c.run();
            --site.callers_at_work_;
        }(*this, *callers_.back()));
    }
}

core::task<std::vector<std::string>> soak_site::stop()
{
    world_.over = true;
    while (callers_at_work_ > 0) {
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
            const std::optional<int> code =
                co_await n.process->wait_for_end(bounds{}.stop + std::chrono::seconds(1));
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
        judge_.on_gateway_start(gateway);
    }
}

core::task<void> soak_site::run_group()
{
    core::time_point copied = core::runtime_clock::now();
    const core::time_point began = copied;
    while (true) {
        co_await core::sleep_for(pass_time);
        const core::time_point now = core::runtime_clock::now();
        if (!group_.begin_step()) {
            continue;
        }
        // A few experts get most of the tokens, others after a while.
        const std::uint64_t shift = static_cast<std::uint64_t>((now - began) / demand_time) * 7;
        for (endpoint& r : ranks_) {
            for (std::size_t layer = 0; layer < shape_.layers; ++layer) {
                const std::uint64_t drawn = random_() % 100;
                const std::uint64_t e = drawn < 60 ? drawn % 3 + shift : drawn;
                r.engine->count(layer, static_cast<rankcontrol::expert>(e % shape_.experts),
                                pass_tokens);
            }
        }
        if (now - copied >= copy_time) {
            copied = now;
            for (std::uint32_t rank = 0; rank < ranks_.size(); ++rank) {
                group_.finish_loading(rank);
            }
        }
    }
}

core::task<void> soak_site::watch_own_lag()
{
    constexpr std::chrono::milliseconds interval{10};
    while (true) {
        const core::time_point before = core::runtime_clock::now();
        co_await core::sleep_for(interval);
        const core::time_point now = core::runtime_clock::now();
        if (now - before > interval + lag_limit) {
            for (std::size_t i = 0; i < gateways_.size(); ++i) {
                judge_.on_disturbance(disturbed::gateway, i, before);
                judge_.on_calm(disturbed::gateway, i, now);
            }
        }
    }
}

} // namespace currantpitch::soak
