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
    last = key_revoked,
};
std::string_view to_string(fault_kind k);

/// A fault that begins at a time after the calm start.
struct planned_fault {
    std::chrono::milliseconds at{};
    fault_kind kind = fault_kind::gateway_killed;
    /// Which of the targets, modulo their number.
    std::uint32_t target = 0;
    std::chrono::milliseconds lasts{};
};

/// Faults in series and overlapping, for that long. The same seed gives the same script.
std::vector<planned_fault> make_script(std::uint64_t seed, std::chrono::milliseconds length);

} // namespace currantpitch::soak
