#include "http/clientconnection.h"
#include "http/serverconnection.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
namespace asio = core::asio;

TEST_GROUP(messages){};

TEST(messages, query_values_are_decoded)
{
    http::request r;
    r.target = "/v1/addresses?workspace=mali%20koderi&x=1";
    CHECK(r.path() == "/v1/addresses");
    CHECK(r.query("workspace") == "mali koderi");
    CHECK(r.query("x") == "1");
    CHECK(!r.query("y").has_value());
}

TEST(messages, records_are_split_at_separator)
{
    http::record_splitter splitter("\n\n");
    splitter.add("data: 1\n");
    CHECK(!splitter.next().has_value());
    splitter.add("\ndata: 2\n\nda");
    CHECK(splitter.next() == "data: 1");
    CHECK(splitter.next() == "data: 2");
    CHECK(!splitter.next().has_value());
}

namespace {

struct streaming_handler {
    bool complete = true;

    core::task<void> operator()(http::server_connection& connection, const http::request& received)
    {
        if (received.path() == "/plain") {
            http::response answer;
            answer.body = received.body;
            co_await connection.reply(std::move(answer));
            co_return;
        }
        co_await connection.begin_stream("text/event-stream");
        co_await connection.write_chunk("data: 1\n\n");
        if (complete) {
            co_await connection.end_stream();
            co_return;
        }
        connection.close();
    }
};

core::task<void> run_client(asio::ip::tcp::endpoint address, std::string target,
                            core::result<std::string>& body, asio::ip::tcp::acceptor& acceptor)
{
    const core::time_point deadline = core::runtime_clock::now() + std::chrono::seconds(5);
    http::client_connection client(co_await asio::this_coro::executor);
    co_await client.connect(address, deadline);
    http::request message;
    message.method = "POST";
    message.target = target;
    message.body = "text";
    if (target == "/plain") {
        core::result<http::response> answer = co_await client.exchange(message, deadline);
        body = answer.value().body;
    }
    else {
        co_await client.open_stream(message, deadline);
        std::string all;
        core::result<std::string> piece = co_await client.read_some(deadline);
        while (piece && !piece.value().empty()) {
            all += piece.value();
            piece = co_await client.read_some(deadline);
        }
        body = piece ? core::result<std::string>(all) : core::result<std::string>(piece.error());
    }
    acceptor.close();
}

core::result<std::string> run_exchange(const std::string& target, bool complete)
{
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor(
        context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    streaming_handler handler{complete};
    core::result<std::string> body = core::error{};
    core::spawn(context.get_executor(), http::serve(acceptor, handler));
    core::spawn(context.get_executor(),
                run_client(acceptor.local_endpoint(), target, body, acceptor));
    context.run_for(std::chrono::seconds(10));
    return body;
}

} // namespace

TEST_GROUP(exchanges){};

TEST(exchanges, complete_responses_and_streams_arrive)
{
    CHECK(run_exchange("/plain", true).value() == "text");
    CHECK(run_exchange("/stream", true).value() == "data: 1\n\n");
}

TEST(exchanges, truncated_stream_is_an_error)
{
    CHECK(run_exchange("/stream", false).error().code == core::errc::closed);
}
