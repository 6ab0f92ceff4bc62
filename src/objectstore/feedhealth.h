#pragma once

#include "core/error.h"
#include "core/runtimeclock.h"

#include <string>
#include <string_view>

namespace currantpitch::objectstore {

/// Tracks whether the store answers calls for one kind of objects. Logs when the store is lost and
/// regained.
class feed_health {
public:
    explicit feed_health(std::string kind) : kind_(std::move(kind)) {}

    void on_failure(std::string_view call, const core::error& e);
    /// Records an answer of the store. Returns true when the answer ends an outage.
    bool on_success();
    /// Number of failed calls since the last answer.
    int consecutive_failures() const { return consecutive_failures_; }

private:
    std::string kind_;
    bool failing_ = false;
    int consecutive_failures_ = 0;
    core::time_point failing_since_;
};

} // namespace currantpitch::objectstore
