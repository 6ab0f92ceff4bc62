#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace currantpitch::soak {

enum class fault_kind : std::uint8_t {
    gateway_killed,
    gateway_paused,
    gateway_stopped,
    gateway_reloads,
    gateway_cut_from_store,
    caller_link_slow,
    caller_link_reset,
    caller_link_silent,
    agent_killed,
    agent_paused,
    agent_stopped,
    endpoint_link_slow,
    endpoint_link_reset,
    endpoint_link_cut_up,
    endpoint_link_cut_down,
    endpoint_link_silent,
    endpoint_link_refuses,
    endpoint_sends_garbage,
    endpoint_crashes,
    endpoint_fails,
    endpoint_loses_answers,
    endpoint_cuts_answers,
    endpoint_slow,
    endpoint_full,
    endpoint_drains,
    group_crashes,
    orders_late,
    store_away,
    store_refuses,
    store_loses_answers,
    store_acts_late,
    store_slow,
    store_deaf,
    store_forgets,
    store_turns_one_away,
    configuration_changes,
    key_revoked,
    // The following kinds are added to the faults of a seed, which stay the same.
    first_added,
    endpoint_limited = first_added,
    store_restored,
    endpoint_says_it_leaves,
    endpoint_wants_quiet,
    endpoint_sends_without_end,
    last = endpoint_sends_without_end,
};
std::string_view to_string(fault_kind k);

/// A fault with its start, counted from the start of the script.
struct planned_fault {
    std::chrono::milliseconds at{};
    fault_kind kind = fault_kind::gateway_killed;
    /// Index of the target, modulo the number of targets.
    std::uint32_t target = 0;
    std::chrono::milliseconds duration{};
};

/// Returns sequential and overlapping faults for a run of the given length. The same seed gives the
/// same script.
std::vector<planned_fault> make_fault_script(std::uint64_t seed, std::chrono::milliseconds length);

} // namespace currantpitch::soak
