#include "overload/waitpolicy.h"

#include "overload/overloadconstants.h"

#include <cmath>

namespace currantpitch::overload {

bool may_start_in_time(double requests_ahead, double expected_starts)
{
    return requests_ahead <= expected_starts + release_margin * std::sqrt(expected_starts);
}

} // namespace currantpitch::overload
