#pragma once

#include <cstddef>

namespace currantpitch::backpressure {

/// Bound on the requests to a cold endpoint within any second, from all entries together: its rate
/// times the overshoot plus the tolerance.
struct cold_bounds {
    double overshoot = 1;
    double tolerance = 0;
};

/// Divides the bound on the requests to one cold endpoint into two parts that are used
/// independently of each other, so that no change from one to the other adds up. One is shared by
/// entries that use theirs without asking, at most one request in a second each. The other is
/// issued to all entries by the owner of the endpoint's permits.
class cold_budget {
public:
    cold_budget(double per_second, const cold_bounds& bounds)
        : per_second_(per_second), total_(per_second * bounds.overshoot + bounds.tolerance)
    {
    }

    /// Number of entries that may send the endpoint a request in a second without asking.
    std::size_t own_parts() const;
    /// Permits per second of an entry that uses its own part.
    static double own_rate();
    /// Permits per second that the owner issues if there are at most this many owners, because
    /// entries disagree on who reaches whom. Zero if the bound leaves none.
    double pooled_rate(unsigned owners) const;

private:
    double per_second_;
    double total_;
};

} // namespace currantpitch::backpressure
