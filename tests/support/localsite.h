#pragma once

#include "agent/agentnode.h"
#include "endpoints/httpservice.h"
#include "entry/entrynode.h"
#include "fakes/enginegroup.h"
#include "fakes/plainservice.h"
#include "fakes/storeserver.h"
#include "http/clientconnection.h"

#include <boost/json.hpp>

#include <memory>
#include <stdexcept>
#include <string>
#include <unistd.h>
#include <vector>

namespace currantpitch::testing {

/// Port of all listeners of a local site.
inline constexpr std::uint16_t site_port = 18080;

/// Runs a complete installation on loopback addresses in one thread: a platform, a model group with
/// an agent for each rank, a plain service with its agent, and entries.
class local_site {
public:
    using engine_agent = agent::agent_node<endpoints::http_engine>;
    using service_agent = agent::agent_node<endpoints::http_service>;

    explicit local_site(std::size_t entry_count = 2, std::size_t ranks = 3)
        : group(executor(), fakes::engine_group_options{.ranks = ranks,
                                                        .step_time = std::chrono::milliseconds(2)}),
          platform_server_(store)
    {
        platform_address_ = listen_with(platform_server_);
        core::spawn(executor(), group.run_steps());
        for (std::size_t i = 0; i < ranks; ++i) {
            rank_handlers_.push_back(std::make_unique<rank_handler>(rank_handler{&group, i}));
            const settings::address address = listen_with(*rank_handlers_.back());
            settings::daemon_settings s = agent_settings("agent-" + std::to_string(i), address);
            s.endpoint_name = core::endpoint_id("rank-" + std::to_string(i));
            engine_agents.push_back(std::make_unique<engine_agent>(executor(), s, 100 + i));
            core::spawn_then(executor(), engine_agents.back()->run(), throw_on_error);
        }
        const settings::address service_address = listen_with(service);
        settings::daemon_settings s = agent_settings("agent-service", service_address);
        s.endpoint = settings::endpoint_type::service;
        s.endpoint_name = core::endpoint_id("desk");
        service_agent_ = std::make_unique<service_agent>(executor(), s, 200);
        core::spawn_then(executor(), service_agent_->run(), throw_on_error);
        for (std::size_t i = 0; i < entry_count; ++i) {
            start_entry(i);
        }
    }

    core::asio::any_io_executor executor() { return context.get_executor(); }

    /// Runs the coroutine that script(*this) returns. Returns false if it takes more than 60
    /// seconds.
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

    /// Writes the resources of the site and waits until every entry serves requests and calls.
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
    fakes::memory_store store{context.get_executor()};
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

    // Gives every listener its own loopback address, so that neither another process nor an
    // outgoing connection can occupy its port.
    static settings::address next_address()
    {
        static std::uint32_t last = 0;
        const std::uint32_t process = static_cast<std::uint32_t>(getpid());
        const std::uint32_t host = (process & 0x3fff) << 9 | (++last & 0x1ff);
        const core::asio::ip::address_v4 address(0x7f000000U | 0x800000U | host);
        return {address, site_port};
    }
    static void throw_on_error(const core::result<void>& outcome)
    {
        if (!outcome) {
            throw std::runtime_error("a process of the site failed: " + outcome.error().detail);
        }
    }
    template <class Handler>
    settings::address listen_with(Handler& handler)
    {
        listeners_.push_back(
            std::make_unique<core::asio::ip::tcp::acceptor>(context, next_address()));
        core::spawn(executor(), http::serve(*listeners_.back(), handler));
        return listeners_.back()->local_endpoint();
    }
    settings::daemon_settings agent_settings(const std::string& host,
                                             const settings::address& endpoint)
    {
        settings::daemon_settings s;
        s.role = settings::process_role::agent;
        s.host = core::host_id(host);
        s.failure_domain = core::failure_domain_id("fd-a");
        s.peer_address = next_address();
        s.platform_address = platform_address_;
        s.endpoint_address = endpoint;
        return s;
    }
    void start_entry(std::size_t i)
    {
        settings::daemon_settings s;
        s.host = core::host_id("entry-" + std::to_string(i));
        s.failure_domain = core::failure_domain_id("fd-" + std::to_string(i));
        s.peer_address = next_address();
        s.caller_address = next_address();
        s.platform_address = platform_address_;
        s.address_lifetime = std::chrono::milliseconds(1000);
        s.stop_timeout = std::chrono::seconds(20);
        entry_addresses_.push_back(s.caller_address);
        entries.push_back(std::make_unique<entry::entry_node>(executor(), s, 300 + i));
        core::spawn_then(executor(), entries.back()->run(), throw_on_error);
    }

    fakes::store_server platform_server_;
    settings::address platform_address_;
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
    const core::result<http::response> existing = co_await get(0, "/api/v1/" + kind + "/" + name);
    boost::json::object metadata{{"name", name}};
    http::request message;
    message.method = "POST";
    message.target = "/api/v1/" + kind;
    if (existing && existing.value().status == 200) {
        message.method = "PUT";
        message.target += "/" + name;
        metadata["version"] = boost::json::parse(existing.value().body)
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
            const std::int64_t agent_count = static_cast<std::int64_t>(group.ranks.size()) + 1;
            ready = body.is_object() && body.as_object().at("agents").as_int64() == agent_count &&
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
