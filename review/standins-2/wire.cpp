#include "wire.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <sstream>

namespace review {

namespace {

constexpr std::size_t read_step = 64 * 1024;
constexpr std::chrono::milliseconds slow_step_pause{100};

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

std::string message::header(const std::string& name) const
{
    for (const auto& [key, value] : headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

std::string message::word(std::size_t number) const
{
    std::istringstream words(start);
    std::string word;
    for (std::size_t i = 0; i <= number; ++i) {
        word.clear();
        words >> word;
    }
    return word;
}

int message::status() const
{
    return std::atoi(word(1).c_str());
}

task<void> pause_for(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

task<std::optional<connection>> connection::open(asio::ip::tcp::endpoint address)
{
    asio::ip::tcp::socket s(co_await asio::this_coro::executor);
    boost::system::error_code failure;
    co_await s.async_connect(address, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        co_return std::nullopt;
    }
    s.set_option(asio::ip::tcp::no_delay(true), failure);
    co_return connection(std::move(s));
}

task<bool> connection::read_more()
{
    std::string piece(bytes_a_step_ > 0 ? bytes_a_step_ : read_step, '\0');
    if (bytes_a_step_ > 0 && !buffer_.empty()) {
        co_await pause_for(slow_step_pause);
    }
    boost::system::error_code failure;
    const std::size_t size = co_await socket_.async_read_some(
        asio::buffer(piece), asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        socket_.close(failure);
        co_return false;
    }
    buffer_.append(piece, 0, size);
    co_return true;
}

task<std::optional<message>> connection::read()
{
    std::size_t end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!co_await read_more()) {
            co_return std::nullopt;
        }
        end = buffer_.find("\r\n\r\n");
    }
    message m;
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::getline(head, m.start);
    std::string line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        m.headers.emplace_back(to_lower(line.substr(0, colon)),
                               value == std::string::npos ? "" : line.substr(value));
    }
    if (m.header("transfer-encoding") == "chunked") {
        while (true) {
            std::size_t line_end = buffer_.find("\r\n");
            while (line_end == std::string::npos) {
                if (!co_await read_more()) {
                    co_return std::nullopt;
                }
                line_end = buffer_.find("\r\n");
            }
            const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line_end + 4 + size) {
                if (!co_await read_more()) {
                    co_return std::nullopt;
                }
            }
            m.body.append(buffer_, line_end + 2, size);
            buffer_.erase(0, line_end + 4 + size);
            if (size == 0) {
                co_return m;
            }
        }
    }
    const std::size_t length = std::strtoul(m.header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
        if (!co_await read_more()) {
            co_return std::nullopt;
        }
    }
    m.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    co_return m;
}

task<bool> connection::write(std::string bytes)
{
    boost::system::error_code failure;
    co_await asio::async_write(socket_, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

void connection::reset()
{
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

} // namespace review
