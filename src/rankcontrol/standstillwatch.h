#pragma once

#include "core/bootclock.h"
#include "core/counters.h"
#include "core/eventlog.h"
#include "core/task.h"
#include "core/timer.h"
#include "rankcontrol/rankcontrolconstants.h"

namespace currantpitch::rankcontrol {

/// Notices that this process or its machine stood still. Timers fire then before the frames of that
/// time are read, so others must not be judged silent until those have been read.
class standstill_watch {
public:
    /// Checks the clocks at a short interval.
    core::task<void> run()
    {
        while (true) {
            check();
            co_await core::sleep_for(standstill_check_interval);
        }
    }
    /// Whether the process stood still a moment ago. Notices this also before run does.
    bool recently_resumed()
    {
        check();
        return core::runtime_clock::now() < settled_at_;
    }

private:
    void check()
    {
        const core::time_point now = core::runtime_clock::now();
        const core::boot_time boot_now = core::boot_clock::now();
        // The larger one: boot_clock also counts the time for which the machine was suspended.
        const core::duration gap =
            std::max<core::duration>(now - checked_at_, boot_now - boot_checked_at_);
        const bool first = checked_at_ == core::time_point{};
        checked_at_ = now;
        boot_checked_at_ = boot_now;
        if (first || gap < standstill_limit) {
            return;
        }
        settled_at_ = now + resume_time;
        core::counter_for("standstills_total").add();
        core::log_event("process_stood_still").field("for_ms", core::to_milliseconds(gap));
    }

    core::time_point checked_at_;
    core::boot_time boot_checked_at_;
    core::time_point settled_at_;
};

} // namespace currantpitch::rankcontrol
