#include "http/clientconnection.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;
namespace asio = core::asio;

namespace {

/// A server that answers one request with the given bytes, and records how the connection ended.
struct raw_server {
    asio::ip::tcp::acceptor acceptor;
    std::string answer;
    boost::system::error_code end{};

    core::task<void> serve()
    {
        asio::ip::tcp::socket s = co_await acceptor.async_accept(asio::use_awaitable);
        std::string received;
        co_await asio::async_read_until(s, asio::dynamic_buffer(received), "\r\n\r\n",
                                        asio::use_awaitable);
        co_await asio::async_write(s, asio::buffer(answer), asio::use_awaitable);
        received.clear();
        co_await asio::async_read(s, asio::dynamic_buffer(received),
                                  asio::redirect_error(asio::use_awaitable, end));
    }
};

core::task<void> call(asio::ip::tcp::endpoint address, core::result<http::response>& outcome)
{
    const core::time_point deadline = core::runtime_clock::now() + 1s;
    http::client_connection client(co_await asio::this_coro::executor);
    co_await client.connect(address, deadline);
    http::request message;
    message.method = "GET";
    message.target = "/";
    outcome = co_await client.exchange(std::move(message), deadline);
}

core::task<void> call_and_leave(asio::ip::tcp::endpoint address)
{
    const core::time_point deadline = core::runtime_clock::now() + 100ms;
    http::client_connection client(co_await asio::this_coro::executor);
    co_await client.connect(address, deadline);
    http::request message;
    message.method = "GET";
    message.target = "/";
    co_await client.send(std::move(message), deadline);
    const core::result<http::response> head = co_await client.read_head(deadline);
    if (head) {
        co_await client.read_rest(100, deadline);
    }
}

boost::system::error_code end_of_call(const std::string& answer)
{
    asio::io_context context{1};
    raw_server server{{context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)},
                      answer};
    core::spawn(context.get_executor(), server.serve());
    core::spawn(context.get_executor(), call_and_leave(server.acceptor.local_endpoint()));
    context.run_for(5s);
    return server.end;
}

} // namespace

TEST_GROUP(client_connections){};

// A request whose caller has left must not be run when its bytes arrive late.
TEST(client_connections, connection_is_reset_while_an_answer_is_outstanding)
{
    CHECK(end_of_call("") == asio::error::connection_reset);
    CHECK(end_of_call("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nte") ==
          asio::error::connection_reset);
}

TEST(client_connections, connection_is_closed_in_order_after_a_complete_answer)
{
    CHECK(end_of_call("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext") == asio::error::eof);
    CHECK(end_of_call("HTTP/1.1 204 No Content\r\n\r\n") == asio::error::eof);
}

// The front end for agents takes whole answers: their status becomes the record of a call.
TEST(client_connections, answer_with_an_impossible_status_is_an_error)
{
    for (const std::string status : {"000", "099", "100", "199", "600", "999"}) {
        asio::io_context context{1};
        raw_server server{
            {context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)},
            "HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\ntext"};
        core::result<http::response> outcome = core::error{core::errc::timeout, "not called"};
        core::spawn(context.get_executor(), server.serve());
        core::spawn(context.get_executor(), call(server.acceptor.local_endpoint(), outcome));
        context.run_for(5s);
        CHECK(!outcome);
        CHECK(outcome.error().code == core::errc::malformed);
    }
}
