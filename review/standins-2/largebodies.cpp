// Clients send bodies as long as the operator allows, to replicas that read slowly. The platform
// ends a gateway that uses more memory than its machine has.
#include "site.h"

#include <algorithm>
#include <iostream>
#include <random>

using namespace review;

namespace {

/// DEPLOY.md: memory_mb of an edge machine.
constexpr std::size_t memory_limit = std::size_t{260} * 1024 * 1024;
constexpr std::size_t body_bytes = 4'194'304;
/// The 90 clients and 12 replicas of the site, and three entry machines.
constexpr int gateways = 3;
constexpr int clients_a_gateway = 30;
constexpr int replicas = 12;
constexpr std::size_t slow_bytes_a_step = 100'000;
constexpr milliseconds played{30'000};
/// RULES.md: LOST, "more than three times".
constexpr int allowed_losses = 3;

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
    std::map<std::string, int> answers;
    /// By gateway: requests from kept connections that a replica ran, closed without an answer.
    std::map<std::string, int> lost;
    /// The same, where no replica had the whole request yet.
    std::map<std::string, int> cut;
};

task<void> client(site& s, const gateway& g, tally& t, unsigned seed, const std::string& body)
{
    std::mt19937 random(seed);
    co_await pause_for(milliseconds(random() % 3000));
    while (!t.ending) {
        std::optional<connection> to = co_await connection::open(g.callers);
        for (int number = 1; to && to->is_open() && !t.ending; ++number) {
            call c;
            c.id = s.new_id();
            c.key = "key-1";
            c.deadline = milliseconds(8000);
            c.method = number == 1 ? "GET" : "POST";
            c.target = number == 1 ? "/look/seat" : "/book/seat";
            c.body = number == 1 ? "" : body;
            std::optional<message> answer;
            if (co_await to->write(encode(c))) {
                answer = co_await to->read();
            }
            if (!answer) {
                const bool lost = number > 1 && s.arrival_of(c.id) != nullptr;
                t.lost[g.name] += lost ? 1 : 0;
                t.cut[g.name] += lost ? 0 : 1;
                s.record("client: " + c.id + " " + c.method + " to " + g.name +
                         ", connection closed without an answer" +
                         (lost ? "; a replica ran it: lost" : ""));
                break;
            }
            ++t.answers[std::to_string(answer->status())];
            s.record("client: " + c.id + " " + c.method + " gets " +
                     std::to_string(answer->status()) + " from " + g.name);
            co_await pause_for(milliseconds(500 + random() % 1000));
        }
        co_await pause_for(milliseconds(300 + random() % 300));
    }
}

task<bool> story(site& s)
{
    tally t;
    const std::string body(body_bytes, 'x');
    unsigned seed = 1;
    for (const auto& g : s.gateways()) {
        for (int i = 0; i < clients_a_gateway; ++i) {
            asio::co_spawn(s.context(), client(s, *g, t, seed++, body), asio::detached);
        }
    }
    co_await pause_for(played);
    t.ending = true;
    co_await pause_for(milliseconds(9000));
    int most_lost = 0;
    int ended_three_times = 0;
    for (const auto& g : s.gateways()) {
        s.record("LOST: " + g->name + " closed without an answer what a replica had run: " +
                 std::to_string(t.lost[g->name]) +
                 " times, other requests: " + std::to_string(t.cut[g->name]) +
                 "; over its memory " + std::to_string(g->memory_ends) +
                 " times, ended otherwise " + std::to_string(g->own_ends) + " times; most memory " +
                 std::to_string(g->peak_bytes) + " bytes");
        most_lost = std::max(most_lost, t.lost[g->name]);
        ended_three_times += g->memory_ends + g->own_ends >= 3 ? 1 : 0;
    }
    for (const auto& [status, count] : t.answers) {
        s.record("answers " + status + ": " + std::to_string(count));
    }
    s.record("machines that ended by themselves three times: " + std::to_string(ended_three_times));
    co_return most_lost <= allowed_losses&& ended_three_times < 2;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        site s(read_arguments(argc, argv), limits(), one_tenant());
        s.limit_memory(memory_limit);
        for (int i = 0; i < replicas; ++i) {
            replica r;
            r.bytes_a_step = s.trouble() ? slow_bytes_a_step : 0;
            s.add_replica(r);
        }
        for (int i = 0; i < gateways; ++i) {
            s.add_gateway();
        }
        return s.run(story);
    }
    catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return 2;
    }
}
