// The operator lets heads have 128 KiB. A client's list of prompt parts is longer than 64 KiB and
// within that limit. Other clients' requests are at replicas meanwhile.
#include "site.h"

#include <algorithm>
#include <iostream>
#include <random>

using namespace review;

namespace {

constexpr std::size_t max_header_bytes = 131072;
/// Bytes of the list with and without the trouble.
constexpr std::size_t long_list = 75'000;
constexpr std::size_t short_list = 48'000;
constexpr int clients_a_gateway = 10;
constexpr int rounds = 4;
constexpr milliseconds round_pause{4000};
/// RULES.md: LOST, "more than three times".
constexpr int allowed_losses = 3;

json::object limits()
{
    return {{"max_header_bytes", max_header_bytes},
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
    int answered = 0;
    /// By gateway: requests from kept connections that a replica ran, closed without an answer.
    std::map<std::string, int> lost;
};

task<void> client(site& s, const gateway& g, tally& t, unsigned seed)
{
    std::mt19937 random(seed);
    while (!t.ending) {
        std::optional<connection> to = co_await connection::open(g.callers);
        for (int number = 1; to && to->is_open() && !t.ending; ++number) {
            call c;
            c.id = s.new_id();
            c.key = "key-1";
            c.method = random() % 2 == 0 ? "GET" : "POST";
            c.target = c.method == "GET" ? "/look/seat" : "/book/seat";
            c.body = c.method == "GET" ? "" : "seat";
            std::optional<message> answer;
            if (co_await to->write(encode(c))) {
                answer = co_await to->read();
            }
            if (answer) {
                ++t.answered;
                s.record("client: " + c.id + " " + c.method + " gets " +
                         std::to_string(answer->status()) + " from " + g.name);
                co_await pause_for(milliseconds(random() % 100));
                continue;
            }
            const bool lost = number > 1 && s.arrival_of(c.id) != nullptr;
            t.lost[g.name] += lost ? 1 : 0;
            s.record("client: " + c.id + " " + c.method + " to " + g.name +
                     ", connection closed without an answer" +
                     (lost ? "; a replica ran it: lost" : ""));
            break;
        }
        co_await pause_for(milliseconds(200 + random() % 200));
    }
}

/// Sends a short request and then one with a long list of parts on the same connection.
task<void> send_list(site& s, const gateway& g, std::size_t bytes)
{
    std::optional<connection> to = co_await connection::open(g.callers);
    for (const std::size_t size : {std::size_t{60}, bytes}) {
        call c;
        c.id = s.new_id();
        c.key = "key-1";
        c.target = "/look/prompt";
        std::string list = "5c1e07a2:800";
        while (list.size() < size) {
            list += ",91bd3f06:10";
        }
        s.record("client: " + c.id + " to " + g.name + ", list of " + std::to_string(list.size()) +
                 " bytes");
        c.headers = {{"X-Currantpitch-Model-Name", "m"},
                     {"X-Currantpitch-Token-Usage", "1460,80"},
                     {"X-Currantpitch-Prefix-Hash", list}};
        std::optional<message> answer;
        if (to && co_await to->write(encode(c))) {
            answer = co_await to->read();
        }
        s.record("client: " + c.id + " gets " +
                 (answer ? std::to_string(answer->status()) : "no answer"));
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
    for (int round = 0; round < rounds; ++round) {
        for (const auto& g : s.gateways()) {
            co_await send_list(s, *g, s.trouble() ? long_list : short_list);
        }
        co_await pause_for(round_pause);
    }
    t.ending = true;
    co_await pause_for(milliseconds(1500));
    int most_lost = 0;
    int ended_three_times = 0;
    for (const auto& g : s.gateways()) {
        s.record("LOST: " + g->name + " closed without an answer what it had passed on: " +
                 std::to_string(t.lost[g->name]) +
                 " times; ended by itself: " + std::to_string(g->own_ends) + " times");
        most_lost = std::max(most_lost, t.lost[g->name]);
        ended_three_times += g->own_ends >= 3 ? 1 : 0;
    }
    s.record(
        "answered: " + std::to_string(t.answered) +
        "; machines that ended by themselves three times: " + std::to_string(ended_three_times));
    if (t.answered == 0) {
        throw std::runtime_error("nothing was answered");
    }
    co_return most_lost <= allowed_losses&& ended_three_times < 2;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        site s(read_arguments(argc, argv), limits(), one_tenant());
        for (int i = 0; i < 3; ++i) {
            replica r;
            r.work = milliseconds(150);
            s.add_replica(r);
            s.add_gateway();
        }
        return s.run(story);
    }
    catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return 2;
    }
}
