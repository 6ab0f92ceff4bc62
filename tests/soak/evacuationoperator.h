#pragma once

#include "core/task.h"
#include "soak/evacuationchecker.h"
#include "standins/standinstore.h"

#include <random>
#include <set>
#include <string>

namespace currantpitch::soak {

/// The operator who evacuates failure domains, one after the other and overlapping, and reports it
/// to the checker.
class evacuation_operator {
public:
    /// The failure domains are named fd-0, fd-1 and so on; there are at least two.
    evacuation_operator(platform::standins::standin_store& store, evacuation_checker& checker,
                        unsigned failure_domains, std::uint64_t seed)
        : store_(store), checker_(checker), failure_domains_(failure_domains), random_(seed)
    {
    }

    core::task<void> run();
    /// Lifts all evacuations and begins no further ones.
    void stop();
    /// Writes the evacuations again after the store has lost some of them, and removes those that
    /// have been lifted.
    void publish_again();

private:
    void evacuate(const std::string& domain);
    void lift(const std::string& domain);

    platform::standins::standin_store& store_;
    evacuation_checker& checker_;
    unsigned failure_domains_;
    std::mt19937_64 random_;
    std::set<std::string> evacuated_;
    bool stopped_ = false;
};

} // namespace currantpitch::soak
