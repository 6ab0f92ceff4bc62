#pragma once

#include "agent/agentnode.h"
#include "endpoints/httpservice.h"
#include "entry/entrynode.h"
#include "fakes/enginegroup.h"
#include "fakes/plainservice.h"
#include "fakes/platformserver.h"
#include "http/clientconnection.h"

#include <boost/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace currantpitch::testing {

/// A whole installation on loopback within one thread: a platform, a model group with an agent for
/// each rank, a plain service with its agent, and entries.
class local_site {
public:
    using engine_agent = agent::agent_node<endpoints::http_engine>;
    using service_agent = agent::agent_node<endpoints::http_service>;

    explicit local_site(std::size_t entry_count = 2, std::size_t ranks = 3)
        : group(executor(), fakes::engine_group_options{.ranks = ranks,
                                                        .step_time = std::chrono::milliseconds(2)}),
          platform_server_(store)
    {
        platform_port_ = listen_with(platform_server_);
        core::spawn(executor(), group.run_steps());
        for (std::size_t i = 0; i < ranks; ++i) {
            rank_handlers_.push_back(std::make_unique<rank_handler>(rank_handler{&group, i}));
            const std::uint16_t port = listen_with(*rank_handlers_.back());
            settings::daemon_settings s = agent_settings("agent-" + std::to_string(i), port);
            s.endpoint_name = core::endpoint_id("rank-" + std::to_string(i));
            engine_agents.push_back(std::make_unique<engine_agent>(executor(), s, 100 + i));
            core::spawn_then(executor(), engine_agents.back()->run(), [](core::result<void>) {});
        }
        const std::uint16_t service_port = listen_with(service);
        settings::daemon_settings s = agent_settings("agent-service", service_port);
        s.endpoint = settings::endpoint_type::service;
        s.endpoint_name = core::endpoint_id("desk");
        service_agent_ = std::make_unique<service_agent>(executor(), s, 200);
        core::spawn_then(executor(), service_agent_->run(), [](core::result<void>) {});
        for (std::size_t i = 0; i < entry_count; ++i) {
            start_entry(i);
        }
    }

    core::asio::any_io_executor executor() { return context.get_executor(); }

    /// Runs a script to its end; false when it takes too long.
    template <class Script>
    bool run(Script script)
    {
        bool done = false;
        core::spawn(executor(), [](local_site& site, Script s, bool& ended) -> core::task<void> {
            co_await s(site);
            ended = true;
            site.context.stop();
        }(*this, std::move(script), done));
        context.restart();
        context.run_for(std::chrono::seconds(60));
        return done;
    }

    /// Writes the intents of the site and waits until they can be used.
    core::task<void> set_up();
    core::task<core::result<http::response>> send(std::size_t entry, http::request message);
    core::task<core::result<http::response>> generate(std::size_t entry, std::string prompt,
                                                      std::int64_t tokens);
    core::task<core::result<http::response>> call(std::size_t entry, std::string key,
                                                  std::string body);
    core::task<core::result<http::response>> get(std::size_t entry, std::string target);
    core::task<core::result<http::response>> put_resource(std::string kind, std::string name,
                                                          boost::json::object spec);

    core::asio::io_context context{1};
    fakes::memory_platform store{context.get_executor()};
    fakes::engine_group group;
    fakes::plain_service service;
    std::vector<std::unique_ptr<engine_agent>> engine_agents;
    std::vector<std::unique_ptr<entry::entry_node>> entries;

private:
    struct rank_handler {
        fakes::engine_group* group;
        std::size_t rank;
        core::task<void> operator()(http::server_connection& c, const http::request& r)
        {
            co_await group->handle(rank, c, r);
        }
    };

    static std::uint16_t free_port()
    {
        core::asio::io_context scratch{1};
        core::asio::ip::tcp::acceptor probe(
            scratch, core::asio::ip::tcp::endpoint(core::asio::ip::make_address("127.0.0.1"), 0));
        return probe.local_endpoint().port();
    }
    static settings::address local(std::uint16_t port)
    {
        return {core::asio::ip::make_address("127.0.0.1"), port};
    }
    template <class Handler>
    std::uint16_t listen_with(Handler& handler)
    {
        listeners_.push_back(std::make_unique<core::asio::ip::tcp::acceptor>(context, local(0)));
        core::spawn(executor(), http::serve(*listeners_.back(), handler));
        return listeners_.back()->local_endpoint().port();
    }
    settings::daemon_settings agent_settings(const std::string& host, std::uint16_t endpoint_port)
    {
        settings::daemon_settings s;
        s.role = settings::process_role::agent;
        s.host = core::host_id(host);
        s.failure_domain = core::failure_domain_id("fd-a");
        s.peer_address = local(free_port());
        s.platform_address = local(platform_port_);
        s.endpoint_address = local(endpoint_port);
        return s;
    }
    void start_entry(std::size_t i)
    {
        settings::daemon_settings s;
        s.host = core::host_id("entry-" + std::to_string(i));
        s.failure_domain = core::failure_domain_id("fd-" + std::to_string(i));
        s.peer_address = local(free_port());
        s.caller_address = local(free_port());
        s.platform_address = local(platform_port_);
        s.address_lifetime = std::chrono::milliseconds(1000);
        s.stop_timeout = std::chrono::seconds(20);
        entry_addresses_.push_back(s.caller_address);
        entries.push_back(std::make_unique<entry::entry_node>(executor(), s, 300 + i));
        core::spawn_then(executor(), entries.back()->run(), [](core::result<void>) {});
    }

    fakes::platform_server platform_server_;
    std::uint16_t platform_port_ = 0;
    std::vector<std::unique_ptr<rank_handler>> rank_handlers_;
    std::vector<std::unique_ptr<core::asio::ip::tcp::acceptor>> listeners_;
    std::unique_ptr<service_agent> service_agent_;
    std::vector<settings::address> entry_addresses_;
};

inline core::task<core::result<http::response>> local_site::send(std::size_t entry,
                                                                 http::request message)
{
    const core::time_point deadline = core::runtime_clock::now() + std::chrono::seconds(30);
    http::client_connection client(executor());
    const core::result<void> connected = co_await client.connect(entry_addresses_[entry], deadline);
    if (!connected) {
        co_return connected.error();
    }
    co_return co_await client.exchange(std::move(message), deadline);
}

inline core::task<core::result<http::response>>
local_site::generate(std::size_t entry, std::string prompt, std::int64_t tokens)
{
    http::request message;
    message.method = "POST";
    message.target = "/v1/generate";
    message.headers.push_back({"X-Workspace", "w"});
    message.headers.push_back({"X-Timeout-Ms", "20000"});
    message.body =
        boost::json::serialize(boost::json::object{{"prompt", prompt}, {"max_tokens", tokens}});
    co_return co_await send(entry, std::move(message));
}

inline core::task<core::result<http::response>> local_site::call(std::size_t entry, std::string key,
                                                                 std::string body)
{
    http::request message;
    message.method = "POST";
    message.target = "/v1/call/desk/bookings";
    message.headers.push_back({"X-Workspace", "w"});
    message.headers.push_back({"Idempotency-Key", key});
    message.headers.push_back({"X-Timeout-Ms", "5000"});
    message.body = body;
    co_return co_await send(entry, std::move(message));
}

inline core::task<core::result<http::response>> local_site::get(std::size_t entry,
                                                                std::string target)
{
    http::request message;
    message.target = target;
    co_return co_await send(entry, std::move(message));
}

inline core::task<core::result<http::response>>
local_site::put_resource(std::string kind, std::string name, boost::json::object spec)
{
    const core::result<http::response> present = co_await get(0, "/api/v1/" + kind + "/" + name);
    boost::json::object metadata{{"name", name}};
    http::request message;
    message.method = "POST";
    message.target = "/api/v1/" + kind;
    if (present && present.value().status == 200) {
        message.method = "PUT";
        message.target += "/" + name;
        metadata["version"] = boost::json::parse(present.value().body)
                                  .as_object()
                                  .at("metadata")
                                  .as_object()
                                  .at("version");
    }
    message.body = boost::json::serialize(
        boost::json::object{{"kind", kind}, {"metadata", metadata}, {"spec", spec}});
    co_return co_await send(0, std::move(message));
}

inline core::task<void> local_site::set_up()
{
    core::result<http::response> done = core::error{};
    boost::json::object group_spec{
        {"model", "m"}, {"ranks", group.ranks.size()}, {"experts", 16}, {"slots_per_rank", 16}};
    while (!done || done.value().status != 201) {
        done = co_await put_resource("ModelGroup", "tutor", group_spec);
        co_await core::sleep_for(std::chrono::milliseconds(10));
    }
    for (std::size_t i = 0; i < group.ranks.size(); ++i) {
        boost::json::object spec{
            {"service", "tutor"}, {"role", "engine"},       {"host", "agent-" + std::to_string(i)},
            {"rank", i},          {"checks_fencing", true}, {"concurrency", 16}};
        co_await put_resource("Endpoint", "rank-" + std::to_string(i), std::move(spec));
    }
    boost::json::object desk{{"service", "desk"},
                             {"role", "service"},
                             {"host", "agent-service"},
                             {"checks_fencing", false},
                             {"concurrency", 16}};
    co_await put_resource("Endpoint", "desk", std::move(desk));
    boost::json::object workspace{{"services", boost::json::array{"tutor", "desk"}}};
    co_await put_resource("Workspace", "w", std::move(workspace));
    for (std::size_t e = 0; e < entries.size(); ++e) {
        bool ready = false;
        while (!ready) {
            co_await core::sleep_for(std::chrono::milliseconds(10));
            const core::result<http::response> health = co_await get(e, "/readyz");
            const boost::json::value body =
                health ? boost::json::parse(health.value().body) : boost::json::value();
            const std::int64_t wanted = static_cast<std::int64_t>(group.ranks.size()) + 1;
            ready = body.is_object() && body.as_object().at("agents").as_int64() == wanted &&
                    health.value().status == 200;
        }
        core::result<http::response> served = co_await generate(e, "warm up", 2);
        while (!served || served.value().status != 200) {
            co_await core::sleep_for(std::chrono::milliseconds(20));
            served = co_await generate(e, "warm up", 2);
        }
        served = co_await call(e, "warm-" + std::to_string(e), "warm-" + std::to_string(e));
        while (!served || served.value().status != 200) {
            co_await core::sleep_for(std::chrono::milliseconds(20));
            served = co_await call(e, "warm-" + std::to_string(e), "warm-" + std::to_string(e));
        }
    }
}

} // namespace currantpitch::testing
