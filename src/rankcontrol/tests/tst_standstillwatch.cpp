#include "rankcontrol/standstillwatch.h"

#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;

TEST_GROUP(standstill_watches)
{
    testing::paused_run paused;
    rankcontrol::standstill_watch watch;

    void setup() override
    {
        core::silence_log();
        watch.recently_resumed();
    }
};

// Timers do not show that the machine was suspended, as their clock stood still too.
TEST(standstill_watches, suspension_is_noticed_by_the_first_caller)
{
    core::boot_clock::suspend_for(3s);
    CHECK(watch.recently_resumed());
    paused.advance(rankcontrol::resume_time - 1ms);
    CHECK(watch.recently_resumed());
    paused.advance(1ms);
    CHECK(!watch.recently_resumed());
}

TEST(standstill_watches, overdue_check_is_noticed)
{
    paused.advance(rankcontrol::standstill_limit);
    CHECK(watch.recently_resumed());
}

TEST(standstill_watches, regular_checks_find_no_standstill)
{
    for (int i = 0; i < 30; ++i) {
        paused.advance(rankcontrol::standstill_check_interval);
        CHECK(!watch.recently_resumed());
    }
}
