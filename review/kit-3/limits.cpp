// The operator raises the size of a request's body. Callers keep the connections that they have,
// and send a larger booking on them well after the new configuration was acknowledged.

#include "smallsite.h"

#include <iostream>

using namespace review;

namespace {

constexpr std::size_t callers_per_gateway = 10;
constexpr std::size_t old_body_limit = 1024 * 1024;
constexpr std::size_t new_body_limit = 4 * 1024 * 1024;
constexpr std::size_t small_body = 200;
constexpr std::size_t large_body = 2 * 1024 * 1024;
/// The time that the callers wait after the acknowledgement: well beyond config_apply_ms and
/// contact_ms.
constexpr std::chrono::milliseconds wait_after_change = apply_bound + contact_bound;
/// Four fifths of it are the longest time for which callers keep a connection idle.
constexpr std::chrono::milliseconds idle_limit = 20000ms;

class limits_case {
public:
    limits_case(asio::io_context& context, std::string program, std::string folder, bool trouble,
                record& record)
        : trouble_(trouble), record_(record),
          site_(context, std::move(program), std::move(folder), record)
    {
    }

    core::task<int> run()
    {
        // Without the disruption the operator allows the large bodies from the beginning.
        configure(3, trouble_ ? old_body_limit : new_body_limit);
        for (int i = 0; i < 3; ++i) {
            const std::string name = "i-desk-" + std::to_string(i);
            endpoint_options options;
            options.endpoint = core::endpoint_id(name);
            site_.add_replica(options, new_body_limit, [this, name](const arrival& a) {
                record_.line("replica " + name + ": " + (a.runs ? "runs " : "refuses ") +
                             a.request + ", " + std::to_string(a.body.size()) + " B");
            });
        }
        for (int i = 0; i < 2; ++i) {
            site_.start_gateway();
        }
        if (!co_await site_.wait_until_in_touch()) {
            co_return exit_not_run;
        }
        std::vector<http::client_connection> kept;
        const std::size_t gateways = site_.gateways().size();
        for (std::size_t i = 0; i < callers_per_gateway * gateways; ++i) {
            kept.emplace_back(site_.executor());
            if (!co_await connect(kept.back(), i % gateways) ||
                co_await book(kept.back(), i % gateways, small_body, "kept") != 200) {
                co_return exit_not_run;
            }
        }
        if (trouble_) {
            configure(8, new_body_limit);
        }
        co_await core::sleep_for(wait_after_change);
        // Shows that the new version is in force at each gateway.
        for (std::size_t g = 0; g < gateways; ++g) {
            http::client_connection fresh(site_.executor());
            if (!co_await connect(fresh, g) || co_await book(fresh, g, large_body, "new") != 200) {
                co_return exit_not_run;
            }
        }
        std::size_t denied = 0;
        for (std::size_t i = 0; i < kept.size(); ++i) {
            const unsigned status = co_await book(kept[i], i % gateways, large_body, "kept");
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
        declared_configuration c;
        c.version = version;
        c.host = site_host;
        c.routes = {{"/book/", service_name, declared_route::kind::at_most_once, 4000ms, 2}};
        c.workspaces = {{"alpha", {site_key}}};
        site_.configure(c, {{"max_header_bytes", 16384},
                            {"max_body_bytes", body_limit},
                            {"header_timeout_ms", 5000},
                            {"idle_timeout_ms", idle_limit.count()}});
        record_.line("operator: it has max_body_bytes " + std::to_string(body_limit));
    }

    core::task<bool> connect(http::client_connection& connection, std::size_t gateway)
    {
        const core::result<void> connected = co_await connection.connect(
            site_.gateways()[gateway].callers, core::runtime_clock::now() + 1s);
        co_return connected.has_value();
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
        call.key = site_key;
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

    bool trouble_;
    record& record_;
    small_site site_;
    std::size_t sent_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    return run_case<limits_case>(argc, argv);
}
