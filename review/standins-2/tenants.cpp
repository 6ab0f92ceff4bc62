// A new version takes the keys of the only tenant away. Their requests must not run later than
// revoke_ms after its acknowledgement, and requests with a key that no version held must never run.
#include "site.h"

#include <iostream>

using namespace review;

namespace {

constexpr milliseconds revoke_time{5000};
/// Beyond the bound, for the clients' own delay.
constexpr milliseconds margin{1500};

json::object limits()
{
    return {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}};
}

json::array one_tenant()
{
    return {json::object{{"name", "parents"}, {"api_keys", {"key-1", "key-2"}}, {"priority", 1}}};
}

/// Sends one request on a new connection. Returns whether a replica ran it.
task<bool> ask(site& s, const gateway& g, std::string method, std::string target, std::string key)
{
    call c;
    c.id = s.new_id();
    c.method = std::move(method);
    c.target = std::move(target);
    c.key = std::move(key);
    s.record("client: " + c.id + " " + c.method + " " + c.target + ", key " + c.key + ", to " +
             g.name);
    std::optional<connection> to = co_await connection::open(g.callers);
    std::optional<message> answer;
    if (to && co_await to->write(encode(c))) {
        answer = co_await to->read();
    }
    const bool ran = s.arrival_of(c.id) != nullptr;
    s.record("client: " + c.id + " gets " +
             (answer ? std::to_string(answer->status()) : "no answer") +
             (ran ? ", a replica ran it" : ", not run"));
    co_return ran;
}

task<bool> story(site& s)
{
    int served = 0;
    for (const auto& g : s.gateways()) {
        for (int i = 0; i < 5; ++i) {
            served += co_await ask(s, *g, "GET", "/look/a", "key-1") ? 1 : 0;
        }
        served += co_await ask(s, *g, "POST", "/book/a", "key-2") ? 1 : 0;
    }
    s.record("served before: " + std::to_string(served));
    if (served == 0) {
        throw std::runtime_error("nothing was served before the change");
    }
    s.configure(limits(), s.trouble() ? json::array() : one_tenant());
    co_await pause_for(revoke_time + margin);
    int taken_away = 0;
    int never_held = 0;
    for (const auto& g : s.gateways()) {
        for (int i = 0; i < 5; ++i) {
            taken_away += co_await ask(s, *g, "GET", "/look/b", "key-1") ? 1 : 0;
            never_held += co_await ask(s, *g, "GET", "/look/b", "key-of-nobody") ? 1 : 0;
        }
        taken_away += co_await ask(s, *g, "POST", "/book/b", "key-2") ? 1 : 0;
        never_held += co_await ask(s, *g, "POST", "/book/b", "key-of-nobody") ? 1 : 0;
    }
    if (s.trouble()) {
        s.record("CONFIG: requests with a key taken away, sent later than revoke_ms, that ran: " +
                 std::to_string(taken_away));
    }
    s.record("ROUTE: requests with a key that no configuration held, that ran: " +
             std::to_string(never_held));
    co_return never_held == 0 && (!s.trouble() || taken_away == 0);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        site s(read_arguments(argc, argv), limits(), one_tenant());
        for (int i = 0; i < 2; ++i) {
            s.add_replica({});
            s.add_gateway();
        }
        return s.run(story);
    }
    catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return 2;
    }
}
