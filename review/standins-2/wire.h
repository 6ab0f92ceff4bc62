#pragma once

#include <boost/asio.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

namespace asio = boost::asio;
template <class T>
using task = asio::awaitable<T>;

/// An HTTP/1.1 message as it was read. Header names are in lower case.
struct message {
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const;
    /// Words of the start line.
    std::string word(std::size_t number) const;
    int status() const;
};

/// One side of an HTTP/1.1 connection. Has no limit on the size of a head.
class connection {
public:
    explicit connection(asio::ip::tcp::socket s) : socket_(std::move(s)) {}

    /// Connects. Empty when the address refuses.
    static task<std::optional<connection>> open(asio::ip::tcp::endpoint address);
    /// Reads a message. Empty when the connection ends before it is complete.
    task<std::optional<message>> read();
    task<bool> write(std::string bytes);
    /// Reads a body in small steps with a pause before each, as a slow reader does.
    void read_slowly(std::size_t bytes_a_step) { bytes_a_step_ = bytes_a_step; }
    /// Closes with a reset.
    void reset();
    bool is_open() const { return socket_.is_open(); }

private:
    task<bool> read_more();

    asio::ip::tcp::socket socket_;
    std::string buffer_;
    std::size_t bytes_a_step_ = 0;
};

task<void> pause_for(std::chrono::milliseconds time);

} // namespace review
