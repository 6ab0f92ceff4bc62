#pragma once

#include "objectstore/kindpoll.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace currantpitch::rankcontrol {

/// What an agent learns from the store is not urgent: the engines' profile and who is in the group.
inline constexpr objectstore::poll_timing agent_pace{std::chrono::milliseconds(8000),
                                                     std::chrono::milliseconds(1500),
                                                     std::chrono::milliseconds(12000)};
/// Agents that may lead their group: enough that two may be away.
inline constexpr std::size_t leader_candidates = 3;
/// Interval at which a candidate tells the members that it lives.
inline constexpr std::chrono::milliseconds claim_interval{250};
/// Silence after which a candidate counts as gone. Frames that a busy host sends late must not
/// depose it.
inline constexpr std::chrono::milliseconds candidate_silence{1200};
/// Interval at which an agent looks at its engine, and while the engine copies experts.
inline constexpr std::chrono::milliseconds status_interval{120};
inline constexpr std::chrono::milliseconds loading_status_interval{40};
/// Interval at which a candidate that does not lead is told of a member's engine: twice within the
/// silence after which it would count the member as gone.
inline constexpr std::chrono::milliseconds candidate_status_interval{500};
/// Time after which a layout of the leader's own term is listed to it all the same.
inline constexpr std::chrono::milliseconds held_told_after{3000};
/// Bytes of counts that all members together send to the leader, whose host may have a link of
/// 1 MB/s that its engine needs too.
inline constexpr double counts_bytes_per_second = 160'000;
/// Time for one call to the engine on the same host, which answers within some milliseconds.
inline constexpr std::chrono::milliseconds engine_call_timeout{150};
/// Tries of an order that the engine does not answer.
inline constexpr int order_tries = 6;
/// Time after which an order without an answer from its agent is sent again.
inline constexpr std::chrono::milliseconds order_patience{1500};
/// Time for all engines to copy the experts of a layout before it is given up.
inline constexpr std::chrono::milliseconds load_patience{8000};
/// Time for all engines to accept a layout's step before it is withdrawn.
inline constexpr std::chrono::milliseconds arm_patience{900};
/// Passes ahead of the present one at which a layout begins, beside those that arming takes.
inline constexpr std::uint64_t lead_steps = 2;
/// Longest time for which a layout is armed ahead of its switch: demand shifts meanwhile.
inline constexpr std::chrono::milliseconds max_lead_time{1500};
/// Interval of the leader's regular work.
inline constexpr std::chrono::milliseconds leader_tick{20};
/// Pause before a failed connection to a candidate is tried again.
inline constexpr std::chrono::milliseconds dial_pause{300};
/// Pause after a failed claim of the leadership.
inline constexpr std::chrono::milliseconds claim_pause{1000};

} // namespace currantpitch::rankcontrol
