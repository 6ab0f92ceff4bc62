#pragma once

#include "core/bootclock.h"
#include "routes/routetable.h"

#include <memory>

namespace currantpitch::routes {

/// The newest configuration received by this process, and its age. The version never decreases,
/// regardless of the order in which configurations arrive.
class configuration_view {
public:
    /// Applies a configuration that was the newest one at the given time. Returns false when the
    /// current configuration is at least as new.
    bool apply(configuration accepted, core::boot_time current_as_of);
    /// Records that the store contained no newer configuration at the given time.
    void confirm_current(core::boot_time as_of);

    /// Current configuration, or nullptr until the first one is applied.
    const std::shared_ptr<const route_table>& table() const { return table_; }
    /// Time since the current configuration was last confirmed to be the newest. Time for which the
    /// machine was suspended counts.
    core::boot_clock::duration age() const;
    /// Whether a configuration has been applied.
    bool known() const { return table_ != nullptr; }

private:
    std::shared_ptr<const route_table> table_;
    core::boot_time current_as_of_{};
};

} // namespace currantpitch::routes
