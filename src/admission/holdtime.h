#pragma once

#include "core/runtimeclock.h"

namespace currantpitch::admission {

/// Time for which a suspect is held back after this many of its probes crashed an endpoint. Starts
/// at initial, grows by the factor hold_growth and ends at max_hold.
core::duration hold_after(unsigned failed_probes, core::duration initial);

} // namespace currantpitch::admission
