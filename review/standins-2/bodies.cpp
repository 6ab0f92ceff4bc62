// Clients send bodies within the operator's max_body_bytes on connections that they keep. Their
// connections are reset once; when the machines are in touch again, they go on with new ones.
#include "site.h"

#include <iostream>
#include <random>

using namespace review;

namespace {

constexpr std::size_t max_body_bytes = 4194304;
constexpr std::size_t body_bytes = 3'000'000;
constexpr int clients_a_gateway = 6;
constexpr milliseconds before_reset{6000};
/// Longer than contact_ms (3,000), so that the machines are in touch again.
constexpr milliseconds after_reset{4500};
constexpr milliseconds played{12'000};

json::object limits()
{
    return {{"max_header_bytes", 16384},
            {"max_body_bytes", max_body_bytes},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}};
}

json::array one_tenant()
{
    return {json::object{{"name", "parents"}, {"api_keys", {"key-1"}}, {"priority", 1}}};
}

struct tally {
    bool ending = false;
    bool resets = false;
    int sent = 0;
    int served = 0;
    int denied = 0;
    int unanswered = 0;
};

task<void> client(site& s, const gateway& g, tally& t, unsigned seed, const std::string& body)
{
    std::mt19937 random(seed);
    bool was_reset = false;
    bool first = true;
    while (!t.ending) {
        std::optional<connection> to = co_await connection::open(g.callers);
        while (to && to->is_open() && !t.ending) {
            if (t.resets && !was_reset) {
                was_reset = true;
                to->reset();
                co_await pause_for(after_reset);
                break;
            }
            call c;
            c.id = s.new_id();
            c.key = "key-1";
            c.method = first ? "GET" : "POST";
            c.target = first ? "/look/form" : "/book/form";
            c.body = first ? "" : body;
            first = false;
            const std::string text = encode(c);
            const std::size_t head = text.size() - c.body.size();
            std::optional<message> answer;
            ++t.sent;
            // The answer may come before the body has been read, and the write fail then.
            if (co_await to->write(text.substr(0, head))) {
                co_await pause_for(milliseconds(20));
                co_await to->write(text.substr(head));
                answer = co_await to->read();
            }
            t.served += answer && answer->status() == 200 ? 1 : 0;
            t.denied += answer && answer->status() == 413 ? 1 : 0;
            t.unanswered += answer ? 0 : 1;
            s.record("client: " + c.id + " " + c.method + " of " + std::to_string(c.body.size()) +
                     " bytes gets " + (answer ? std::to_string(answer->status()) : "no answer") +
                     " from " + g.name);
            co_await pause_for(milliseconds(300 + random() % 300));
            if (!answer || answer->header("connection") == "close") {
                break;
            }
        }
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
    co_await pause_for(before_reset);
    s.record("before: sent " + std::to_string(t.sent) + ", served " + std::to_string(t.served) +
             ", 413 " + std::to_string(t.denied));
    if (t.served == 0) {
        throw std::runtime_error("nothing was served before the reset");
    }
    t.resets = s.trouble();
    if (s.trouble()) {
        s.record("network: the clients' connections are reset");
    }
    co_await pause_for(after_reset + played);
    t.ending = true;
    co_await pause_for(milliseconds(2000));
    const int allowed = 5 + t.sent / 500;
    s.record("DENIED: sent " + std::to_string(t.sent) + ", served " + std::to_string(t.served) +
             ", without an answer " + std::to_string(t.unanswered) + ", 413 " +
             std::to_string(t.denied) + ", allowed " + std::to_string(allowed));
    co_return t.denied <= allowed;
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
