#include "core/counters.h"
#include "core/eventlog.h"
#include "http/clientconnection.h"
#include "http/internal/messageparser.h"
#include "http/internal/messagereader.h"
#include "http/serverconnection.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;
namespace asio = core::asio;

namespace {

constexpr std::size_t no_limit = std::size_t{1} << 40;

asio::ip::tcp::endpoint any_port()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

/// Answers with the sizes of the fields and of the body that it has received.
struct size_handler {
    http::server_limits allowed;
    bool repeats_field = true;

    http::server_limits limits() const { return allowed; }
    core::task<void> operator()(http::server_connection& connection, const http::request& received)
    {
        http::response answer;
        if (repeats_field) {
            // As a refusal repeats the id of its request.
            answer.headers = {{"Id", received.header_value("Long").value_or("")}};
        }
        answer.body = std::to_string(received.header_value("Long").value_or("").size()) + " " +
                      std::to_string(received.body.size());
        co_await connection.reply(std::move(answer));
    }
};

/// Sends the texts one after another on one connection and reads what comes until it ends or the
/// time is over.
core::task<void> send_texts(asio::ip::tcp::endpoint to, std::vector<std::string> texts,
                            std::string& received)
{
    asio::ip::tcp::socket s(co_await asio::this_coro::executor);
    boost::system::error_code failure;
    co_await s.async_connect(to, asio::redirect_error(asio::use_awaitable, failure));
    std::array<char, 4096> bytes{};
    for (const std::string& text : texts) {
        co_await asio::async_write(s, asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, failure));
        const std::size_t size = co_await s.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
        received.append(bytes.data(), size);
    }
    s.shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    failure.clear();
    while (!failure) {
        const std::size_t size = co_await s.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
        received.append(bytes.data(), size);
    }
    if (failure != asio::error::eof) {
        received += "reset";
    }
}

std::string get(std::size_t field_bytes)
{
    return "GET / HTTP/1.1\r\nHost: h\r\nLong: " + std::string(field_bytes, 'x') + "\r\n\r\n";
}

/// Serves each list of texts on a connection of its own and returns what was received on each.
std::vector<std::string> exchange(http::server_limits limits,
                                  const std::vector<std::vector<std::string>>& connections)
{
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor(context, any_port());
    size_handler handler{.allowed = limits};
    core::spawn(context.get_executor(), http::serve(acceptor, handler));
    std::vector<std::string> received(connections.size());
    std::size_t open = connections.size();
    for (std::size_t i = 0; i < connections.size(); ++i) {
        core::spawn_then(
            context.get_executor(),
            [](core::task<void> work) -> core::task<core::result<void>> {
                co_await std::move(work);
                co_return core::ok();
            }(send_texts(acceptor.local_endpoint(), connections[i], received[i])),
            [&open, &context](const core::result<void>&) {
                if (--open == 0) {
                    context.stop();
                }
            });
    }
    context.run_for(10s);
    return received;
}

unsigned status_of(const std::string& answer)
{
    return answer.size() > 12 ? static_cast<unsigned>(std::stoul(answer.substr(9, 3))) : 0;
}

/// Reads an endpoint's answer of these bytes as a whole and in pieces; returns whether both failed.
bool refused_by_client(const std::string& bytes)
{
    bool refused = true;
    for (const bool in_pieces : {false, true}) {
        asio::io_context context{1};
        asio::ip::tcp::acceptor acceptor(context, any_port());
        core::spawn(
            context.get_executor(),
            [](asio::ip::tcp::acceptor& a, const std::string& text) -> core::task<void> {
                asio::ip::tcp::socket s = co_await a.async_accept(asio::use_awaitable);
                boost::system::error_code failure;
                co_await asio::async_write(s, asio::buffer(text),
                                           asio::redirect_error(asio::use_awaitable, failure));
                std::string ignored;
                co_await asio::async_read(s, asio::dynamic_buffer(ignored),
                                          asio::redirect_error(asio::use_awaitable, failure));
            }(acceptor, bytes));
        core::spawn(context.get_executor(),
                    [](asio::ip::tcp::endpoint to, bool pieces, bool& out,
                       asio::io_context& io) -> core::task<void> {
                        const core::time_point deadline = core::runtime_clock::now() + 2s;
                        http::client_connection client(io.get_executor());
                        co_await client.connect(to, deadline);
                        http::request message;
                        if (!pieces) {
                            const core::result<http::response> whole =
                                co_await client.exchange(std::move(message), deadline);
                            out = out && !whole;
                        }
                        else {
                            const core::result<http::response> head =
                                co_await client.open_stream(std::move(message), deadline);
                            if (head) {
                                const core::result<std::string> body =
                                    co_await client.read_rest(http::max_response_bytes, deadline);
                                out = out && !body;
                            }
                        }
                        io.stop();
                    }(acceptor.local_endpoint(), in_pieces, refused, context));
        context.run_for(5s);
    }
    return refused;
}

} // namespace

TEST_GROUP(message_limits){void setup() override{core::silence_log();
}
}
;

// Guards against a field above 64 KiB that ends the process (review case 7).
TEST(message_limits, long_field_within_the_limit_is_served)
{
    const http::server_limits limits{131'072, http::max_body_bytes, 1min};
    const std::vector<std::string> received = exchange(
        limits, {{get(60), get(75'000), get(60)}, {get(75'000)}, {get(65'533), get(65'534)}});
    for (const std::string& answer : received) {
        LONGS_EQUAL(200, status_of(answer));
    }
    CHECK(received[0].find("75000 0") != std::string::npos);
    CHECK(received[0].ends_with("60 0"));
    CHECK(received[2].ends_with("65534 0"));
}

// Guards against a refusal that the caller loses as its connection is reset.
TEST(message_limits, message_above_the_limit_is_refused_and_the_caller_learns_it)
{
    const http::server_limits limits{16'384, 100'000, 1min};
    const std::string long_body = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n" +
                                  std::string(3'000'000, 'b');
    const std::vector<std::string> received =
        exchange(limits, {{get(20'000)}, {get(60), get(2'000'000)}, {long_body}, {get(60)}});
    LONGS_EQUAL(413, status_of(received[0]));
    LONGS_EQUAL(200, status_of(received[1]));
    CHECK(received[1].find("HTTP/1.1 413") != std::string::npos);
    LONGS_EQUAL(413, status_of(received[2]));
    LONGS_EQUAL(200, status_of(received[3]));
    for (const std::string& answer : received) {
        CHECK(!answer.ends_with("reset"));
    }
}

// Guards against limits that do not fit the types of the parser, and lengths that no memory holds.
TEST(message_limits, limits_and_lengths_of_any_size_are_borne)
{
    const std::string endless =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000000000\r\n\r\nb";
    const std::vector<std::string> received =
        exchange({no_limit, no_limit, 1min}, {{get(75'000)}, {endless}, {get(60)}});
    LONGS_EQUAL(200, status_of(received[0]));
    LONGS_EQUAL(413, status_of(received[1]));
    LONGS_EQUAL(200, status_of(received[2]));
}

// The limits of the first request of a connection are those of the others.
TEST(message_limits, first_request_of_a_connection_has_the_limits_of_the_handler)
{
    const http::server_limits limits{65'536, 4 * http::max_body_bytes, 1min};
    const std::size_t bytes = http::max_body_bytes + 1;
    const std::string post =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" +
        std::string(bytes, 'b');
    const std::vector<std::string> received = exchange(limits, {{get(40'000)}, {post}});
    LONGS_EQUAL(200, status_of(received[0]));
    LONGS_EQUAL(200, status_of(received[1]));
}

// Guards against a field that is read from a caller and cannot be written to an endpoint.
TEST(message_limits, long_field_is_sent)
{
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor(context, any_port());
    size_handler handler{{131'072, http::max_body_bytes, 1min}, false};
    core::spawn(context.get_executor(), http::serve(acceptor, handler));
    std::string body;
    core::spawn(
        context.get_executor(),
        [](asio::ip::tcp::endpoint to, std::string& out, asio::io_context& io) -> core::task<void> {
            const core::time_point deadline = core::runtime_clock::now() + 2s;
            http::client_connection client(io.get_executor());
            co_await client.connect(to, deadline);
            http::request message;
            message.method = "POST";
            // The lengths of the message itself count.
            message.headers = {{"Long", std::string(75'000, 'x')},
                               {"content-length", "9"},
                               {"transfer-encoding", "chunked"}};
            const std::string sent_body = "body";
            co_await client.send(std::move(message), sent_body, deadline);
            co_await client.read_head(deadline);
            const core::result<std::string> answer = co_await client.read_rest(100, deadline);
            out = answer ? answer.value() : "";
            io.stop();
        }(acceptor.local_endpoint(), body, context));
    context.run_for(5s);
    STRCMP_EQUAL("75000 4", body.c_str());
}

// Guards against bodies that together exceed the memory of the process (review case 9).
TEST(message_limits, requests_without_memory_are_refused_and_others_served)
{
    core::memory_budget memory(1000);
    const http::server_limits limits{16'384, 100'000, 1min, &memory};
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::string small = head + "Content-Length: 600\r\n\r\n" + std::string(600, 'b');
    const std::string large = head + "Content-Length: 1200\r\n\r\n" + std::string(1200, 'b');
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n4b0\r\n" +
                                std::string(1200, 'b') + "\r\n0\r\n\r\n";
    const std::vector<std::string> received =
        exchange(limits, {{small, small, large}, {large}, {chunked}, {get(60)}});
    CHECK(received[0].find("0 600") != received[0].rfind("0 600"));
    CHECK(received[0].find("HTTP/1.1 503") != std::string::npos);
    LONGS_EQUAL(503, status_of(received[1]));
    CHECK(received[1].find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(received[1].find("not_run") != std::string::npos);
    LONGS_EQUAL(503, status_of(received[2]));
    LONGS_EQUAL(200, status_of(received[3]));
    LONGS_EQUAL(0, memory.used());
}

// Guards against endpoints whose answers end the process that reads them.
TEST(message_limits, long_fields_of_answers_end_only_their_connection)
{
    const std::string field = "Long: " + std::string(100'000, 'x') + "\r\n";
    CHECK(refused_by_client("HTTP/1.1 200 OK\r\n" + field + "Content-Length: 0\r\n\r\n"));
    CHECK(refused_by_client("HTTP/1.1 200 OK\r\nContent-Length: 90000000000000000000\r\n\r\n"));
    // A trailer isn't part of the answer.
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    refused_by_client(chunked + field + "\r\n");
    refused_by_client(chunked + "Long: " + std::string(300'000, 'x') + "\r\n\r\n");
}

// One message must end at most its own connection, whatever its sizes and the limits are.
TEST(message_limits, each_message_is_answered_or_refused)
{
    CHECK_PROPERTY("sizes of fields and limits", [] {
        const http::server_limits limits{
            *rc::gen::element<std::size_t>(0, 1, 8'192, 65'535, 65'536, 131'072, 1 << 20,
                                           std::size_t{1} << 32, no_limit),
            *rc::gen::element<std::size_t>(0, 1, 100'000, std::size_t{1} << 32, no_limit), 1min};
        const std::size_t field_bytes = *rc::gen::element<std::size_t>(
            0, 1, 8'000, 65'530, 65'533, 65'534, 65'535, 65'536, 130'000, 300'000, 1'100'000);
        const std::string length =
            *rc::gen::element<std::string>("0", "1", "100000", "4294967296", "1099511627776",
                                           "18446744073709551615", "18446744073709551616");
        const std::string post =
            "POST / HTTP/1.1\r\nHost: h\r\nLong: " + std::string(field_bytes, 'x') +
            "\r\nContent-Length: " + length + "\r\n\r\n" +
            std::string(length.size() <= 6 ? std::stoul(length) : 0, 'b');
        const bool kept = *rc::gen::arbitrary<bool>();
        const std::vector<std::string> received =
            exchange(limits, {kept ? std::vector{get(10), post} : std::vector{post}, {get(10)}});
        RC_LOG(received[0].substr(0, 300));
        const std::string last = received[0].substr(received[0].rfind("HTTP/1.1"));
        RC_ASSERT((status_of(last) == 200 || status_of(last) == 413 || status_of(last) == 400));
        RC_ASSERT(!received[0].ends_with("reset"));
        RC_ASSERT(status_of(received[1]) == (limits.head_bytes < 100 ? 413U : 200U));
    });
}

namespace {

struct throwing_parser {
    std::size_t put(asio::const_buffer, boost::system::error_code&)
    {
        throw std::length_error("too long");
    }
};

} // namespace

TEST(message_limits, exception_of_a_parser_is_an_error_of_the_message)
{
    throwing_parser parser;
    boost::system::error_code failure;
    core::counter& counted = core::counter_for("http_parse_exceptions_total");
    const std::uint64_t before = counted.value();
    LONGS_EQUAL(0, http::parse_received(parser, asio::buffer("x"), failure));
    CHECK(failure == boost::beast::http::error::buffer_overflow);
    LONGS_EQUAL(before + 1, counted.value());
}
