#include "expertmaps/samplecollector.h"

#include "expertmaps/expertmapsconstants.h"

#include <algorithm>

namespace currantpitch::expertmaps {

std::vector<std::uint64_t> whole_counts(const std::vector<double>& reported)
{
    std::vector<std::uint64_t> counts;
    counts.reserve(reported.size());
    for (const double count : reported) {
        const bool possible = count >= 0 && count <= most_tokens;
        counts.push_back(possible ? static_cast<std::uint64_t>(count) : 0);
    }
    return counts;
}

void sample_collector::take(const rank_report& report)
{
    if (report.rank < shape_.ranks) {
        reports_[report.rank] = report;
    }
}

std::optional<group_sample> sample_collector::collect(const expert_map& present,
                                                      core::time_point now)
{
    const bool full = reports_.size() == shape_.ranks &&
                      std::all_of(reports_.begin(), reports_.end(), [this](const auto& entry) {
                          return entry.second.expert_tokens.size() == shape_.experts;
                      });
    if (!full) {
        return std::nullopt;
    }
    group_sample sample;
    sample.at = now;
    sample.expert_tokens.assign(shape_.experts, 0);
    for (const std::pair<const std::uint32_t, rank_report>& entry : reports_) {
        const std::vector<std::uint64_t>& total = entry.second.expert_tokens;
        std::vector<std::uint64_t>& before = counted_[entry.first];
        before.resize(shape_.experts, 0);
        for (std::size_t i = 0; i < total.size(); ++i) {
            // A count that went back belongs to a restarted engine.
            const std::uint64_t added = total[i] >= before[i] ? total[i] - before[i] : total[i];
            sample.expert_tokens[i] += static_cast<double>(added);
        }
        before = total;
        sample.at = std::min<core::time_point>(sample.at, now - entry.second.age);
        sample.rank_step_times.push_back(entry.second.step_time);
    }
    sample.rank_tokens = rank_times(present, sample.expert_tokens, {});
    reports_.clear();
    return sample;
}

} // namespace currantpitch::expertmaps
