#pragma once

#include "core/counters.h"
#include "core/eventlog.h"
#include "core/notifier.h"
#include "core/task.h"
#include "sessions/attemptgate.h"
#include "sessions/sessionsconstants.h"
#include "wire/framedconnection.h"
#include "wire/packer.h"
#include "wire/unpacker.h"
#include "wire/wireconstants.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace currantpitch::sessions {

/// Receives the tokens of a running attempt. Delays them until the entry has granted credit.
class token_sink {
public:
    token_sink(const core::asio::any_io_executor& executor, const start_work& work)
        : changed_(executor), number_(work.number), allowed_until_(work.resume_from + work.window),
          may_cancel_(work.kind == work_kind::generate)
    {
    }

    /// Sets the function that sends the tokens to the entry.
    void attach(std::function<void(const token&)> send) { send_ = std::move(send); }

    /// Sends one token, waiting for credit if needed. Returns false if the attempt is cancelled.
    core::task<bool> put(std::uint64_t offset, std::string text)
    {
        while (!cancelled_ && offset >= allowed_until_) {
            co_await changed_.wait();
        }
        if (cancelled_) {
            co_return false;
        }
        send_(token{number_, offset, std::move(text)});
        co_return true;
    }
    /// Completes when the attempt is cancelled.
    core::task<void> cancelled()
    {
        while (!cancelled_) {
            co_await changed_.wait();
        }
    }
    void credit(std::uint64_t tokens)
    {
        allowed_until_ += tokens;
        changed_.notify();
    }
    /// Stops a generation. A call continues to run.
    void cancel()
    {
        cancelled_ = may_cancel_;
        changed_.notify();
    }

private:
    core::notifier changed_;
    core::attempt_number number_;
    std::uint64_t allowed_until_;
    bool may_cancel_;
    bool cancelled_ = false;
    std::function<void(const token&)> send_;
};

/// An endpoint that runs work for an agent and reports its load. run() returns how the work ended
/// and never throws. A refusal means that the work never started.
template <class E>
concept work_endpoint = requires(E& e, start_work work, token_sink& sink)
{
    {
        e.run(work, sink)
        } -> std::same_as<core::task<work_end>>;
    {
        e.load()
        } -> std::same_as<load_report>;
};

/// The agent's side of all its sessions with entries. Owns the attempt gate, the running attempts
/// and the open sessions.
template <work_endpoint Endpoint>
class session_server {
public:
    session_server(const core::asio::any_io_executor& executor, core::host_id host,
                   core::incarnation own_incarnation, Endpoint& endpoint)
        : executor_(executor), host_(std::move(host)), own_incarnation_(own_incarnation),
          gate_(own_incarnation), endpoint_(endpoint)
    {
    }

    /// Serves one session of an entry after its hello until the session ends or is replaced.
    core::task<void> serve(std::shared_ptr<wire::framed_connection> connection, hello h);

    /// Called for each message that is not a session message.
    std::function<void(std::uint8_t, const std::string&)> on_unhandled_message;

    std::size_t running() const { return running_.size(); }
    std::size_t sessions() const { return sessions_.size(); }

private:
    struct attempt_key {
        core::incarnation entry;
        core::attempt_number number;
        friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
    };

    core::task<void> read_loop(wire::framed_connection& connection, hello h);
    core::task<void> heartbeat_loop(wire::framed_connection& connection);
    core::task<void> run_attempt(core::incarnation entry, start_work work,
                                 std::shared_ptr<token_sink> sink);
    bool on_frame(wire::framed_connection& connection, const hello& h, const std::string& payload);
    void on_start(wire::framed_connection& connection, const hello& h, start_work work);
    void send_to(core::incarnation entry, std::string payload);
    void stop_generations(core::incarnation entry);

    core::asio::any_io_executor executor_;
    core::host_id host_;
    core::incarnation own_incarnation_;
    attempt_gate gate_;
    Endpoint& endpoint_;
    std::map<core::incarnation, std::shared_ptr<wire::framed_connection>> sessions_;
    std::map<attempt_key, std::shared_ptr<token_sink>> running_;
};

template <work_endpoint Endpoint>
core::task<void>
session_server<Endpoint>::serve(std::shared_ptr<wire::framed_connection> connection, hello h)
{
    using namespace core::asio::experimental::awaitable_operators;
    const core::result<std::vector<attempt_report>> opened =
        gate_.open(h, core::runtime_clock::now());
    hello_ack ack{host_, own_incarnation_, !opened.has_value(), {}};
    core::log_event("entry_session")
        .field("entry", h.host)
        .field("entry_incarnation", h.incarnation)
        .field("epoch", h.epoch)
        .field("accepted", opened.has_value());
    if (!opened) {
        core::counter_for("sessions_stale_total").add();
        connection->send(wire::encode(ack));
        co_await (connection->write_loop() || core::sleep_for(std::chrono::milliseconds(100)));
        co_return;
    }
    const auto previous = sessions_.find(h.incarnation);
    if (previous != sessions_.end()) {
        previous->second->close();
    }
    sessions_[h.incarnation] = connection;
    stop_generations(h.incarnation);
    ack.started = opened.value();
    connection->send(wire::encode(ack));
    co_await (read_loop(*connection, h) || connection->write_loop() || heartbeat_loop(*connection));
    connection->close();
    const auto current = sessions_.find(h.incarnation);
    if (current != sessions_.end() && current->second == connection) {
        sessions_.erase(current);
        stop_generations(h.incarnation);
    }
    gate_.expire(core::runtime_clock::now());
}

template <work_endpoint Endpoint>
core::task<void> session_server<Endpoint>::read_loop(wire::framed_connection& connection, hello h)
{
    while (!connection.closed()) {
        const core::result<std::string> frame = co_await connection.receive();
        if (!frame || !on_frame(connection, h, frame.value())) {
            const std::string reason = frame ? "malformed message" : frame.error().detail;
            core::log_event("entry_session_end")
                .field("entry", h.host)
                .field("epoch", h.epoch)
                .field("reason", reason);
            co_return;
        }
    }
}

template <work_endpoint Endpoint>
core::task<void> session_server<Endpoint>::heartbeat_loop(wire::framed_connection& connection)
{
    while (!connection.closed()) {
        const core::duration idle_time = core::runtime_clock::now() - connection.last_received();
        if (idle_time > wire::heartbeat_timeout) {
            core::counter_for("sessions_silent_total").add();
            co_return;
        }
        connection.send(wire::encode(agent_heartbeat{endpoint_.load()}));
        co_await core::sleep_for(wire::heartbeat_interval);
    }
}

template <work_endpoint Endpoint>
bool session_server<Endpoint>::on_frame(wire::framed_connection& connection, const hello& h,
                                        const std::string& payload)
{
    const core::result<std::uint8_t> type = wire::message_type(payload);
    if (!type) {
        return false;
    }
    switch (type.value()) {
    case start_work_type: {
        core::result<start_work> m = wire::decode<start_work>(payload);
        if (m) {
            on_start(connection, h, std::move(m.value()));
        }
        return m.has_value();
    }
    case cancel_work_type: {
        const core::result<cancel_work> m = wire::decode<cancel_work>(payload);
        const auto attempt =
            m ? running_.find(attempt_key{h.incarnation, m.value().number}) : running_.end();
        if (attempt != running_.end()) {
            attempt->second->cancel();
        }
        return m.has_value();
    }
    case grant_credit_type: {
        const core::result<grant_credit> m = wire::decode<grant_credit>(payload);
        const auto attempt =
            m ? running_.find(attempt_key{h.incarnation, m.value().number}) : running_.end();
        if (attempt != running_.end()) {
            attempt->second->credit(m.value().tokens);
        }
        return m.has_value();
    }
    case entry_heartbeat_type: {
        const core::result<entry_heartbeat> m = wire::decode<entry_heartbeat>(payload);
        if (m) {
            gate_.settle(h.incarnation, m.value(), core::runtime_clock::now());
        }
        return m.has_value();
    }
    case resolve_type: {
        const core::result<resolve> m = wire::decode<resolve>(payload);
        if (m) {
            const resolution answer = gate_.resolve_attempt(m.value(), core::runtime_clock::now());
            core::log_event("attempt_resolved")
                .field("entry_incarnation", m.value().attempt.entry)
                .field("number", m.value().attempt.number)
                .field("fate", static_cast<int>(answer.status));
            connection.send(wire::encode(answer));
        }
        return m.has_value();
    }
    default:
        if (on_unhandled_message) {
            on_unhandled_message(type.value(), payload);
        }
        return true;
    }
}

template <work_endpoint Endpoint>
void session_server<Endpoint>::on_start(wire::framed_connection& connection, const hello& h,
                                        start_work work)
{
    const core::result<void> started = gate_.start(h.incarnation, h.epoch, work.number);
    if (!started) {
        core::counter_for("attempts_refused_by_gate_total").add();
        work_end refusal;
        refusal.number = work.number;
        refusal.state = end_state::refused;
        refusal.detail = started.error().detail;
        connection.send(wire::encode(refusal));
        return;
    }
    std::shared_ptr<token_sink> sink = std::make_shared<token_sink>(executor_, work);
    const core::incarnation entry = h.incarnation;
    sink->attach([this, entry](const token& t) { send_to(entry, wire::encode(t)); });
    running_[attempt_key{entry, work.number}] = sink;
    core::spawn(executor_, run_attempt(entry, std::move(work), sink));
}

template <work_endpoint Endpoint>
core::task<void> session_server<Endpoint>::run_attempt(core::incarnation entry, start_work work,
                                                       std::shared_ptr<token_sink> sink)
{
    using namespace core::asio::experimental::awaitable_operators;
    std::variant<work_end, std::monostate> result =
        co_await (endpoint_.run(work, *sink) || sink->cancelled());
    work_end end;
    end.state = end_state::cancelled;
    if (result.index() == 0) {
        end = std::get<0>(std::move(result));
    }
    end.number = work.number;
    running_.erase(attempt_key{entry, work.number});
    gate_.end(entry, end);
    send_to(entry, wire::encode(end));
}

template <work_endpoint Endpoint>
void session_server<Endpoint>::send_to(core::incarnation entry, std::string payload)
{
    const auto session = sessions_.find(entry);
    if (session != sessions_.end()) {
        session->second->send(std::move(payload));
    }
}

template <work_endpoint Endpoint>
void session_server<Endpoint>::stop_generations(core::incarnation entry)
{
    for (const std::pair<const attempt_key, std::shared_ptr<token_sink>>& attempt : running_) {
        if (attempt.first.entry == entry) {
            attempt.second->cancel();
        }
    }
}

} // namespace currantpitch::sessions
