#pragma once

#include <map>

namespace currantpitch::overload {

/// Requests of one priority of a service, at one gateway or the sum over several.
struct priority_load {
    /// Slots that the requests are expected to use: arrival rate times service time.
    double expected = 0;
    double running = 0;
    double waiting = 0;

    priority_load& operator+=(const priority_load& other)
    {
        expected += other.expected;
        running += other.running;
        waiting += other.waiting;
        return *this;
    }
};

/// By priority; 0 is the most urgent.
using load_by_priority = std::map<int, priority_load>;

/// Slots of a service, and how many gateways share them.
struct service_capacity {
    double slots = 0;
    /// Slots in use, by requests of this gateway and of those whose reports are fresh.
    double used = 0;
    /// Gateways that share the slots, including this one. At least 1.
    double gateways = 1;
    /// Whether reports of peers are fresh, or there are no peers.
    bool peers_known = true;
};

} // namespace currantpitch::overload
