#pragma once

#include "core/notifier.h"
#include "core/task.h"
#include "sessions/attemptchannel.h"
#include "sessions/attempttracker.h"
#include "sessions/sessionmessages.h"
#include "wire/framedconnection.h"

#include <map>
#include <memory>
#include <random>

namespace currantpitch::sessions {

/// Last load reported by an agent's endpoint and the time of its receipt.
struct timestamped_load {
    load_report report;
    core::time_point received_at;
};

/// An entry's side of its sessions with one agent. The task run() keeps one session open until
/// stop() and opens a new one when the session fails or its heartbeats time out.
class agent_link : public std::enable_shared_from_this<agent_link> {
public:
    agent_link(const core::asio::any_io_executor& executor, core::host_id own_host,
               core::incarnation own_incarnation, core::host_id agent_host,
               core::asio::ip::tcp::endpoint address, std::uint64_t seed);

    /// Keeps a session open until stop(). Must be called only once.
    core::task<void> run();
    /// Ends the session and the task. Attempts in flight receive session_lost.
    void stop();

    bool connected() const { return connection_ != nullptr && acknowledged_; }
    const core::host_id& agent_host() const { return agent_host_; }
    const core::asio::ip::tcp::endpoint& address() const { return address_; }
    /// Last load report of the current session. Empty before the first report.
    const std::optional<timestamped_load>& load() const { return load_; }
    std::size_t open_attempts() const { return tracker_.open_attempts(); }
    /// Bytes sent and received in the current session.
    std::uint64_t bytes() const;

    /// Sends work to the agent. Returns errc::unavailable without a session, with nothing sent.
    core::result<std::shared_ptr<attempt_channel>> start(start_work work);
    /// Reserves the identity of an attempt, so that it can be claimed before the work is sent.
    /// Returns errc::unavailable without a session.
    core::result<attempt_identity> reserve();
    /// Sends work under a reserved identity. Returns errc::stale if the session has been replaced
    /// since the reservation. The attempt was then not sent and never will be.
    core::result<std::shared_ptr<attempt_channel>> start_reserved(const attempt_identity& id,
                                                                  start_work work);
    void cancel(core::attempt_number number);
    void credit(core::attempt_number number, std::uint64_t tokens);
    /// Marks the attempt as settled: no further events about it are needed.
    void settle(core::attempt_number number);

    /// Queries the agent for the status of an attempt of any entry. Returns errc::unavailable
    /// without a session and errc::timeout without an answer.
    core::task<core::result<resolution>> resolve_attempt(attempt_identity id,
                                                         core::time_point deadline);

    /// Sends an encoded message that is not a session message. Returns false without a session.
    bool send(std::string payload);
    /// Sets the callback for each acknowledged session.
    void on_session(std::function<void()> callback) { session_callback_ = std::move(callback); }
    /// Sets the callback for changes of the session or the load.
    void on_change(std::function<void()> callback) { change_callback_ = std::move(callback); }
    /// Sets the callback for messages that are not session messages.
    void on_unhandled_message(std::function<void(std::uint8_t, const std::string&)> callback)
    {
        unhandled_callback_ = std::move(callback);
    }

private:
    core::task<core::result<void>> open_session();
    core::task<void> run_session();
    core::task<void> read_loop();
    core::task<void> heartbeat_loop();
    void on_frame(const std::string& payload);
    void on_ack(const hello_ack& ack);
    void lose_session(std::string reason);
    void notify_change();
    attempt_channel* channel(core::attempt_number number);

    core::asio::any_io_executor executor_;
    core::host_id own_host_;
    core::incarnation own_incarnation_;
    core::host_id agent_host_;
    core::asio::ip::tcp::endpoint address_;
    std::mt19937_64 random_;

    attempt_tracker tracker_;
    std::map<core::attempt_number, std::shared_ptr<attempt_channel>> channels_;
    std::unique_ptr<wire::framed_connection> connection_;
    bool acknowledged_ = false;
    bool stopped_ = false;
    core::timer reconnect_timer_;
    std::optional<timestamped_load> load_;

    struct open_query {
        std::shared_ptr<core::notifier> answered;
        std::optional<resolution> answer;
    };
    std::uint64_t last_query_ = 0;
    std::map<std::uint64_t, open_query> queries_;
    std::function<void()> session_callback_;
    std::function<void()> change_callback_;
    std::function<void(std::uint8_t, const std::string&)> unhandled_callback_;
};

} // namespace currantpitch::sessions
