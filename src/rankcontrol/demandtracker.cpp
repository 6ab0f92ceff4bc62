#include "rankcontrol/demandtracker.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace currantpitch::rankcontrol {

namespace {

/// Fraction of the tracked counts that is retained when demand shifts.
constexpr double retained_after_shift = 0.1;

double sum_of(const std::vector<double>& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

/// L1 distance of two distributions, from 0 to 2.
double distance(const std::vector<double>& a, double sum_a, const std::vector<double>& b,
                double sum_b)
{
    double total = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        total += std::abs(a[i] / sum_a - b[i] / sum_b);
    }
    return total;
}

} // namespace

demand_tracker::demand_tracker(const layout_shape& shape)
    : shape_(shape), pending_counts_(shape.layers, std::vector<double>(shape.experts)),
      tracked_counts_(shape.layers, std::vector<double>(shape.experts))
{
}

bool demand_tracker::add(const expert_counts& counts)
{
    const bool shape_matches =
        counts.size() == shape_.layers &&
        std::all_of(counts.begin(), counts.end(), [this](const std::vector<double>& layer) {
            return layer.size() == shape_.experts;
        });
    if (!shape_matches) {
        return false;
    }
    for (std::size_t layer = 0; layer < shape_.layers; ++layer) {
        for (std::size_t e = 0; e < shape_.experts; ++e) {
            pending_counts_[layer][e] += counts[layer][e];
        }
    }
    return true;
}

void demand_tracker::advance(core::duration interval)
{
    last_tokens_ = pending_counts_.empty() ? 0 : sum_of(pending_counts_.front());
    if (last_tokens_ <= 0) {
        last_distance_ = 0;
        return;
    }
    last_distance_ = 0;
    for (std::size_t layer = 0; layer < shape_.layers; ++layer) {
        const double previous_total = sum_of(tracked_counts_[layer]);
        const double new_total = sum_of(pending_counts_[layer]);
        if (previous_total > 0 && new_total > 0) {
            last_distance_ =
                std::max(last_distance_, distance(tracked_counts_[layer], previous_total,
                                                  pending_counts_[layer], new_total));
        }
    }
    const double elapsed_half_lives =
        std::chrono::duration<double>(interval) / std::chrono::duration<double>(demand_half_life);
    const double retained = last_distance_ >= demand_shift_threshold
                                ? retained_after_shift
                                : std::exp2(-elapsed_half_lives);
    shares_.assign(shape_.layers, std::vector<double>(shape_.experts));
    for (std::size_t layer = 0; layer < shape_.layers; ++layer) {
        for (std::size_t e = 0; e < shape_.experts; ++e) {
            tracked_counts_[layer][e] =
                tracked_counts_[layer][e] * retained + pending_counts_[layer][e];
            pending_counts_[layer][e] = 0;
        }
        const double total = sum_of(tracked_counts_[layer]);
        for (std::size_t e = 0; e < shape_.experts && total > 0; ++e) {
            shares_[layer][e] = tracked_counts_[layer][e] / total;
        }
    }
}

} // namespace currantpitch::rankcontrol
