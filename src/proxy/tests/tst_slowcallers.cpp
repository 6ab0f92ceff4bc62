#include "flowsite.h"

using namespace currantpitch;
using namespace currantpitch::testing;

namespace {

/// Size of one event, and number of events: more than the buffers of the two connections hold.
constexpr std::size_t event_bytes = std::size_t{64} * 1024;
constexpr int event_count = 512;

std::string large_events()
{
    std::string out;
    for (int i = 0; i < event_count; ++i) {
        out +=
            chunk("id: " + std::to_string(i) + "\ndata: " + std::string(event_bytes, 'x') + "\n\n");
    }
    return out;
}

struct slow_callers_reader {
    asio::io_context& context;
    asio::ip::tcp::endpoint to;
    std::size_t& received;
};

} // namespace

TEST_GROUP_BASE(slow_callers, flow_site)
{
    std::size_t received = 0;

    /// Sends a request and reads its answer only after a pause.
    void read_after(std::chrono::milliseconds pause)
    {
        core::spawn(
            context.get_executor(),
            [](slow_callers_reader reader, std::chrono::milliseconds p) -> core::task<void> {
                asio::ip::tcp::socket s(reader.context);
                boost::system::error_code failure;
                co_await s.async_connect(reader.to,
                                         asio::redirect_error(asio::use_awaitable, failure));
                const std::string request = "GET /x HTTP/1.1\r\nHost: desk\r\nId: 7\r\n"
                                            "Connection: close\r\n\r\n";
                co_await asio::async_write(s, asio::buffer(request), asio::use_awaitable);
                co_await core::sleep_for(p);
                std::vector<char> bytes(event_bytes);
                while (!failure) {
                    reader.received += co_await s.async_read_some(
                        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
                }
                reader.context.stop();
            }(slow_callers_reader{context, callers.local_endpoint(), received}, pause));
        context.restart();
    }
};

// A gateway that read events faster than the caller takes them would buffer the whole stream.
TEST(slow_callers, events_are_read_from_the_endpoint_although_the_caller_does_not_take_them)
{
    configure(routes::retry_policy::one_shot_stream, 20s);
    // The repeated bytes end the stream once all events are written.
    a.replies = {{stream_head("7") + large_events(), reply::after_reply::close, "0\r\n\r\n", 10s}};
    read_after(1500ms);
    context.run_for(1000ms);
    LONGS_EQUAL(1, a.received_requests.size());
    LONGS_EQUAL(0, a.repeated_bytes);
    context.restart();
    context.run_for(10s);
    CHECK(a.repeated_bytes > 0);
    CHECK(received > event_count * event_bytes);
}
