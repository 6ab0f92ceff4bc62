#include "sessions/agentlink.h"

#include "core/counters.h"
#include "core/eventlog.h"
#include "sessions/sessionsconstants.h"
#include "wire/packer.h"
#include "wire/unpacker.h"
#include "wire/wireconstants.h"

namespace currantpitch::sessions {

using core::errc;
using core::error;
using namespace core::asio::experimental::awaitable_operators;

agent_link::agent_link(const core::asio::any_io_executor& executor, core::host_id own_host,
                       core::incarnation own_incarnation, core::host_id agent_host,
                       core::asio::ip::tcp::endpoint address, std::uint64_t seed)
    : executor_(executor), own_host_(std::move(own_host)), own_incarnation_(own_incarnation),
      agent_host_(std::move(agent_host)), address_(std::move(address)), random_(seed),
      reconnect_timer_(executor)
{
}

core::task<void> agent_link::run()
{
    const std::shared_ptr<agent_link> keep_alive = shared_from_this();
    std::chrono::milliseconds delay = initial_reconnect_delay;
    while (!stopped_) {
        const core::result<void> opened = co_await open_session();
        if (opened) {
            delay = initial_reconnect_delay;
            co_await run_session();
        }
        else {
            lose_session(opened.error().detail);
        }
        if (stopped_) {
            break;
        }
        std::uniform_real_distribution<double> jitter(0.5, 1.0);
        const std::chrono::milliseconds wait(
            static_cast<std::int64_t>(static_cast<double>(delay.count()) * jitter(random_)));
        co_await reconnect_timer_.wait_until(core::runtime_clock::now() + wait);
        delay = std::min(delay * 2, max_reconnect_delay);
    }
    lose_session("stopped");
}

void agent_link::stop()
{
    stopped_ = true;
    if (connection_) {
        connection_->close();
    }
    reconnect_timer_.cancel();
}

std::uint64_t agent_link::bytes() const
{
    return connection_ ? connection_->bytes_sent() + connection_->bytes_received() : 0;
}

core::task<core::result<void>> agent_link::open_session()
{
    const core::time_point deadline = core::runtime_clock::now() + hello_timeout;
    core::result<core::asio::ip::tcp::socket> socket = co_await wire::connect(address_, deadline);
    if (!socket) {
        co_return socket.error();
    }
    connection_ = std::make_unique<wire::framed_connection>(std::move(socket.value()));
    const hello h{own_host_, own_incarnation_, tracker_.begin_session(), tracker_.settled_below()};
    connection_->send(wire::encode(h));
    const core::result<std::string> frame = co_await wire::receive_first(*connection_, deadline);
    if (!frame) {
        co_return frame.error();
    }
    const core::result<hello_ack> ack = wire::decode<hello_ack>(frame.value());
    if (!ack) {
        co_return ack.error();
    }
    if (ack.value().stale) {
        co_return error{errc::stale, "the agent knows a higher epoch"};
    }
    on_ack(ack.value());
    co_return core::ok();
}

void agent_link::on_ack(const hello_ack& ack)
{
    acknowledged_ = true;
    core::counter_for("sessions_opened_total").add();
    core::log_event("session_open")
        .field("agent", agent_host_)
        .field("epoch", tracker_.epoch())
        .field("agent_incarnation", ack.incarnation)
        .field("reported_attempts", ack.started.size());
    for (const attempt_conclusion& conclusion : tracker_.on_ack(ack)) {
        attempt_channel* const waiting = channel(conclusion.number);
        if (waiting != nullptr) {
            waiting->push(conclusion);
        }
    }
    if (session_callback_) {
        session_callback_();
    }
    notify_change();
}

void agent_link::notify_change()
{
    if (change_callback_) {
        change_callback_();
    }
}

core::task<void> agent_link::run_session()
{
    co_await (read_loop() || connection_->write_loop() || heartbeat_loop());
    lose_session("closed or silent");
}

core::task<void> agent_link::read_loop()
{
    while (!connection_->closed()) {
        const core::result<std::string> frame = co_await connection_->receive();
        if (!frame) {
            core::log_event("session_read_end")
                .field("agent", agent_host_)
                .field("error", core::to_string(frame.error().code))
                .field("reason", frame.error().detail);
            co_return;
        }
        on_frame(frame.value());
    }
}

core::task<void> agent_link::heartbeat_loop()
{
    while (!connection_->closed()) {
        const core::duration idle_time = core::runtime_clock::now() - connection_->last_received();
        if (idle_time > wire::heartbeat_timeout) {
            core::counter_for("sessions_silent_total").add();
            co_return;
        }
        const entry_heartbeat heartbeat{tracker_.settled_below(), tracker_.take_settled()};
        connection_->send(wire::encode(heartbeat));
        co_await core::sleep_for(wire::heartbeat_interval);
    }
}

void agent_link::on_frame(const std::string& payload)
{
    const core::result<std::uint8_t> type = wire::message_type(payload);
    bool valid = false;
    switch (type ? type.value() : 0) {
    case token_type: {
        const core::result<token> m = wire::decode<token>(payload);
        valid = m.has_value();
        attempt_channel* const to = m ? channel(m.value().number) : nullptr;
        if (to != nullptr) {
            to->push(m.value());
        }
        break;
    }
    case work_end_type: {
        const core::result<work_end> m = wire::decode<work_end>(payload);
        valid = m.has_value();
        attempt_channel* const to = m ? channel(m.value().number) : nullptr;
        if (to != nullptr) {
            to->push(m.value());
        }
        break;
    }
    case agent_heartbeat_type: {
        const core::result<agent_heartbeat> m = wire::decode<agent_heartbeat>(payload);
        valid = m.has_value();
        if (m) {
            load_ = timestamped_load{m.value().load, core::runtime_clock::now()};
            notify_change();
        }
        break;
    }
    case resolution_type: {
        const core::result<resolution> m = wire::decode<resolution>(payload);
        valid = m.has_value();
        const auto query = m ? queries_.find(m.value().query) : queries_.end();
        if (query != queries_.end()) {
            query->second.answer = m.value();
            query->second.answered->notify();
        }
        break;
    }
    default:
        valid = type.has_value();
        if (type && unhandled_callback_) {
            unhandled_callback_(type.value(), payload);
        }
        break;
    }
    if (!valid) {
        core::counter_for("session_frames_malformed_total").add();
        core::log_event("session_frame_malformed", core::log_event::level::warning)
            .field("agent", agent_host_)
            .field("bytes", payload.size());
        connection_->close();
    }
}

void agent_link::lose_session(std::string reason)
{
    const bool had_session = acknowledged_;
    acknowledged_ = false;
    connection_.reset();
    load_.reset();
    if (!had_session) {
        return;
    }
    core::log_event("session_lost")
        .field("agent", agent_host_)
        .field("epoch", tracker_.epoch())
        .field("reason", reason)
        .field("open_attempts", tracker_.open_attempts());
    for (const std::pair<const core::attempt_number, std::shared_ptr<attempt_channel>>& entry :
         channels_) {
        entry.second->push(session_lost{});
    }
    for (std::pair<const std::uint64_t, open_query>& entry : queries_) {
        entry.second.answered->notify();
    }
    notify_change();
}

attempt_channel* agent_link::channel(core::attempt_number number)
{
    const auto found = channels_.find(number);
    return found == channels_.end() ? nullptr : found->second.get();
}

core::result<attempt_identity> agent_link::reserve()
{
    if (!connected()) {
        return error{errc::unavailable, "no session with the agent"};
    }
    const core::attempt_number number = tracker_.next_attempt();
    return attempt_identity{own_incarnation_, tracker_.agent(), tracker_.epoch(), number};
}

core::result<std::shared_ptr<attempt_channel>>
agent_link::start_reserved(const attempt_identity& id, start_work work)
{
    if (!connected() || id.epoch != tracker_.epoch()) {
        return error{errc::stale, "the session is another one by now"};
    }
    std::shared_ptr<attempt_channel> new_channel = std::make_shared<attempt_channel>(executor_, id);
    channels_[id.number] = new_channel;
    work.number = id.number;
    connection_->send(wire::encode(work));
    return new_channel;
}

core::result<std::shared_ptr<attempt_channel>> agent_link::start(start_work work)
{
    const core::result<attempt_identity> id = reserve();
    if (!id) {
        return id.error();
    }
    return start_reserved(id.value(), std::move(work));
}

void agent_link::cancel(core::attempt_number number)
{
    send(wire::encode(cancel_work{number}));
}

void agent_link::credit(core::attempt_number number, std::uint64_t tokens)
{
    send(wire::encode(grant_credit{number, tokens}));
}

void agent_link::settle(core::attempt_number number)
{
    tracker_.settle(number);
    channels_.erase(number);
}

bool agent_link::send(std::string payload)
{
    return connected() && connection_->send(std::move(payload));
}

core::task<core::result<resolution>> agent_link::resolve_attempt(attempt_identity id,
                                                                 core::time_point deadline)
{
    if (!connected()) {
        co_return error{errc::unavailable, "no session with the agent"};
    }
    const std::shared_ptr<agent_link> keep_alive = shared_from_this();
    const std::uint64_t query = ++last_query_;
    const std::shared_ptr<core::notifier> answered = std::make_shared<core::notifier>(executor_);
    queries_[query] = open_query{answered, std::nullopt};
    send(wire::encode(resolve{query, id}));
    co_await answered->wait_until(deadline);
    const std::optional<resolution> answer = queries_[query].answer;
    queries_.erase(query);
    if (!answer) {
        co_return error{errc::timeout, "the agent did not answer"};
    }
    co_return *answer;
}

} // namespace currantpitch::sessions
