#include "admission/holdtime.h"

#include "admission/admissionconstants.h"

#include <algorithm>

namespace currantpitch::admission {

core::duration hold_after(unsigned failed_probes, core::duration initial)
{
    core::duration time = initial;
    for (unsigned n = 0; n < failed_probes && time < max_hold; ++n) {
        time *= hold_growth;
    }
    return std::min<core::duration>(time, max_hold);
}

} // namespace currantpitch::admission
