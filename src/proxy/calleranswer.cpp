#include "proxy/calleranswer.h"

#include "proxy/endtoendheaders.h"

namespace currantpitch::proxy {

namespace {

/// Sets a flag while a write is in progress, and resets it also if the task is cancelled.
class write_guard {
public:
    explicit write_guard(bool& flag) : flag_(flag) { flag_ = true; }
    write_guard(const write_guard&) = delete;
    write_guard& operator=(const write_guard&) = delete;
    ~write_guard() { flag_ = false; }

private:
    bool& flag_;
};

} // namespace

core::task<core::result<void>> caller_answer::begin(const http::response& head)
{
    begun_ = true;
    time_to_first_byte_ = core::runtime_clock::now() - arrived_;
    http::response stream_head;
    stream_head.status = head.status;
    stream_head.content_type = head.content_type;
    stream_head.headers = end_to_end_headers(head.headers);
    co_return co_await caller_.begin_stream(stream_head);
}

core::task<bool> caller_answer::send_events(const http::response& head)
{
    const write_guard guard(writing_);
    if (!begun_ && !co_await begin(head)) {
        caller_lost_ = true;
        co_return false;
    }
    if (events_.unsent().empty()) {
        co_return true;
    }
    const core::result<void> written = co_await caller_.write_chunk(events_.unsent());
    events_.on_sent();
    caller_lost_ = caller_lost_ || !written;
    co_return written.has_value();
}

core::task<bool> caller_answer::end_stream()
{
    const core::result<void> written = co_await caller_.end_stream();
    co_return written.has_value();
}

core::task<void> caller_answer::forward(http::response answer)
{
    answer.headers = end_to_end_headers(answer.headers);
    time_to_first_byte_ = core::runtime_clock::now() - arrived_;
    co_await caller_.reply(std::move(answer));
}

core::task<void> caller_answer::reply(http::response answer)
{
    co_await caller_.reply(std::move(answer));
}

} // namespace currantpitch::proxy
