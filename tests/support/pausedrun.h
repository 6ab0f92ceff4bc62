#pragma once

#include "core/runtimeclock.h"
#include "core/task.h"
#include "core/timer.h"

namespace currantpitch::testing {

/// Runs tasks while the runtime clock is paused. The destructor resumes the clock.
class paused_run {
public:
    paused_run() { core::runtime_clock::pause(); }
    paused_run(const paused_run&) = delete;
    paused_run& operator=(const paused_run&) = delete;
    ~paused_run() { core::runtime_clock::resume(); }

    core::asio::any_io_executor executor() { return context_.get_executor(); }
    void spawn(core::task<void> work) { core::spawn(executor(), std::move(work)); }
    void advance(core::duration d)
    {
        core::advance(d, [this] { run_ready(); });
    }

private:
    void run_ready()
    {
        context_.restart();
        context_.poll();
    }

    core::asio::io_context context_{1};
};

} // namespace currantpitch::testing
