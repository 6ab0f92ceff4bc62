#include "flowsite.h"

#include "support/processmemory.h"

using namespace currantpitch;
using namespace currantpitch::testing;

namespace {

/// Number of requests that a faulty endpoint answers at once, and the memory that their answers may
/// take together. A gateway has 260 MB for everything.
constexpr std::size_t faulty_answers = 32;
constexpr std::size_t max_growth_bytes = std::size_t{100} * 1024 * 1024;
const std::string block(std::size_t{64} * 1024, 'x');

struct endless_site : flow_site {
    std::size_t ended = 0;

    /// Lets the first endpoint answer many requests in this way, and checks that another request is
    /// served meanwhile and that memory stays free.
    void check_others_are_served(const reply& endless)
    {
        configure(routes::retry_policy::at_most_once);
        const std::size_t before = peak_memory_bytes("self");
        a.replies.assign(faulty_answers, endless);
        for (std::size_t i = 0; i < faulty_answers; ++i) {
            spawn_request();
        }
        context.restart();
        context.run_for(100ms);
        // An endpoint that broke off is avoided, so the other one may get the request.
        a.replies.push_front({full_answer("7", "whole")});
        b.replies = {{full_answer("7", "whole")}};
        send_request();
        LONGS_EQUAL(200, status());
        CHECK(answer.ends_with("whole"));
        context.restart();
        context.run_for(3s);
        LONGS_EQUAL(faulty_answers, ended);
        LONGS_EQUAL(0, shared.answers.used());
        CHECK(peak_memory_bytes("self") - before < max_growth_bytes);
    }
    /// Sends a request and reads its answer, which is discarded.
    void spawn_request()
    {
        core::spawn(
            context.get_executor(),
            [](asio::io_context& c, asio::ip::tcp::endpoint to,
               std::size_t& count) -> core::task<void> {
                asio::ip::tcp::socket s(c);
                boost::system::error_code failure;
                co_await s.async_connect(to, asio::redirect_error(asio::use_awaitable, failure));
                const std::string request = "GET /x HTTP/1.1\r\nHost: desk\r\nId: 7\r\n\r\n";
                co_await asio::async_write(s, asio::buffer(request), asio::use_awaitable);
                std::array<char, 4096> bytes{};
                co_await s.async_read_some(asio::buffer(bytes),
                                           asio::redirect_error(asio::use_awaitable, failure));
                ++count;
            }(context, callers.local_endpoint(), ended));
    }
};

} // namespace

TEST_GROUP_BASE(answer_memory, endless_site){};

// A faulty endpoint sent bytes without end for many requests, and the process that had called it
// ran out of memory; the requests of other callers ended with it.
TEST(answer_memory, endless_bodies_without_a_length_leave_memory_for_others)
{
    check_others_are_served({head("7", "Genuine: 1\r\n\r\n"), reply::after_reply::close, block});
}

TEST(answer_memory, endless_chunks_leave_memory_for_others)
{
    check_others_are_served({stream_head("7"), reply::after_reply::close, chunk(block)});
}

TEST(answer_memory, large_answer_is_delivered_while_memory_is_free)
{
    configure(routes::retry_policy::at_most_once);
    const std::string body(std::size_t{4} * 1024 * 1024, 'x');
    a.replies = {{full_answer("7", body)}};
    send_request();
    LONGS_EQUAL(200, status());
    CHECK(answer.ends_with("x"));
    CHECK(answer.size() > body.size());
}
