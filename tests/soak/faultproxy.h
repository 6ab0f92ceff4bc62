#pragma once

#include "core/notifier.h"
#include "core/task.h"

#include <chrono>
#include <list>
#include <memory>
#include <string>

namespace currantpitch::soak {

/// Faults of a link between a client and a server.
struct link_faults {
    /// Extra delay of each chunk of data.
    std::chrono::milliseconds delay{};
    /// No data passes to the server (up) or from it (down) until the fault is cleared. It is
    /// delayed, not dropped.
    bool cut_up = false;
    bool cut_down = false;
    /// New connections are reset.
    bool refuses = false;
    /// Nobody listens: new connections fail, as when the server's process is gone.
    bool gone = false;
};

/// TCP proxy in front of a server. Relays connections with the configured faults of the link.
class fault_proxy {
public:
    fault_proxy(const core::asio::any_io_executor& executor, core::asio::ip::tcp::endpoint listen,
                core::asio::ip::tcp::endpoint target);

    /// Accepts connections until the process exits, except while nobody listens.
    core::task<void> run();
    void set_faults(const link_faults& faults);
    /// Resets every open connection.
    void reset_all();
    /// Stops relaying data on every open connection without closing it. New connections work.
    void silence_all();
    /// Sends unsolicited bytes to the clients of all open connections.
    void inject_all(const std::string& bytes);
    std::size_t connection_count() const { return links_.size(); }

private:
    struct link {
        explicit link(const core::asio::any_io_executor& e) : client(e), server(e) {}
        core::asio::ip::tcp::socket client;
        core::asio::ip::tcp::socket server;
        bool silent = false;
    };
    enum class direction { up, down };

    void open();
    core::task<void> relay(std::shared_ptr<link> l);
    core::task<void> forward(std::shared_ptr<link> l, direction d);
    bool blocked(const link& l, direction d) const;
    static void reset(link& l);

    core::asio::any_io_executor executor_;
    core::asio::ip::tcp::acceptor acceptor_;
    core::asio::ip::tcp::endpoint address_;
    core::asio::ip::tcp::endpoint target_;
    link_faults faults_;
    core::notifier changed_;
    std::list<std::shared_ptr<link>> links_;
};

} // namespace currantpitch::soak
