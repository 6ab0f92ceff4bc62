#include "http/serverconnection.h"

#include "core/counters.h"
#include "core/eventlog.h"
#include "http/httpconstants.h"
#include "http/internal/headencoder.h"
#include "http/internal/messageparser.h"
#include "http/internal/messagereader.h"

#include <sys/socket.h>

#include <array>

#include <boost/beast/core/tcp_stream.hpp>

namespace currantpitch::http {

namespace beast = boost::beast;
namespace asio = core::asio;
using core::errc;
using core::error;

namespace {

bool is_too_large(const boost::system::error_code& failure)
{
    return failure == beast::http::error::body_limit ||
           failure == beast::http::error::header_limit ||
           failure == beast::http::error::buffer_overflow;
}

} // namespace

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
    core::task<core::result<void>> send(response answer);
    /// Answers a request that was not read completely and closes the connection.
    core::task<void> refuse(unsigned status, std::string reason);
    /// Reads what the caller still sends, until it closes the connection.
    core::task<void> discard_input();

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{max_unparsed_bytes};
    /// Memory of the request that is read or handled.
    std::optional<core::memory_budget::share> body_memory_;
};

core::task<core::result<request>> server_connection::implementation::read_request()
{
    body_memory_.reset();
    if (limits_.bodies != nullptr) {
        body_memory_.emplace(*limits_.bodies);
    }
    message_parser<true> parser(message_parser<true>::body_use::collected,
                                body_memory_ ? &*body_memory_ : nullptr);
    parser.eager(true);
    parser.body_limit(std::min(limits_.body_bytes, max_configurable_body_bytes));
    const std::size_t head_bytes = std::min(limits_.head_bytes, max_configurable_head_bytes);
    parser.header_limit(static_cast<std::uint32_t>(head_bytes));
    buffer_.max_size(std::max({max_unparsed_bytes, head_bytes, buffer_.size()}));
    stream_.expires_after(limits_.idle_timeout);
    const boost::system::error_code failure =
        co_await read_until(stream_, buffer_, parser, [&parser] { return parser.is_done(); });
    if (is_too_large(failure)) {
        co_await refuse(413, "message too large");
        co_return error{errc::too_large, failure.message()};
    }
    if (failure == boost::system::errc::not_enough_memory) {
        core::counter_for("requests_refused_for_memory_total").add();
        core::log_event("request_refused_for_memory", core::log_event::level::warning)
            .field("target", parser.message().target)
            .field("held_bytes", limits_.bodies->used());
        body_memory_.reset();
        co_await refuse(503, "no memory for the request");
        co_return error{errc::unavailable, failure.message()};
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
    keep_alive_ = parser.keep_alive() && !close_after_response_;
    if (buffer_.size() == 0 && buffer_.capacity() > max_kept_buffer_bytes) {
        buffer_.shrink_to_fit();
    }
    request received = std::move(parser.message());
    received.body = parser.take_body();
    co_return received;
}

core::task<core::result<void>> server_connection::implementation::send(response answer)
{
    std::string bytes = encode_response_head(answer, response_framing::with_length, keep_alive_);
    if (!never_has_body(answer.status)) {
        bytes += answer.body;
    }
    return write(std::move(bytes));
}

core::task<core::result<void>> server_connection::implementation::reply(response answer)
{
    keep_alive_ = keep_alive_ && !close_after_response_;
    const core::result<void> sent = co_await send(std::move(answer));
    if (!keep_alive_) {
        close();
    }
    co_return sent;
}

core::task<core::result<void>> server_connection::implementation::begin_stream(const response& head)
{
    keep_alive_ = keep_alive_ && !close_after_response_;
    co_return co_await write(encode_response_head(head, response_framing::chunked, keep_alive_));
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
    if (status == 503) {
        answer.headers.push_back({"Retry-After", std::to_string(refusal_retry_after.count())});
    }
    answer.body = "{\"outcome\":\"not_run\",\"reason\":\"" + reason + "\"}";
    const core::result<void> sent = co_await send(std::move(answer));
    if (sent) {
        co_await discard_input();
    }
    close();
}

core::task<void> server_connection::implementation::discard_input()
{
    boost::system::error_code failure;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    stream_.expires_after(discard_timeout);
    std::array<char, 4096> bytes{};
    std::size_t discarded = 0;
    while (!failure && discarded < max_discarded_bytes) {
        discarded += co_await stream_.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
    }
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
