#include "objectstore/feedhealth.h"

#include "core/counters.h"
#include "core/eventlog.h"

namespace currantpitch::objectstore {

void feed_health::on_failure(std::string_view call, const core::error& e)
{
    core::counter_for("store_feed_failures_total", "kind=\"" + kind_ + "\"").add();
    ++consecutive_failures_;
    if (failing_ || e.code == core::errc::stale) {
        return;
    }
    failing_ = true;
    failing_since_ = core::runtime_clock::now();
    core::log_event("store_lost", core::log_event::level::warning)
        .field("kind", kind_)
        .field("call", call)
        .field("error", core::to_string(e.code))
        .field("reason", e.detail);
}

bool feed_health::on_success()
{
    consecutive_failures_ = 0;
    if (!failing_) {
        return false;
    }
    failing_ = false;
    core::log_event("store_regained")
        .field("kind", kind_)
        .field("away_ms", core::to_milliseconds(core::runtime_clock::now() - failing_since_));
    return true;
}

} // namespace currantpitch::objectstore
