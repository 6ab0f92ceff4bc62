#include "backpressure/coldbudget.h"

#include "backpressure/backpressureconstants.h"

#include <algorithm>
#include <cmath>

namespace currantpitch::backpressure {

namespace {

constexpr double seconds(std::chrono::milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

/// Permits that start within this many seconds may be used within the same second: a permit may be
/// received, used and followed by its request this much later than another one.
constexpr double own_spread = 1 + seconds(cold_permit_lifetime);
constexpr double pooled_spread = 1 + seconds(permit_answer_timeout + 2 * cold_permit_lifetime);

} // namespace

std::size_t cold_budget::own_parts() const
{
    return static_cast<std::size_t>(std::max(total_ * cold_own_fraction, 0.0));
}

double cold_budget::own_rate()
{
    return 1 / own_spread;
}

double cold_budget::pooled_rate(unsigned owners) const
{
    const double pooled = (total_ - static_cast<double>(own_parts())) / owners;
    // The first of the permits may start at once.
    return std::clamp((pooled - 1) / pooled_spread, 0.0, per_second_);
}

} // namespace currantpitch::backpressure
