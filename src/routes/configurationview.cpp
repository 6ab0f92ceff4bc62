#include "routes/configurationview.h"

#include <algorithm>

namespace currantpitch::routes {

bool configuration_view::apply(configuration accepted, core::boot_time current_as_of)
{
    if (table_ && accepted.version <= table_->version()) {
        return false;
    }
    table_ = std::make_shared<const route_table>(std::move(accepted));
    current_as_of_ = std::max(current_as_of_, current_as_of);
    return true;
}

void configuration_view::confirm_current(core::boot_time as_of)
{
    current_as_of_ = std::max(current_as_of_, as_of);
}

core::boot_clock::duration configuration_view::age() const
{
    return core::boot_clock::now() - current_as_of_;
}

} // namespace currantpitch::routes
