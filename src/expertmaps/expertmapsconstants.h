#pragma once

#include <chrono>
#include <cstddef>

namespace currantpitch::expertmaps {

/// Maximum number of sweeps when balancing replica weights. Balancing stops earlier when the
/// maximum rank time changes by no more than the tolerance between two sweeps. The tolerance is a
/// fraction of that time.
inline constexpr int max_balance_sweeps = 24;
inline constexpr double balance_tolerance = 5e-4;

/// Balancing sweeps for evaluating a candidate move, and after a move has been chosen.
inline constexpr int trial_sweeps = 2;
inline constexpr int chosen_move_sweeps = 6;
/// Maximum number of replica moves in one search for a plan.
inline constexpr int max_moves_considered = 20;
/// Number of experts on the slowest rank, and of target ranks for each of them, that are evaluated
/// for one move.
inline constexpr std::size_t move_candidate_experts = 2;
inline constexpr std::size_t move_candidate_ranks = 2;
/// The search for moves stops when the skew is at or below this value.
inline constexpr double target_skew = 1.01;
/// Time for which the current popularity is assumed to last when it shows no drift.
inline constexpr std::chrono::seconds planning_horizon{120};
/// Factor by which the gain of moves must exceed their cost, for the first plan and for later
/// plans.
inline constexpr double first_plan_hysteresis = 1;
inline constexpr double hysteresis = 2;
/// Minimum reduction of the skew that justifies moving replicas, and the minimum for changing only
/// weights.
inline constexpr double min_skew_gain = 0.01;
inline constexpr double min_reweighting_gain = 0.002;
/// Rate at which one rank loads weights from the store, in bytes per second.
inline constexpr double store_bytes_per_second = 1e9;

/// Weight of a new sample until noise and drift can be distinguished, and its minimum weight later.
inline constexpr double initial_sample_weight = 0.5;
inline constexpr double min_sample_weight = 0.1;
/// Smoothing weight of the newest squared differences between samples.
inline constexpr double difference_weight = 0.15;
/// Distance from the mean above which a sample is a burst. The distance is half the sum of the
/// absolute differences.
inline constexpr double burst_distance = 0.08;
/// Smoothing weight of the newest sample of a rank's speed, the change of speed above which it
/// counts as a jump, and the weight of the sample after a jump.
inline constexpr double speed_weight = 0.3;
inline constexpr double speed_jump_threshold = 0.15;
inline constexpr double speed_jump_weight = 0.9;
/// Maximum age of a report. Older ones are rejected, and no plan is made when the newest sample is
/// older.
inline constexpr std::chrono::seconds max_report_age{30};
/// Maximum time by which the timestamp of an accepted report may lie in the future.
inline constexpr std::chrono::seconds max_future_offset{2};
/// Maximum token count in a report.
inline constexpr double max_reported_tokens = 1e15;

/// Interval between load reports of a rank to the leader.
inline constexpr std::chrono::seconds report_interval{5};
/// Interval between plans of a leader.
inline constexpr std::chrono::seconds planning_interval{10};
/// Time between a prepare order and the step of its switch, and the minimum number of steps.
inline constexpr std::chrono::milliseconds prepare_lead_time{400};
inline constexpr std::uint64_t min_prepare_lead_steps = 8;
/// Interval at which unanswered orders are resent.
inline constexpr std::chrono::milliseconds order_resend_interval{200};
/// Time limit for all ranks to accept a prepare order. The switch is aborted after that.
inline constexpr std::chrono::milliseconds prepare_timeout{1000};
/// Number of low-order bits of a map version that count the versions of one leader. The upper bits
/// contain its fence.
inline constexpr unsigned version_counter_bits = 24;
/// A candidate is considered failed when no message arrives from it for this time.
inline constexpr std::chrono::milliseconds leader_heartbeat_timeout{3000};
/// Maximum number of agents of a group that are candidates for leadership.
inline constexpr std::size_t max_leader_candidates = 3;

} // namespace currantpitch::expertmaps
