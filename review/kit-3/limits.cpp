// The operator raises the size of a request's body. Callers keep the connections that they have,
// and send a larger booking on them well after the new configuration was acknowledged.

#include "http/clientconnection.h"
#include "http/serverconnection.h"
#include "platform/sitecodec.h"
#include "site.h"
#include "standins/standincaller.h"
#include "standins/standinendpoint.h"
#include "standins/standinstore.h"
#include "wire/framedconnection.h"

#include <boost/json.hpp>

#include <iostream>
#include <map>

using namespace currantpitch;
using namespace currantpitch::platform::standins;
using namespace std::chrono_literals;
namespace asio = core::asio;

namespace {

enum exit_code { exit_held = 0, exit_broken = 1, exit_not_run = 2 };

constexpr std::size_t callers_per_gateway = 10;
constexpr std::size_t old_body_limit = 1024 * 1024;
constexpr std::size_t new_body_limit = 4 * 1024 * 1024;
constexpr std::size_t small_body = 200;
constexpr std::size_t large_body = 2 * 1024 * 1024;
/// The bound config_apply_ms of the site, and the time that the callers wait after the
/// acknowledgement, which is well beyond it and beyond contact_ms.
constexpr std::chrono::milliseconds apply_bound = 2000ms;
constexpr std::chrono::milliseconds wait_after_change = 5000ms;
/// Four fifths of it are the longest time for which callers keep a connection idle.
constexpr std::chrono::milliseconds idle_limit = 20000ms;
constexpr const char* site_host = "site.example";

/// The project's stand-in of a replica, with room for the largest body that the operator allows.
struct replica {
    standin_endpoint endpoint;
    asio::ip::tcp::acceptor listener;

    http::server_limits limits() const
    {
        http::server_limits l;
        l.body_bytes = new_body_limit;
        return l;
    }
    core::task<void> operator()(http::server_connection& c, const http::request& r)
    {
        return endpoint(c, r);
    }
};

std::string configuration(std::uint64_t version, std::size_t body_limit)
{
    declared_configuration c;
    c.version = version;
    c.host = site_host;
    c.routes = {{"/book/", "desk", declared_route::kind::at_most_once, 4000ms, 2}};
    c.workspaces = {{"alpha", {"key-alpha"}}};
    boost::json::object o = boost::json::parse(encode_configuration(c)).as_object();
    o["limits"] = {{"max_header_bytes", 16384},
                   {"max_body_bytes", body_limit},
                   {"header_timeout_ms", 5000},
                   {"idle_timeout_ms", idle_limit.count()}};
    return boost::json::serialize(o);
}

class limits_case {
public:
    limits_case(asio::io_context& context, std::string program, std::string folder, bool trouble,
                review::record& record)
        : context_(context), program_(std::move(program)), folder_(std::move(folder)),
          trouble_(trouble), record_(record), store_(context.get_executor()), store_server_(store_),
          store_listener_(context, review::free_address(context))
    {
    }

    core::task<int> run()
    {
        core::spawn(context_.get_executor(), http::serve(store_listener_, store_server_));
        // Without the disruption the operator allows the large bodies from the beginning.
        configure(3, trouble_ ? old_body_limit : new_body_limit);
        for (int i = 0; i < 3; ++i) {
            add_replica(i);
        }
        for (int i = 0; i < 2; ++i) {
            add_gateway(i);
        }
        if (!co_await wait_until_ready()) {
            record_.line("the gateways did not become ready");
            co_return exit_not_run;
        }
        std::vector<http::client_connection> kept;
        std::vector<std::size_t> gateway_of;
        for (std::size_t i = 0; i < callers_per_gateway * addresses_.size(); ++i) {
            gateway_of.push_back(i % addresses_.size());
            kept.emplace_back(context_.get_executor());
            if (!co_await kept.back().connect(addresses_[gateway_of.back()].callers,
                                              core::runtime_clock::now() + 1s)) {
                co_return exit_not_run;
            }
        }
        for (std::size_t i = 0; i < kept.size(); ++i) {
            const unsigned status = co_await book(kept[i], gateway_of[i], small_body, "kept");
            if (status != 200) {
                co_return exit_not_run;
            }
        }
        if (trouble_) {
            configure(8, new_body_limit);
        }
        co_await core::sleep_for(wait_after_change);
        // Shows that the new version is in force at each gateway.
        for (std::size_t g = 0; g < addresses_.size(); ++g) {
            http::client_connection fresh(context_.get_executor());
            const core::result<void> connected =
                co_await fresh.connect(addresses_[g].callers, core::runtime_clock::now() + 1s);
            if (!connected || co_await book(fresh, g, large_body, "new") != 200) {
                co_return exit_not_run;
            }
        }
        std::size_t denied = 0;
        for (std::size_t i = 0; i < kept.size(); ++i) {
            const unsigned status = co_await book(kept[i], gateway_of[i], large_body, "kept");
            const bool own_refusal =
                status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
            denied += own_refusal ? 1 : 0;
        }
        const double allowed = 5 + static_cast<double>(sent_) / 500;
        record_.line("denied " + std::to_string(denied) + " of " + std::to_string(sent_) +
                     " requests; the rule allows " + std::to_string(allowed));
        std::cout << "denied " << denied << " of " << sent_ << " requests, allowed " << allowed
                  << "\n";
        co_return static_cast<double>(denied) > allowed ? exit_broken : exit_held;
    }

private:
    void configure(std::uint64_t version, std::size_t body_limit)
    {
        store_.put(
            {std::string(platform::configuration_kind), std::string(platform::configuration_name)},
            boost::json::parse(configuration(version, body_limit)));
        record_.line("operator: version " + std::to_string(version) + " with max_body_bytes " +
                     std::to_string(body_limit) + " acknowledged");
    }

    void add_replica(int number)
    {
        const std::string name = "i-desk-" + std::to_string(number);
        endpoint_options o;
        o.endpoint = core::endpoint_id(name);
        o.service = core::service_id("desk");
        replicas_.push_back(std::make_unique<replica>(
            replica{standin_endpoint(o,
                                     [this, name](const arrival& a) {
                                         record_.line("replica " + name + ": " +
                                                      (a.runs ? "runs " : "refuses ") + a.request +
                                                      ", " + std::to_string(a.body.size()) + " B");
                                     }),
                    asio::ip::tcp::acceptor(context_, review::free_address(context_))}));
        replica& r = *replicas_.back();
        core::spawn(context_.get_executor(), http::serve(r.listener, r));
        store_.put({std::string(platform::endpoint_kind), name},
                   boost::json::parse(
                       encode_registration("desk", review::text_of(r.listener.local_endpoint()),
                                           "zone-a", o.slots, false, o.incarnation)));
    }

    void add_gateway(int number)
    {
        addresses_.push_back(review::free_gateway_addresses(context_));
        const std::string name = "edge-" + std::to_string(number);
        gateways_.push_back(std::make_unique<review::system_process>(
            program_, folder_, name,
            review::gateway_settings(name, "zone-a", store_listener_.local_endpoint(),
                                     addresses_.back())));
        gateways_.back()->start();
    }

    core::task<bool> wait_until_ready()
    {
        const core::time_point deadline = core::runtime_clock::now() + 20s;
        for (const review::gateway_addresses& a : addresses_) {
            bool ready = false;
            while (!ready) {
                if (core::runtime_clock::now() > deadline) {
                    co_return false;
                }
                http::client_connection c(context_.get_executor());
                http::request question;
                question.target = "/v1/readyz";
                const core::time_point until = core::runtime_clock::now() + 1s;
                if (co_await c.connect(a.readiness, until)) {
                    const core::result<http::response> answer =
                        co_await c.exchange(std::move(question), until);
                    ready = answer && answer.value().status == 200;
                }
                co_await core::sleep_for(50ms);
            }
        }
        // Beyond contact_ms after the start, so that the machines are in touch.
        co_await core::sleep_for(3500ms);
        co_return true;
    }

    /// Sends a booking and returns the status of its answer; 0 if there is none.
    core::task<unsigned> book(http::client_connection& connection, std::size_t gateway,
                              std::size_t body, std::string kind)
    {
        planned_call call;
        call.request = "b" + std::to_string(++sent_);
        call.host = site_host;
        call.target = "/book/" + call.request;
        call.body = std::string(body, 'b');
        call.key = "key-alpha";
        call.timeout = 4000ms;
        const std::string line = call.request + " of " + std::to_string(body) + " B to edge-" +
                                 std::to_string(gateway) + " on a " + kind + " connection";
        record_.line("caller: sends " + line);
        const core::result<http::response> answer =
            co_await connection.exchange(encode_call(call), core::runtime_clock::now() + 4500ms);
        record_.line("caller: " + line + ": " +
                     (answer ? std::to_string(answer.value().status) + " " +
                                   answer.value().body.substr(0, 60)
                             : "no answer, " + answer.error().detail));
        co_return answer ? answer.value().status : 0;
    }

    asio::io_context& context_;
    std::string program_;
    std::string folder_;
    bool trouble_;
    review::record& record_;
    standin_store store_;
    standin_store_server store_server_;
    asio::ip::tcp::acceptor store_listener_;
    std::vector<std::unique_ptr<replica>> replicas_;
    std::vector<review::gateway_addresses> addresses_;
    std::vector<std::unique_ptr<review::system_process>> gateways_;
    std::size_t sent_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5) {
        std::cerr << "usage: case-limits PROGRAM FOLDER RECORD TROUBLE\n";
        return exit_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context{1};
    review::record record(argv[3]);
    int code = exit_not_run;
    {
        limits_case c(context, argv[1], argv[2], std::string(argv[4]) != "0", record);
        core::spawn_then(context.get_executor(), c.run(), [&](int result) {
            code = result;
            context.stop();
        });
        context.run_for(100s);
    }
    return code;
}
