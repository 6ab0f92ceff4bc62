#pragma once

// A small deployment for the cases: the project's stand-ins of the store and of replicas, and
// gateways as processes.

#include "http/clientconnection.h"
#include "http/serverconnection.h"
#include "platform/sitecodec.h"
#include "site.h"
#include "soak/faultproxy.h"
#include "standins/standincaller.h"
#include "standins/standinendpoint.h"
#include "standins/standinstore.h"

#include <boost/json.hpp>

#include <memory>

namespace review {

using namespace currantpitch;
using namespace currantpitch::platform::standins;
using namespace std::chrono_literals;

enum exit_code { exit_held = 0, exit_broken = 1, exit_not_run = 2 };

constexpr const char* site_host = "site.example";
constexpr const char* site_key = "key-alpha";
constexpr const char* service_name = "desk";
/// The bounds contact_ms, drain_ms and config_apply_ms of the site.
constexpr std::chrono::milliseconds contact_bound = 3000ms;
constexpr std::chrono::milliseconds drain_bound = 2000ms;
constexpr std::chrono::milliseconds apply_bound = 2000ms;

/// The project's stand-in of a replica, with room for the largest body that the operator allows.
struct replica {
    standin_endpoint endpoint;
    asio::ip::tcp::acceptor listener;
    std::size_t max_body_bytes;
    /// The address in its entry; it leads to the listener until the replica ends.
    asio::ip::tcp::endpoint address;
    soak::fault_proxy link;

    std::string name() const { return endpoint.options().endpoint.str(); }
    http::server_limits limits() const
    {
        http::server_limits l;
        l.body_bytes = max_body_bytes;
        return l;
    }
    core::task<void> operator()(http::server_connection& c, const http::request& r)
    {
        return endpoint(c, r);
    }
};

class small_site {
public:
    small_site(asio::io_context& context, std::string program, std::string folder, record& record)
        : context_(context), program_(std::move(program)), folder_(std::move(folder)),
          record_(record), store_(context.get_executor()), store_server_(store_),
          store_listener_(context, free_address(context)), store_address_(free_address(context)),
          store_link_(context.get_executor(), store_address_, store_listener_.local_endpoint())
    {
        core::spawn(context_.get_executor(), http::serve(store_listener_, store_server_));
        core::spawn(context_.get_executor(), store_link_.run());
    }

    standin_store& store() { return store_; }
    /// The store goes away: its connections are reset, and nobody listens.
    void take_store_away()
    {
        store_link_.set_faults({.gone = true});
        store_link_.reset_all();
    }
    void bring_store_back() { store_link_.set_faults({}); }
    const std::vector<gateway_addresses>& gateways() const { return addresses_; }
    std::vector<std::unique_ptr<replica>>& replicas() { return replicas_; }
    asio::any_io_executor executor() { return context_.get_executor(); }

    /// Writes a configuration as the operator does. The return is its acknowledgement.
    void configure(const declared_configuration& c, boost::json::object limits)
    {
        boost::json::object o = boost::json::parse(encode_configuration(c)).as_object();
        o["limits"] = std::move(limits);
        configuration_ = o;
        write_configuration();
        record_.line("operator: version " + std::to_string(c.version) + " acknowledged");
    }
    void write_configuration()
    {
        store_.put(
            {std::string(platform::configuration_kind), std::string(platform::configuration_name)},
            configuration_);
    }

    void add_replica(endpoint_options options, std::size_t max_body_bytes,
                     std::function<void(const arrival&)> observe)
    {
        options.service = core::service_id(service_name);
        asio::ip::tcp::acceptor listener(context_, free_address(context_));
        const asio::ip::tcp::endpoint target = listener.local_endpoint();
        const asio::ip::tcp::endpoint address = free_address(context_);
        replicas_.push_back(std::unique_ptr<replica>(new replica{
            standin_endpoint(std::move(options), std::move(observe)), std::move(listener),
            max_body_bytes, address, soak::fault_proxy(executor(), address, target)}));
        replica& r = *replicas_.back();
        core::spawn(executor(), http::serve(r.listener, r));
        core::spawn(executor(), r.link.run());
        write_entry(r);
    }
    /// The process of a replica ends: its connections break, and nobody listens.
    static void end(replica& r)
    {
        r.link.set_faults({.gone = true});
        r.link.reset_all();
    }
    /// Writes the entry of a replica in the store, as the replica does.
    void write_entry(const replica& r)
    {
        const endpoint_options& o = r.endpoint.options();
        store_.put({std::string(platform::endpoint_kind), r.name()},
                   boost::json::parse(encode_registration(
                       service_name, text_of(r.address), "zone-a", o.slots, false, o.incarnation)));
    }
    void remove_entry(const replica& r)
    {
        store_.remove({std::string(platform::endpoint_kind), r.name()});
    }

    void start_gateway()
    {
        addresses_.push_back(free_gateway_addresses(context_));
        const std::string name = "edge-" + std::to_string(processes_.size());
        processes_.push_back(std::make_unique<system_process>(
            program_, folder_, name,
            gateway_settings(name, "zone-a", store_address_, addresses_.back())));
        processes_.back()->start();
    }
    /// Waits until all gateways are ready, and for contact_ms beyond, so that they are in touch.
    core::task<bool> wait_until_in_touch()
    {
        const core::time_point deadline = core::runtime_clock::now() + 20s;
        for (const gateway_addresses& a : addresses_) {
            while (!co_await is_ready(a)) {
                if (core::runtime_clock::now() > deadline) {
                    record_.line("the gateways did not become ready");
                    co_return false;
                }
                co_await core::sleep_for(50ms);
            }
        }
        co_await core::sleep_for(contact_bound + 500ms);
        co_return true;
    }
    /// Whether all gateway processes have run since their start.
    bool gateways_running()
    {
        for (const std::unique_ptr<system_process>& p : processes_) {
            if (!p->running()) {
                return false;
            }
        }
        return true;
    }

private:
    core::task<bool> is_ready(gateway_addresses a)
    {
        http::client_connection c(context_.get_executor());
        const core::time_point until = core::runtime_clock::now() + 1s;
        if (!co_await c.connect(a.readiness, until)) {
            co_return false;
        }
        http::request question;
        question.target = "/v1/readyz";
        const core::result<http::response> answer = co_await c.exchange(std::move(question), until);
        co_return answer&& answer.value().status == 200;
    }

    asio::io_context& context_;
    std::string program_;
    std::string folder_;
    record& record_;
    standin_store store_;
    standin_store_server store_server_;
    asio::ip::tcp::acceptor store_listener_;
    asio::ip::tcp::endpoint store_address_;
    soak::fault_proxy store_link_;
    boost::json::object configuration_;
    std::vector<std::unique_ptr<replica>> replicas_;
    std::vector<gateway_addresses> addresses_;
    std::vector<std::unique_ptr<system_process>> processes_;
};

/// Runs a case, whose task returns its exit code.
template <class Case>
int run_case(int argc, char** argv)
{
    if (argc != 5) {
        return exit_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context{1};
    record r(argv[3]);
    int code = exit_not_run;
    Case c(context, argv[1], argv[2], std::string(argv[4]) != "0", r);
    core::spawn_then(context.get_executor(), c.run(), [&](int result) {
        code = result;
        context.stop();
    });
    context.run_for(100s);
    return code;
}

} // namespace review
