#pragma once

#include "core/notifier.h"
#include "core/task.h"

#include <chrono>
#include <list>
#include <memory>
#include <string>

namespace currantpitch::soak {

/// What is wrong with a link.
struct link_faults {
    /// Time that each piece of data takes more.
    std::chrono::milliseconds delay{};
    /// Nothing gets through towards the server, or from it; it does once the link is well again.
    bool cut_up = false;
    bool cut_down = false;
    /// New connections are reset.
    bool refuses = false;
};

/// Stands before a server and passes connections on, with the faults of the link.
class fault_proxy {
public:
    fault_proxy(const core::asio::any_io_executor& executor, core::asio::ip::tcp::endpoint listen,
                core::asio::ip::tcp::endpoint target);

    /// Accepts connections until the process ends.
    core::task<void> run();
    void set(const link_faults& faults);
    /// Resets every open connection.
    void reset_all();
    /// Every open connection carries nothing more and stays open; new ones work.
    void silence_all();
    /// Sends bytes that nobody asked for to the clients of all open connections.
    void inject_all(const std::string& bytes);
    std::size_t open() const { return links_.size(); }

private:
    struct link {
        explicit link(const core::asio::any_io_executor& e) : client(e), server(e) {}
        core::asio::ip::tcp::socket client;
        core::asio::ip::tcp::socket server;
        bool silent = false;
    };
    enum class direction { up, down };

    core::task<void> pass_on(std::shared_ptr<link> l);
    core::task<void> pump(std::shared_ptr<link> l, direction d);
    bool blocked(const link& l, direction d) const;
    static void reset(link& l);

    core::asio::any_io_executor executor_;
    core::asio::ip::tcp::acceptor acceptor_;
    core::asio::ip::tcp::endpoint target_;
    link_faults faults_;
    core::notifier changed_;
    std::list<std::shared_ptr<link>> links_;
};

} // namespace currantpitch::soak
