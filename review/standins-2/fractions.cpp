// The platform's settings change without a signal: `grace_s` is a fraction. Then the gateways are
// stopped and started in turn, as planned work.
#include "site.h"

#include <iostream>
#include <random>

using namespace review;

namespace {

constexpr int clients_a_gateway = 4;
constexpr milliseconds between_stops{6000};
constexpr milliseconds after_stops{8000};

json::object limits()
{
    return {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}};
}

json::array one_tenant()
{
    return {json::object{{"name", "parents"}, {"api_keys", {"key-1"}}, {"priority", 1}}};
}

struct tally {
    bool ending = false;
    /// Sent and served since the last count.
    int sent = 0;
    int served = 0;
};

task<void> client(site& s, const gateway& g, tally& t, unsigned seed)
{
    std::mt19937 random(seed);
    while (!t.ending) {
        std::optional<connection> to = co_await connection::open(g.callers);
        call c;
        c.id = s.new_id();
        c.key = "key-1";
        c.target = "/look/seat";
        std::optional<message> answer;
        if (to && co_await to->write(encode(c))) {
            answer = co_await to->read();
        }
        ++t.sent;
        t.served += answer && answer->status() == 200 ? 1 : 0;
        s.record("client: " + c.id + " to " + g.name + " gets " +
                 (answer ? std::to_string(answer->status())
                  : to   ? "no answer"
                         : "no connection"));
        co_await pause_for(milliseconds(200 + random() % 200));
    }
}

task<bool> story(site& s)
{
    tally t;
    unsigned seed = 1;
    for (const auto& g : s.gateways()) {
        for (int i = 0; i < clients_a_gateway; ++i) {
            asio::co_spawn(s.context(), client(s, *g, t, seed++), asio::detached);
        }
    }
    co_await pause_for(milliseconds(2000));
    s.record("before: sent " + std::to_string(t.sent) + ", served " + std::to_string(t.served));
    if (t.served == 0) {
        throw std::runtime_error("nothing was served before the change");
    }
    // deploy/gateway.yaml: `stop_timeout: {{bounds.grace_s}}s`
    s.change_settings("stop_timeout", s.trouble() ? "8.5s" : "9s");
    for (const auto& g : s.gateways()) {
        s.stop(*g);
        co_await pause_for(between_stops);
    }
    t.sent = 0;
    t.served = 0;
    co_await pause_for(after_stops);
    t.ending = true;
    int ended_three_times = 0;
    for (const auto& g : s.gateways()) {
        s.record("Fault: " + g->name + " ended by itself " + std::to_string(g->own_ends) +
                 " times");
        ended_three_times += g->own_ends >= 3 ? 1 : 0;
    }
    s.record(
        "after: sent " + std::to_string(t.sent) + ", served " + std::to_string(t.served) +
        "; machines that ended by themselves three times: " + std::to_string(ended_three_times));
    co_return ended_three_times < 2;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        site s(read_arguments(argc, argv), limits(), one_tenant());
        for (int i = 0; i < 3; ++i) {
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
