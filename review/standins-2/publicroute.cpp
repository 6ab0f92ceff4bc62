// A new version makes a route public. Clients, who don't know the configuration, go on sending
// their keys. A replica must get the name of the tenant that holds the key.
#include "site.h"

#include <iostream>

using namespace review;

namespace {

/// config_apply_ms and a margin.
constexpr milliseconds apply_time{2000 + 1500};
constexpr int requests_a_key = 10;

json::object limits()
{
    return {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}};
}

json::array two_tenants()
{
    return {json::object{{"name", "parents"}, {"api_keys", {"key-1"}}, {"priority", 1}},
            json::object{{"name", "schools"}, {"api_keys", {"key-2"}}, {"priority", 2}}};
}

struct tally {
    int ran = 0;
    int wrong = 0;
};

/// Sends requests with the key on one connection and compares the tenant that replicas get.
task<tally> ask(site& s, const gateway& g, std::string key, std::string holder)
{
    tally t;
    std::optional<connection> to = co_await connection::open(g.callers);
    for (int i = 0; to && i < requests_a_key; ++i) {
        call c;
        c.id = s.new_id();
        c.target = "/look/status";
        c.key = key;
        std::optional<message> answer;
        if (co_await to->write(encode(c))) {
            answer = co_await to->read();
        }
        const arrival* const a = s.arrival_of(c.id);
        s.record("client: " + c.id + ", key " + key + " of " + holder + ", gets " +
                 (answer ? std::to_string(answer->status()) : "no answer") + "; the replica got " +
                 (a == nullptr        ? "nothing"
                  : a->tenant.empty() ? "no tenant"
                                      : "tenant " + a->tenant));
        t.ran += a != nullptr ? 1 : 0;
        t.wrong += a != nullptr && a->tenant != holder ? 1 : 0;
    }
    co_return t;
}

task<tally> ask_all(site& s)
{
    tally all;
    for (const auto& g : s.gateways()) {
        for (const auto& [key, holder] :
             {std::pair<const char*, const char*>{"key-1", "parents"},
              std::pair<const char*, const char*>{"key-2", "schools"}}) {
            const tally t = co_await ask(s, *g, key, holder);
            all.ran += t.ran;
            all.wrong += t.wrong;
        }
    }
    co_return all;
}

task<bool> story(site& s)
{
    const tally before = co_await ask_all(s);
    s.record("before: ran " + std::to_string(before.ran) + ", with another tenant " +
             std::to_string(before.wrong));
    if (before.ran == 0) {
        throw std::runtime_error("nothing ran before the change");
    }
    s.configure(limits(), two_tenants(), s.trouble());
    co_await pause_for(apply_time);
    const tally after = co_await ask_all(s);
    s.record("UNASKED: ran " + std::to_string(after.ran) +
             ", without the tenant that holds the client's key " + std::to_string(after.wrong));
    co_return before.wrong == 0 && after.wrong == 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        site s(read_arguments(argc, argv), limits(), two_tenants());
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
