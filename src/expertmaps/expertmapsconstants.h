#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::expertmaps {

/// Most sweeps of one balancing of replica weights, and the change of the slowest rank's time
/// below which it ends, as a part of that time.
inline constexpr int max_balance_sweeps = 24;
inline constexpr double balance_tolerance = 5e-4;

/// Sweeps for the trial of one move, and after a move has been chosen.
inline constexpr int trial_sweeps = 2;
inline constexpr int settling_sweeps = 6;
/// Most replica moves that one plan considers.
inline constexpr int max_moves_considered = 20;
/// Experts of the slowest rank and fast ranks that are tried for one move.
inline constexpr std::size_t move_experts_tried = 2;
inline constexpr std::size_t move_targets_tried = 2;
/// Skew up to which no further move is looked for.
inline constexpr double good_enough_skew = 1.01;
/// Time for which a popularity is expected to last when it shows no drift.
inline constexpr std::chrono::seconds horizon{120};
/// Factor by which the gain of moves must exceed their cost, in the first plan and later.
inline constexpr double first_hysteresis = 1;
inline constexpr double hysteresis = 2;
/// Skew that must be gained for moves to be made at all, and for a change of weights.
inline constexpr double smallest_gain = 0.01;
inline constexpr double smallest_reweighting = 0.002;
/// Rate at which one rank takes weights in from the store, in bytes a second.
inline constexpr double store_bytes_per_second = 1e9;

/// Weight of a sample before noise and drift can be told apart, and the least later.
inline constexpr double first_weight = 0.5;
inline constexpr double least_weight = 0.1;
/// Weight of the newest differences between samples in their mean.
inline constexpr double difference_weight = 0.15;
/// Distance of a sample from the mean (half the sum of differences) from which it is a burst.
inline constexpr double burst_distance = 0.08;
/// Weight of the newest sample in a rank's speed, and its weight after a jump.
inline constexpr double speed_weight = 0.3;
inline constexpr double speed_jump = 0.15;
inline constexpr double jump_weight = 0.9;
/// Age above which a report is not used, and above which no plan is made.
inline constexpr std::chrono::seconds report_lifetime{30};
/// How far in the future the timestamp of an accepted report may lie.
inline constexpr std::chrono::seconds max_lead_time{2};
/// Largest token count that a report may carry.
inline constexpr double most_tokens = 1e15;

/// Interval of the ranks' load reports to the leader.
inline constexpr std::chrono::seconds report_interval{5};
/// Interval at which a leader plans.
inline constexpr std::chrono::seconds planning_period{10};
/// Time between a prepare and its step, and the fewest steps it must cover.
inline constexpr std::chrono::milliseconds prepare_lead{400};
inline constexpr std::uint64_t fewest_lead_steps = 8;
/// Interval at which unanswered orders are sent again.
inline constexpr std::chrono::milliseconds order_resend_interval{200};
/// Time for all ranks to accept a prepare; it is aborted after that.
inline constexpr std::chrono::milliseconds prepare_timeout{1000};
/// Bits of a map version that count the versions of one leader.
inline constexpr unsigned versions_per_fence_bits = 24;
/// Silence after which another candidate takes the leader for dead.
inline constexpr std::chrono::milliseconds leader_silence_limit{3000};
/// Agents of a group that may become its leader.
inline constexpr std::size_t leader_candidates = 3;

} // namespace currantpitch::expertmaps
