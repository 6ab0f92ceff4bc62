#include "load/loadreport.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace currantpitch::load {

namespace {

constexpr std::array<const char*, 6> outcome_names = {"whole",   "not_run", "unknown",
                                                      "cut_off", "wrong",   "unreachable"};

double percentile_ms(std::vector<core::duration> times, double fraction)
{
    if (times.empty()) {
        return 0;
    }
    std::sort(times.begin(), times.end());
    const std::size_t index = std::min(
        times.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(times.size())));
    return std::chrono::duration<double, std::milli>(times[index]).count();
}

std::string row(const char* name, const std::vector<core::duration>& times)
{
    std::array<char, 160> line{};
    std::snprintf(line.data(), line.size(), "%-16s %9zu %9.2f %9.2f %9.2f %9.2f\n", name,
                  times.size(), percentile_ms(times, 0.5), percentile_ms(times, 0.95),
                  percentile_ms(times, 0.99), percentile_ms(times, 1.0));
    return line.data();
}

} // namespace

std::uint64_t load_report::total() const
{
    return std::accumulate(outcomes_.begin(), outcomes_.end(), std::uint64_t{0});
}

std::string load_report::text() const
{
    std::string text = "time in ms           count       p50       p95       p99       max\n";
    text += row("first token", first_token_times_) + row("between tokens", token_intervals_) +
            row("call", call_times_);
    text += "\noutcome          requests\n";
    for (std::size_t i = 0; i < outcomes_.size(); ++i) {
        std::array<char, 80> line{};
        std::snprintf(line.data(), line.size(), "%-16s %8llu\n", outcome_names[i],
                      static_cast<unsigned long long>(outcomes_[i]));
        text += line.data();
    }
    text += "retries after not_run " + std::to_string(retries_) + "\n";
    return text;
}

std::string load_report::progress() const
{
    return "requests=" + std::to_string(total()) +
           " whole=" + std::to_string(count_of(request_outcome::whole)) +
           " not_run=" + std::to_string(count_of(request_outcome::not_run)) +
           " unknown=" + std::to_string(count_of(request_outcome::unknown)) +
           " cut_off=" + std::to_string(count_of(request_outcome::cut_off)) +
           " retries=" + std::to_string(retries_);
}

} // namespace currantpitch::load
