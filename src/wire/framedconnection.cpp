#include "wire/framedconnection.h"

#include "core/counters.h"
#include "wire/wireconstants.h"

#include <array>
#include <charconv>
#include <sstream>

namespace currantpitch::wire {

namespace asio = core::asio;
using core::errc;
using core::error;

namespace {

std::string make_frame(const std::string& payload)
{
    const std::uint32_t length = static_cast<std::uint32_t>(payload.size() + 1);
    std::string frame;
    frame.reserve(length_field_bytes + length);
    for (int shift = 24; shift >= 0; shift -= 8) {
        frame += static_cast<char>(length >> shift & 0xff);
    }
    frame += static_cast<char>(protocol_version);
    frame += payload;
    return frame;
}

} // namespace

framed_connection::framed_connection(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)), queue_changed_(socket_.get_executor()),
      last_received_(core::runtime_clock::now())
{
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

core::task<core::result<std::string>> framed_connection::receive()
{
    std::array<unsigned char, length_field_bytes> head{};
    boost::system::error_code failure;
    co_await asio::async_read(socket_, asio::buffer(head),
                              asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        co_return error{errc::closed, failure.message()};
    }
    std::size_t length = 0;
    for (const unsigned char byte : head) {
        length = length << 8 | byte;
    }
    if (length == 0) {
        co_return error{errc::malformed, "empty frame"};
    }
    if (length > max_frame_bytes) {
        co_return error{errc::too_large, "frame of " + std::to_string(length) + " bytes"};
    }
    std::string body(length, '\0');
    co_await asio::async_read(socket_, asio::buffer(body),
                              asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        co_return error{errc::closed, failure.message()};
    }
    if (static_cast<std::uint8_t>(body[0]) != protocol_version) {
        co_return error{errc::malformed, "unknown protocol version"};
    }
    last_received_ = core::runtime_clock::now();
    bytes_received_ += length_field_bytes + length;
    body.erase(0, 1);
    co_return body;
}

bool framed_connection::send(std::string payload)
{
    if (closed_) {
        return false;
    }
    if (payload.size() >= max_frame_bytes || queued_bytes_ + payload.size() > max_queued_bytes) {
        core::counter_for("wire_queue_overflows_total").add();
        close();
        return false;
    }
    last_queued_ = core::runtime_clock::now();
    queued_bytes_ += payload.size();
    queue_.push_back(std::move(payload));
    queue_changed_.notify();
    return true;
}

core::task<void> framed_connection::write_loop()
{
    while (!closed_) {
        if (queue_.empty()) {
            co_await queue_changed_.wait();
            continue;
        }
        std::string batch;
        while (!queue_.empty()) {
            batch += make_frame(queue_.front());
            queued_bytes_ -= queue_.front().size();
            queue_.pop_front();
        }
        boost::system::error_code failure;
        co_await asio::async_write(socket_, asio::buffer(batch),
                                   asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            close();
        }
        bytes_sent_ += batch.size();
    }
}

void framed_connection::close()
{
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    queue_changed_.notify();
}

core::task<core::result<asio::ip::tcp::socket>> connect(asio::ip::tcp::endpoint address,
                                                        core::time_point deadline)
{
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    core::task<core::result<void>> attempt =
        [](asio::ip::tcp::socket& s, asio::ip::tcp::endpoint to) -> core::task<core::result<void>> {
        boost::system::error_code failure;
        co_await s.async_connect(to, asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            co_return error{errc::unavailable, failure.message()};
        }
        co_return core::ok();
    }(socket, address);
    const core::result<void> connected = co_await core::with_deadline(std::move(attempt), deadline);
    if (!connected) {
        co_return connected.error();
    }
    co_return std::move(socket);
}

core::task<core::result<std::string>> receive_first(framed_connection& connection,
                                                    core::time_point deadline)
{
    core::task<core::result<std::string>> reading =
        [](framed_connection& c) -> core::task<core::result<std::string>> {
        using namespace asio::experimental::awaitable_operators;
        std::variant<core::result<std::string>, std::monostate> first =
            co_await (c.receive() || c.write_loop());
        if (first.index() == 1) {
            co_return error{errc::closed, "the connection failed"};
        }
        co_return std::get<0>(std::move(first));
    }(connection);
    co_return co_await core::with_deadline(std::move(reading), deadline);
}

core::result<void> open_listener(asio::ip::tcp::acceptor& acceptor,
                                 const asio::ip::tcp::endpoint& address)
{
    boost::system::error_code failure;
    acceptor.open(address.protocol(), failure);
    if (!failure) {
        acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    }
    if (!failure) {
        acceptor.bind(address, failure);
    }
    if (!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        std::ostringstream text;
        text << address << ": " << failure.message();
        return error{errc::unavailable, text.str()};
    }
    return core::ok();
}

core::result<asio::ip::tcp::endpoint> parse_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return error{errc::invalid_argument, "expected ADDRESS:PORT, got \"" + text + "\""};
    }
    boost::system::error_code failure;
    const asio::ip::address address = asio::ip::make_address(text.substr(0, colon), failure);
    std::uint16_t port = 0;
    const char* const first = text.data() + colon + 1;
    const char* const last = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(first, last, port);
    if (failure || parsed.ec != std::errc() || parsed.ptr != last) {
        return error{errc::invalid_argument, "expected ADDRESS:PORT, got \"" + text + "\""};
    }
    return asio::ip::tcp::endpoint(address, port);
}

} // namespace currantpitch::wire
