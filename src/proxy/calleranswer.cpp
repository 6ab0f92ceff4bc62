#include "proxy/calleranswer.h"

#include "proxy/endtoendheaders.h"

namespace currantpitch::proxy {

namespace {

/// Marks that a write is under way. The task may be broken off before the write has begun.
class write_mark {
public:
    explicit write_mark(bool& f) : flag_(f) { flag_ = true; }
    write_mark(const write_mark&) = delete;
    write_mark& operator=(const write_mark&) = delete;
    ~write_mark() { flag_ = false; }

private:
    bool& flag_;
};

} // namespace

core::task<core::result<void>> caller_answer::begin(const http::response& head)
{
    begun_ = true;
    first_byte_ = core::runtime_clock::now() - arrived_;
    http::response begun;
    begun.status = head.status;
    begun.content_type = head.content_type;
    begun.headers = end_to_end_headers(head.headers);
    co_return co_await caller_.begin_stream(begun);
}

core::task<bool> caller_answer::send_events(const http::response& head)
{
    const write_mark mark(writing_);
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

core::task<void> caller_answer::pass_on(http::response whole)
{
    whole.headers = end_to_end_headers(whole.headers);
    first_byte_ = core::runtime_clock::now() - arrived_;
    co_await caller_.reply(std::move(whole));
}

core::task<void> caller_answer::reply(http::response own)
{
    co_await caller_.reply(std::move(own));
}

} // namespace currantpitch::proxy
