#pragma once

#include "core/bootclock.h"
#include "routes/routetable.h"

#include <memory>

namespace currantpitch::routes {

/// The newest configuration that this process has heard of, and how old that knowledge is. The
/// version never goes back, in whatever order configurations arrive.
class configuration_view {
public:
    /// Takes a configuration; false when one at least as new is held.
    bool take(configuration accepted, core::boot_time current_as_of);
    /// Confirms that the store held nothing newer at that time.
    void confirm_current(core::boot_time as_of);

    /// nullptr until the first configuration.
    const std::shared_ptr<const route_table>& table() const { return table_; }
    /// Time since nothing newer is known to have been accepted. The machine's suspensions count.
    core::boot_clock::duration age() const;
    bool known() const { return table_ != nullptr; }

private:
    std::shared_ptr<const route_table> table_;
    core::boot_time current_as_of_{};
};

} // namespace currantpitch::routes
