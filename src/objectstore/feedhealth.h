#pragma once

#include "core/error.h"
#include "core/runtimeclock.h"

#include <string>
#include <string_view>

namespace currantpitch::objectstore {

/// Whether the store answers the calls for one kind of objects; logs when it is lost and regained.
class feed_health {
public:
    explicit feed_health(std::string kind) : kind_(std::move(kind)) {}

    void on_failure(std::string_view call, const core::error& e);
    /// True when the store had not answered for a time.
    bool on_answer();
    /// Failures since the last answer.
    int failures() const { return failures_; }

private:
    std::string kind_;
    bool failing_ = false;
    int failures_ = 0;
    core::time_point failing_since_;
};

} // namespace currantpitch::objectstore
