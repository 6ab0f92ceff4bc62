#include "soak/faultproxy.h"

#include "core/timer.h"
#include "wire/framedconnection.h"

#include <array>
#include <stdexcept>

namespace currantpitch::soak {

namespace asio = core::asio;
using boost::system::error_code;

namespace {

/// Maximum number of bytes read at once. A blocked direction buffers about this many.
constexpr std::size_t chunk_bytes = 16 * 1024;
/// Delay before accepting again after a failed accept.
constexpr std::chrono::milliseconds accept_retry_delay{20};

} // namespace

fault_proxy::fault_proxy(const asio::any_io_executor& executor, asio::ip::tcp::endpoint listen,
                         asio::ip::tcp::endpoint target)
    : executor_(executor), acceptor_(executor), address_(std::move(listen)),
      target_(std::move(target)), changed_(executor)
{
    open();
}

void fault_proxy::open()
{
    const core::result<void> opened = wire::open_listener(acceptor_, address_);
    if (!opened) {
        throw std::runtime_error("proxy cannot listen: " + opened.error().detail);
    }
    address_ = acceptor_.local_endpoint();
}

core::task<void> fault_proxy::run()
{
    while (true) {
        error_code failure;
        const std::shared_ptr<link> l = std::make_shared<link>(executor_);
        co_await acceptor_.async_accept(l->client,
                                        asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            co_await core::sleep_for(accept_retry_delay);
            continue;
        }
        if (faults_.refuses) {
            reset(*l);
            continue;
        }
        core::spawn(executor_, relay(l));
    }
}

core::task<void> fault_proxy::relay(std::shared_ptr<link> l)
{
    using namespace asio::experimental::awaitable_operators;
    error_code failure;
    co_await l->server.async_connect(target_, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        reset(*l);
        co_return;
    }
    l->client.set_option(asio::ip::tcp::no_delay(true), failure);
    l->server.set_option(asio::ip::tcp::no_delay(true), failure);
    links_.push_back(l);
    co_await (forward(l, direction::up) && forward(l, direction::down));
    links_.remove(l);
    l->client.close(failure);
    l->server.close(failure);
}

bool fault_proxy::blocked(const link& l, direction d) const
{
    return l.silent || (d == direction::up ? faults_.cut_up : faults_.cut_down);
}

core::task<void> fault_proxy::forward(std::shared_ptr<link> l, direction d)
{
    asio::ip::tcp::socket& from = d == direction::up ? l->client : l->server;
    asio::ip::tcp::socket& to = d == direction::up ? l->server : l->client;
    std::array<char, chunk_bytes> chunk{};
    while (true) {
        error_code failure;
        const std::size_t size = co_await from.async_read_some(
            asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, failure));
        if (faults_.delay.count() > 0) {
            co_await core::sleep_for(faults_.delay);
        }
        while (blocked(*l, d)) {
            co_await changed_.wait();
        }
        if (failure == asio::error::eof) {
            to.shutdown(asio::ip::tcp::socket::shutdown_send, failure);
            co_return;
        }
        if (!failure) {
            co_await asio::async_write(to, asio::buffer(chunk.data(), size),
                                       asio::redirect_error(asio::use_awaitable, failure));
        }
        if (failure) {
            reset(*l);
            co_return;
        }
    }
}

void fault_proxy::set_faults(const link_faults& faults)
{
    faults_ = faults;
    if (faults_.gone && acceptor_.is_open()) {
        error_code ignored;
        acceptor_.close(ignored);
    }
    else if (!faults_.gone && !acceptor_.is_open()) {
        open();
    }
    changed_.notify();
}

void fault_proxy::reset(link& l)
{
    // Closing with a zero linger time resets the connection.
    error_code ignored;
    l.client.set_option(asio::socket_base::linger(true, 0), ignored);
    l.server.set_option(asio::socket_base::linger(true, 0), ignored);
    l.client.close(ignored);
    l.server.close(ignored);
}

void fault_proxy::reset_all()
{
    for (const std::shared_ptr<link>& l : links_) {
        reset(*l);
        l->silent = false;
    }
    changed_.notify();
}

void fault_proxy::silence_all()
{
    for (const std::shared_ptr<link>& l : links_) {
        l->silent = true;
    }
}

void fault_proxy::inject_all(const std::string& bytes)
{
    for (const std::shared_ptr<link>& l : links_) {
        error_code failure;
        l->client.write_some(asio::buffer(bytes), failure);
        if (failure) {
            reset(*l);
        }
    }
}

} // namespace currantpitch::soak
