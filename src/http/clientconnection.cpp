#include "http/clientconnection.h"

#include "http/httpconstants.h"
#include "http/internal/headencoder.h"
#include "http/internal/messageparser.h"
#include "http/internal/messagereader.h"
#include "wire/framedconnection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

namespace currantpitch::http {

namespace beast = boost::beast;
namespace asio = core::asio;
using core::errc;
using core::error;

namespace {

/// Statuses of final responses. No request asks for an interim one.
constexpr unsigned min_final_status = 200;
constexpr unsigned max_final_status = 599;

using response_parser = message_parser<false>;

/// Takes the head of a response. errc::malformed when its status is not that of a final response:
/// the parser accepts any three digits.
core::result<response> take_head(response_parser& parser)
{
    const unsigned status = parser.message().status;
    if (status < min_final_status || status > max_final_status) {
        return error{errc::malformed, "impossible status " + std::to_string(status)};
    }
    response head = std::move(parser.message());
    head.content_type = head.header_value("Content-Type").value_or("");
    return head;
}

} // namespace

class client_connection::implementation {
public:
    explicit implementation(const asio::any_io_executor& executor) : socket_(executor) {}
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    ~implementation() { close(); }

    core::task<core::result<void>> send(request message, std::string_view body);
    core::task<core::result<response>> exchange(request message);
    core::task<core::result<response>> read_head();
    core::task<core::result<response>> open_stream(request message);
    core::task<core::result<std::string>> read_some();
    core::task<core::result<std::string>> read_rest(std::size_t max_bytes);
    bool reusable() const;
    bool still_idle();
    bool has_unread_bytes() const;
    void close();

    asio::ip::tcp::socket socket_;

private:
    beast::flat_buffer buffer_{max_unparsed_bytes};
    std::optional<response_parser> stream_;
    /// A request or a part of one was sent whose answer has not been read completely.
    bool answer_outstanding_ = false;
};

core::task<core::result<void>> client_connection::implementation::send(request message,
                                                                       std::string_view body)
{
    const std::string head = encode_request_head(message, body.size());
    const std::array<asio::const_buffer, 2> bytes{asio::buffer(head), asio::buffer(body)};
    answer_outstanding_ = true;
    boost::system::error_code failure;
    co_await asio::async_write(socket_, bytes, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        co_return error{errc::closed, failure.message()};
    }
    co_return core::ok();
}

core::task<core::result<response>> client_connection::implementation::exchange(request message)
{
    const std::string body = std::move(message.body);
    const core::result<void> sent = co_await send(std::move(message), body);
    if (!sent) {
        co_return sent.error();
    }
    response_parser parser(response_parser::body_use::collected);
    parser.eager(true);
    parser.body_limit(max_response_bytes);
    parser.header_limit(static_cast<std::uint32_t>(max_head_bytes));
    const boost::system::error_code failure =
        co_await read_until(socket_, buffer_, parser, [&parser] { return parser.is_done(); });
    if (failure) {
        co_return error{errc::closed, failure.message()};
    }
    answer_outstanding_ = false;
    core::result<response> received = take_head(parser);
    if (!received) {
        co_return received.error();
    }
    received.value().body = parser.take_body();
    if (!parser.keep_alive()) {
        close();
    }
    co_return received;
}

core::task<core::result<response>> client_connection::implementation::open_stream(request message)
{
    const std::string body = std::move(message.body);
    const core::result<void> sent = co_await send(std::move(message), body);
    if (!sent) {
        co_return sent.error();
    }
    co_return co_await read_head();
}

core::task<core::result<response>> client_connection::implementation::read_head()
{
    stream_.emplace(response_parser::body_use::taken_in_pieces);
    stream_->body_limit(boost::none);
    stream_->header_limit(static_cast<std::uint32_t>(max_head_bytes));
    const boost::system::error_code failure = co_await read_until(
        socket_, buffer_, *stream_, [this] { return stream_->is_header_done(); });
    if (failure) {
        co_return error{errc::closed, failure.message()};
    }
    answer_outstanding_ = !stream_->is_done();
    co_return take_head(*stream_);
}

core::task<core::result<std::string>> client_connection::implementation::read_some()
{
    // A read that consumes only a chunk header returns no bytes of the body. This is not the end of
    // the body.
    if (stream_ && !stream_->is_done()) {
        const boost::system::error_code failure =
            co_await read_until(socket_, buffer_, *stream_,
                                [this] { return stream_->is_done() || stream_->has_body_bytes(); });
        if (failure) {
            co_return error{errc::closed, failure.message()};
        }
        answer_outstanding_ = !stream_->is_done();
        co_return stream_->take_body();
    }
    co_return std::string();
}

core::task<core::result<std::string>>
client_connection::implementation::read_rest(std::size_t max_bytes)
{
    std::string body;
    while (true) {
        const core::result<std::string> piece = co_await read_some();
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            co_return body;
        }
        body += piece.value();
        if (body.size() > max_bytes) {
            co_return error{errc::too_large, "the body is too large"};
        }
    }
}

bool client_connection::implementation::reusable() const
{
    return socket_.is_open() && stream_ && stream_->is_done() && stream_->keep_alive() &&
           buffer_.size() == 0;
}

bool client_connection::implementation::still_idle()
{
    char byte = 0;
    const ssize_t got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool client_connection::implementation::has_unread_bytes() const
{
    boost::system::error_code ignored;
    return socket_.is_open() && socket_.available(ignored) > 0;
}

void client_connection::implementation::close()
{
    boost::system::error_code ignored;
    if (answer_outstanding_ && socket_.is_open()) {
        // Discards what the server has not received yet, and lets it stop at once.
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket_.close(ignored);
}

client_connection::client_connection(const asio::any_io_executor& executor)
    : impl_(std::make_unique<implementation>(executor))
{
}

client_connection::client_connection(client_connection&&) noexcept = default;
client_connection& client_connection::operator=(client_connection&&) noexcept = default;
client_connection::~client_connection() = default;

core::task<core::result<void>> client_connection::connect(asio::ip::tcp::endpoint address,
                                                          core::time_point deadline)
{
    core::result<asio::ip::tcp::socket> connected = co_await wire::connect(address, deadline);
    if (!connected) {
        co_return connected.error();
    }
    impl_->socket_ = std::move(connected.value());
    boost::system::error_code ignored;
    impl_->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return core::ok();
}

void client_connection::enable_keepalive_probes(std::chrono::seconds interval, int probes)
{
    const int seconds = static_cast<int>(interval.count());
    boost::system::error_code ignored;
    impl_->socket_.set_option(asio::socket_base::keep_alive(true), ignored);
    const int socket = impl_->socket_.native_handle();
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

bool client_connection::is_open() const
{
    return impl_->socket_.is_open();
}

void client_connection::close()
{
    impl_->close();
}

core::task<core::result<response>> client_connection::exchange(request message,
                                                               core::time_point deadline)
{
    core::task<core::result<response>> work = impl_->exchange(std::move(message));
    core::result<response> answer = co_await core::with_deadline(std::move(work), deadline);
    if (!answer) {
        impl_->close();
    }
    co_return answer;
}

core::task<core::result<void>> client_connection::send(request message, core::time_point deadline)
{
    const std::string body = std::move(message.body);
    co_return co_await send(std::move(message), body, deadline);
}

core::task<core::result<void>> client_connection::send(request head, std::string_view body,
                                                       core::time_point deadline)
{
    core::task<core::result<void>> work = impl_->send(std::move(head), body);
    core::result<void> sent = co_await core::with_deadline(std::move(work), deadline);
    if (!sent) {
        impl_->close();
    }
    co_return sent;
}

core::task<core::result<response>> client_connection::read_head(core::time_point deadline)
{
    core::task<core::result<response>> work = impl_->read_head();
    core::result<response> head = co_await core::with_deadline(std::move(work), deadline);
    if (!head) {
        impl_->close();
    }
    co_return head;
}

core::task<core::result<std::string>> client_connection::read_rest(std::size_t max_bytes,
                                                                   core::time_point deadline)
{
    core::task<core::result<std::string>> work = impl_->read_rest(max_bytes);
    core::result<std::string> body = co_await core::with_deadline(std::move(work), deadline);
    if (!body) {
        impl_->close();
    }
    co_return body;
}

bool client_connection::reusable() const
{
    return impl_->reusable();
}

bool client_connection::has_unread_bytes() const
{
    return impl_->has_unread_bytes();
}

bool client_connection::still_idle() const
{
    return impl_->still_idle();
}

core::task<core::result<response>> client_connection::open_stream(request message,
                                                                  core::time_point deadline)
{
    core::task<core::result<response>> work = impl_->open_stream(std::move(message));
    core::result<response> head = co_await core::with_deadline(std::move(work), deadline);
    if (!head) {
        impl_->close();
    }
    co_return head;
}

core::task<core::result<std::string>> client_connection::read_some(core::time_point deadline)
{
    core::task<core::result<std::string>> work = impl_->read_some();
    core::result<std::string> piece = co_await core::with_deadline(std::move(work), deadline);
    if (!piece) {
        impl_->close();
    }
    co_return piece;
}

std::optional<std::string> record_splitter::next()
{
    const std::size_t end = buffer_.find(separator_);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    std::string record = buffer_.substr(0, end);
    buffer_.erase(0, end + separator_.size());
    return record;
}

} // namespace currantpitch::http
