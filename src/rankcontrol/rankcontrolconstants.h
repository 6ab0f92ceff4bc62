#pragma once

#include "objectstore/kindpoll.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace currantpitch::rankcontrol {

/// Poll timing of an agent's reads from the store. They are not urgent: the engine profile and the
/// members of the group.
inline constexpr objectstore::poll_timing agent_poll_timing{std::chrono::milliseconds(8000),
                                                            std::chrono::milliseconds(1500),
                                                            std::chrono::milliseconds(12000)};
/// Number of agents that may lead their group, so that two of them may be unavailable.
inline constexpr std::size_t leader_candidates = 3;
/// Interval at which a candidate sends its leader claim, which is also its heartbeat, to the
/// members.
inline constexpr std::chrono::milliseconds claim_interval{250};
/// Time without a frame after which a candidate or a member counts as gone. Frames that a busy
/// host sends late must not depose a candidate.
inline constexpr std::chrono::milliseconds candidate_heartbeat_timeout{1200};
/// Interval at which an agent checks whether its process stood still, and the time between two
/// checks above which it did. Shorter standstills do not make others seem silent.
inline constexpr std::chrono::milliseconds standstill_check_interval{100};
inline constexpr std::chrono::milliseconds standstill_limit{600};
/// Time after a standstill in which nobody is judged silent: two claim intervals.
inline constexpr std::chrono::milliseconds resume_time{2 * claim_interval};
/// Time in which a stopping leader ends its switch, and in which the last frames are sent. Both
/// together stay below the time for a planned stop, which is 3 s.
inline constexpr std::chrono::milliseconds handover_limit{2000};
inline constexpr std::chrono::milliseconds handover_send_time{100};
/// Intervals at which an agent polls its engine: usually, and while the engine copies experts.
inline constexpr std::chrono::milliseconds status_interval{120};
inline constexpr std::chrono::milliseconds loading_status_interval{40};
/// Interval at which a member sends its status to a candidate that does not lead: twice within the
/// timeout after which the candidate would count the member as gone.
inline constexpr std::chrono::milliseconds candidate_status_interval{500};
/// Time after which the expert list of a layout of the leader's own term is sent to the leader too,
/// in case the leader lost track of that layout.
inline constexpr std::chrono::milliseconds held_experts_report_delay{3000};
/// Limit of the expert counts that all members together send to the leader. The leader's host may
/// have a link of 750 KB/s; half of it is left to other messages.
inline constexpr double counts_bytes_per_second = 280'000;
/// Time over which a member of a large group counts before it sends the counts. Longer than between
/// two polls, as its counts are sent rarely; short, as demand shifts within a second.
inline constexpr std::chrono::milliseconds counting_window{480};
/// Timeout of one call to the engine on the same host. It usually answers within a few
/// milliseconds.
inline constexpr std::chrono::milliseconds engine_call_timeout{150};
/// Attempts to send one order to an engine that does not answer.
inline constexpr int max_order_attempts = 6;
/// Time after which an order that its agent has not answered is sent again.
inline constexpr std::chrono::milliseconds order_timeout{1500};
/// Time for all engines to copy the experts of a layout before the switch is abandoned.
inline constexpr std::chrono::milliseconds load_timeout{8000};
/// Time for all engines to be armed for the step of a layout before the switch is withdrawn.
inline constexpr std::chrono::milliseconds arm_timeout{900};
/// Steps between the current one and the first step of a new layout, in addition to the steps that
/// arming takes.
inline constexpr std::uint64_t min_lead_steps = 2;
/// Maximum time that a layout is armed ahead of its switch, because demand shifts meanwhile.
inline constexpr std::chrono::milliseconds max_lead_time{1500};
/// Time without a status from a rank's agent after which the leader reaches the rank's engine
/// directly while a switch is under way or the leader settles. Statuses come every 120 ms.
inline constexpr std::chrono::milliseconds agent_silence_limit{400};
/// Interval at which the leader reads the state of such an engine while no switch is under way.
inline constexpr std::chrono::milliseconds idle_direct_interval{500};
/// Least mean time between two such reads, over all engines.
inline constexpr std::chrono::milliseconds direct_read_spacing{15};
/// Time after which the statuses of an agent that is back are used. The first ones may be older
/// than the states that the leader read directly.
inline constexpr std::chrono::milliseconds agent_return_time{2 * status_interval};
/// Time for which the leader does not call an engine again that belongs to another group.
inline constexpr std::chrono::milliseconds direct_exclusion_time{5000};
/// Interval between two ticks of the leader.
inline constexpr std::chrono::milliseconds leader_tick_interval{20};
/// Delay before a failed or lost connection to a candidate is opened again, and after a failed
/// accept.
inline constexpr std::chrono::milliseconds connect_retry_delay{300};
/// Delay before a connection to a candidate is opened again that did not answer the last one.
inline constexpr std::chrono::milliseconds refused_retry_delay{1500};
/// Interval at which an agent checks whether its registered group is up to date.
inline constexpr std::chrono::milliseconds registration_check_interval{1000};
/// Number of successive listings with more hosts than the group has ranks after which the service
/// counts as having several groups. A replaced host is listed beside the new one for a short time.
inline constexpr int listings_before_registration = 2;
/// Delay after a failed claim of the leadership or a failed read of the fence.
inline constexpr std::chrono::milliseconds claim_retry_delay{1000};

} // namespace currantpitch::rankcontrol
