#include "expertmaps/samplecollector.h"

#include "expertmaps/expertmapsconstants.h"

#include <algorithm>

namespace currantpitch::expertmaps {

std::vector<std::uint64_t> to_token_counts(const std::vector<double>& reported)
{
    std::vector<std::uint64_t> counts;
    counts.reserve(reported.size());
    for (const double count : reported) {
        const bool valid = count >= 0 && count <= max_reported_tokens;
        counts.push_back(valid ? static_cast<std::uint64_t>(count) : 0);
    }
    return counts;
}

void sample_collector::on_report(const rank_report& report)
{
    if (report.rank < shape_.ranks) {
        reports_[report.rank] = report;
    }
}

std::optional<group_sample> sample_collector::collect(const expert_map& current,
                                                      core::time_point now)
{
    const bool complete = reports_.size() == shape_.ranks &&
                          std::all_of(reports_.begin(), reports_.end(), [this](const auto& entry) {
                              return entry.second.expert_tokens.size() == shape_.experts;
                          });
    if (!complete) {
        return std::nullopt;
    }
    group_sample sample;
    sample.at = now;
    sample.expert_tokens.assign(shape_.experts, 0);
    for (const std::pair<const std::uint32_t, rank_report>& entry : reports_) {
        const std::vector<std::uint64_t>& total = entry.second.expert_tokens;
        std::vector<std::uint64_t>& previous = previous_counts_[entry.first];
        previous.resize(shape_.experts, 0);
        for (std::size_t i = 0; i < total.size(); ++i) {
            // A count decreases only when the engine was restarted.
            const std::uint64_t added = total[i] >= previous[i] ? total[i] - previous[i] : total[i];
            sample.expert_tokens[i] += static_cast<double>(added);
        }
        previous = total;
        sample.at = std::min<core::time_point>(sample.at, now - entry.second.age);
        sample.rank_step_times.push_back(entry.second.step_time);
    }
    sample.rank_tokens = rank_times(current, sample.expert_tokens, {});
    reports_.clear();
    return sample;
}

} // namespace currantpitch::expertmaps
