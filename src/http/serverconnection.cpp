#include "http/serverconnection.h"

#include "http/httpconstants.h"

#include <sys/socket.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace currantpitch::http {

namespace beast = boost::beast;
namespace asio = core::asio;
using core::errc;
using core::error;

class server_connection::implementation {
public:
    explicit implementation(asio::ip::tcp::socket socket) : stream_(std::move(socket))
    {
        boost::system::error_code ignored;
        stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }

    core::task<core::result<request>> read_request();
    core::task<core::result<void>> reply(response answer);
    core::task<core::result<void>> begin_stream(const response& head);
    core::task<core::result<void>> write(std::string bytes);
    core::task<void> wait_for_close();
    void close();

    bool open_ = true;
    bool keep_alive_ = true;
    bool close_after_response_ = false;
    server_limits limits_;

private:
    core::task<void> refuse(unsigned status, std::string reason);

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{max_unparsed_bytes};
};

core::task<core::result<request>> server_connection::implementation::read_request()
{
    beast::http::request_parser<beast::http::string_body> parser;
    parser.body_limit(limits_.body_bytes);
    parser.header_limit(static_cast<std::uint32_t>(limits_.head_bytes));
    stream_.expires_after(limits_.idle_timeout);
    boost::system::error_code failure;
    co_await beast::http::async_read(stream_, buffer_, parser,
                                     asio::redirect_error(asio::use_awaitable, failure));
    if (failure == beast::http::error::body_limit || failure == beast::http::error::header_limit) {
        co_await refuse(413, "message too large");
        co_return error{errc::too_large, failure.message()};
    }
    const bool connection_ended =
        failure == beast::http::error::end_of_stream ||
        failure.category() !=
            beast::http::make_error_code(beast::http::error::end_of_stream).category();
    if (failure && connection_ended) {
        close();
        co_return error{errc::closed, failure.message()};
    }
    if (failure) {
        co_await refuse(400, failure.message());
        co_return error{errc::malformed, failure.message()};
    }
    const beast::http::request<beast::http::string_body>& message = parser.get();
    keep_alive_ = message.keep_alive() && !close_after_response_;
    request received;
    received.method = std::string(message.method_string());
    received.target = std::string(message.target());
    received.body = message.body();
    for (const beast::http::fields::value_type& field : message) {
        received.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    co_return received;
}

core::task<core::result<void>> server_connection::implementation::reply(response answer)
{
    keep_alive_ = keep_alive_ && !close_after_response_;
    beast::http::response<beast::http::string_body> message(
        static_cast<beast::http::status>(answer.status), 11);
    if (!answer.content_type.empty()) {
        message.set(beast::http::field::content_type, answer.content_type);
    }
    for (const header& h : answer.headers) {
        message.insert(h.name, h.value);
    }
    message.keep_alive(keep_alive_);
    message.body() = std::move(answer.body);
    message.prepare_payload();
    stream_.expires_after(write_timeout);
    boost::system::error_code failure;
    co_await beast::http::async_write(stream_, message,
                                      asio::redirect_error(asio::use_awaitable, failure));
    if (failure || !keep_alive_) {
        close();
    }
    if (failure) {
        co_return error{errc::closed, failure.message()};
    }
    co_return core::ok();
}

core::task<core::result<void>> server_connection::implementation::begin_stream(const response& head)
{
    keep_alive_ = keep_alive_ && !close_after_response_;
    beast::http::response<beast::http::empty_body> message(
        static_cast<beast::http::status>(head.status), 11);
    if (!head.content_type.empty()) {
        message.set(beast::http::field::content_type, head.content_type);
    }
    for (const header& h : head.headers) {
        message.insert(h.name, h.value);
    }
    message.keep_alive(keep_alive_);
    message.chunked(true);
    std::ostringstream text;
    text << message.base();
    co_return co_await write(text.str());
}

core::task<core::result<void>> server_connection::implementation::write(std::string bytes)
{
    stream_.expires_after(write_timeout);
    boost::system::error_code failure;
    co_await asio::async_write(stream_, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        close();
        co_return error{errc::closed, failure.message()};
    }
    co_return core::ok();
}

core::task<void> server_connection::implementation::wait_for_close()
{
    boost::system::error_code failure;
    co_await stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                         asio::redirect_error(asio::use_awaitable, failure));
    char byte = 0;
    const ssize_t got = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (!failure && got > 0) {
        // The caller has sent its next request. The read of that request detects the end of the
        // connection, so this wait does not complete.
        core::timer indefinite_wait(stream_.get_executor());
        co_await indefinite_wait.wait_until(core::time_point::max());
    }
}

core::task<void> server_connection::implementation::refuse(unsigned status, std::string reason)
{
    keep_alive_ = false;
    response answer;
    answer.status = status;
    answer.body = "{\"outcome\":\"not_run\",\"reason\":\"" + reason + "\"}";
    co_await reply(std::move(answer));
}

void server_connection::implementation::close()
{
    open_ = false;
    stream_.close();
}

server_connection::server_connection(asio::ip::tcp::socket socket)
    : impl_(std::make_unique<implementation>(std::move(socket)))
{
}

server_connection::~server_connection() = default;

core::task<core::result<request>> server_connection::read_request()
{
    return impl_->read_request();
}

core::task<core::result<void>> server_connection::reply(response answer)
{
    return impl_->reply(std::move(answer));
}

core::task<core::result<void>> server_connection::begin_stream(std::string content_type)
{
    response head;
    head.content_type = std::move(content_type);
    head.headers.push_back({"Cache-Control", "no-cache"});
    co_return co_await impl_->begin_stream(head);
}

core::task<core::result<void>> server_connection::begin_stream(const response& head)
{
    return impl_->begin_stream(head);
}

core::task<void> server_connection::wait_for_close()
{
    return impl_->wait_for_close();
}

void server_connection::close_after_response()
{
    impl_->close_after_response_ = true;
}

void server_connection::set_limits(const server_limits& limits)
{
    impl_->limits_ = limits;
}

core::task<core::result<void>> server_connection::write_chunk(std::string chunk)
{
    std::ostringstream framed;
    framed << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
    return impl_->write(framed.str());
}

core::task<core::result<void>> server_connection::end_stream()
{
    return impl_->write("0\r\n\r\n");
}

void server_connection::close()
{
    impl_->close();
}

bool server_connection::reusable() const
{
    return impl_->open_ && impl_->keep_alive_;
}

} // namespace currantpitch::http
