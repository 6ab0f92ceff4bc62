#pragma once

#include "core/notifier.h"
#include "core/task.h"
#include "sessions/attemptbook.h"
#include "sessions/attemptchannel.h"
#include "sessions/sessionmessages.h"
#include "wire/framedconnection.h"

#include <map>
#include <memory>
#include <random>

namespace currantpitch::sessions {

/// Load of an agent's endpoint as last reported, and when.
struct timestamped_load {
    load_report report;
    core::time_point received;
};

/// An entry's end of its sessions with one agent. One task, run, keeps a session open for as long
/// as the link exists and replaces it when it fails or goes silent.
class agent_link : public std::enable_shared_from_this<agent_link> {
public:
    agent_link(const core::asio::any_io_executor& executor, core::host_id own_host,
               core::incarnation own, core::host_id agent_host,
               core::asio::ip::tcp::endpoint address, std::uint64_t seed);

    /// Keeps sessions open until stop. Called once.
    core::task<void> run();
    /// Ends the session and the task; attempts in flight see session_lost.
    void stop();

    bool connected() const { return connection_ != nullptr && acknowledged_; }
    const core::host_id& agent_host() const { return agent_host_; }
    const core::asio::ip::tcp::endpoint& address() const { return address_; }
    /// The last report of the present session; nothing before the first.
    const std::optional<timestamped_load>& load() const { return load_; }
    std::size_t open_attempts() const { return book_.open_attempts(); }
    /// Bytes sent and received in the present session.
    std::uint64_t bytes() const;

    /// Sends work. errc::unavailable when there is no session; nothing was sent then.
    core::result<std::shared_ptr<attempt_channel>> start(start_work work);
    /// The identity that the next attempt will get, for a claim made before it is sent.
    /// errc::unavailable when there is no session.
    core::result<attempt_identity> reserve();
    /// Sends work under a reserved identity. errc::stale when the session is another one by now:
    /// the attempt was not sent and never will be.
    core::result<std::shared_ptr<attempt_channel>> start_reserved(const attempt_identity& id,
                                                                  start_work work);
    void cancel(core::attempt_number number);
    void credit(core::attempt_number number, std::uint64_t tokens);
    /// No further event about the attempt is wanted.
    void settle(core::attempt_number number);

    /// Asks the agent about an attempt of any entry. errc::unavailable without a session,
    /// errc::timeout without an answer.
    core::task<core::result<resolution>> resolve_attempt(attempt_identity id,
                                                         core::time_point deadline);

    /// Sends a message of another slice. False without a session.
    bool send(std::string payload);
    /// Called after each session has been acknowledged.
    void on_session(std::function<void()> callback) { session_callback_ = std::move(callback); }
    /// Called when the session or the load has changed.
    void on_change(std::function<void()> callback) { change_callback_ = std::move(callback); }
    /// Called with each message that is not a session message.
    void on_unhandled_message(std::function<void(std::uint8_t, const std::string&)> callback)
    {
        other_callback_ = std::move(callback);
    }

private:
    core::task<core::result<void>> open_session();
    core::task<void> run_session();
    core::task<void> read_loop();
    core::task<void> heartbeat_loop();
    void on_frame(const std::string& payload);
    void on_ack(const hello_ack& ack);
    void lose_session(std::string reason);
    void tell_change();
    attempt_channel* channel(core::attempt_number number);

    core::asio::any_io_executor executor_;
    core::host_id own_host_;
    core::incarnation own_;
    core::host_id agent_host_;
    core::asio::ip::tcp::endpoint address_;
    std::mt19937_64 random_;

    attempt_book book_;
    std::map<core::attempt_number, std::shared_ptr<attempt_channel>> channels_;
    std::unique_ptr<wire::framed_connection> connection_;
    bool acknowledged_ = false;
    bool stopped_ = false;
    core::timer pause_;
    std::optional<timestamped_load> load_;

    struct open_query {
        std::shared_ptr<core::notifier> answered;
        std::optional<resolution> answer;
    };
    std::uint64_t last_query_ = 0;
    std::map<std::uint64_t, open_query> queries_;
    std::function<void()> session_callback_;
    std::function<void()> change_callback_;
    std::function<void(std::uint8_t, const std::string&)> other_callback_;
};

} // namespace currantpitch::sessions
