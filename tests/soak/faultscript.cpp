#include "soak/faultscript.h"

#include "soak/soakconstants.h"

#include <algorithm>
#include <array>
#include <random>

namespace currantpitch::soak {

namespace {

constexpr std::size_t fault_kind_count = static_cast<std::size_t>(fault_kind::last) + 1;
constexpr std::size_t first_added_kind = static_cast<std::size_t>(fault_kind::first_added);
/// Distance between the seeds of the streams of two added kinds.
constexpr std::uint64_t added_stream_distance = 1'000'003;
/// Probability that a fault is repeated soon after, with the same target.
constexpr double repeat_probability = 0.25;
constexpr std::chrono::milliseconds min_duration{200};
constexpr std::chrono::milliseconds max_duration{4000};
/// The same for the added kinds, of which endpoints must have time to take notice.
constexpr std::chrono::milliseconds max_added_duration{12000};

constexpr std::array<std::string_view, fault_kind_count> fault_kind_names{
    "gateway_killed",
    "gateway_paused",
    "gateway_stopped",
    "gateway_reloads",
    "gateway_cut_from_store",
    "caller_link_slow",
    "caller_link_reset",
    "caller_link_silent",
    "agent_killed",
    "agent_paused",
    "agent_stopped",
    "endpoint_link_slow",
    "endpoint_link_reset",
    "endpoint_link_cut_up",
    "endpoint_link_cut_down",
    "endpoint_link_silent",
    "endpoint_link_refuses",
    "endpoint_sends_garbage",
    "endpoint_crashes",
    "endpoint_fails",
    "endpoint_loses_answers",
    "endpoint_cuts_answers",
    "endpoint_slow",
    "endpoint_full",
    "endpoint_drains",
    "group_crashes",
    "orders_late",
    "store_away",
    "store_refuses",
    "store_loses_answers",
    "store_acts_late",
    "store_slow",
    "store_deaf",
    "store_forgets",
    "store_turns_one_away",
    "configuration_changes",
    "key_revoked",
    "endpoint_limited",
    "store_restored",
    "endpoint_says_it_leaves",
    "endpoint_wants_quiet",
    "endpoint_sends_without_end"};

} // namespace

std::string_view to_string(fault_kind k)
{
    return fault_kind_names[static_cast<std::size_t>(k)];
}

namespace {

/// The kinds of faults of a script, and how often and how long they occur.
struct fault_class {
    std::size_t first_kind = 0;
    std::size_t kinds = 0;
    std::chrono::milliseconds mean_interval{};
    std::chrono::milliseconds max_duration{};
};

void add_faults(std::vector<planned_fault>& script, const fault_class& added, std::uint64_t seed,
                std::chrono::milliseconds length)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> pause(1.0 /
                                                static_cast<double>(added.mean_interval.count()));
    std::uniform_int_distribution<std::size_t> kind(0, added.kinds - 1);
    std::uniform_int_distribution<std::int64_t> duration(min_duration.count(),
                                                         added.max_duration.count());
    std::uniform_int_distribution<std::uint32_t> target(0, 1U << 20);
    std::bernoulli_distribution repeated(repeat_probability);
    std::chrono::milliseconds at{};
    while (true) {
        at += std::chrono::milliseconds(static_cast<std::int64_t>(pause(random)));
        if (at >= length) {
            break;
        }
        planned_fault f;
        f.at = at;
        f.kind = static_cast<fault_kind>(added.first_kind + kind(random));
        f.target = target(random);
        f.duration = std::chrono::milliseconds(duration(random));
        script.push_back(f);
        if (repeated(random)) {
            f.at += f.duration + std::chrono::milliseconds(duration(random) / 4);
            script.push_back(f);
        }
    }
}

} // namespace

std::vector<planned_fault> make_fault_script(std::uint64_t seed, std::chrono::milliseconds length)
{
    std::vector<planned_fault> script;
    add_faults(script, {0, first_added_kind, mean_fault_interval, max_duration}, seed, length);
    for (std::size_t kind = first_added_kind; kind < fault_kind_count; ++kind) {
        // Each has a stream of its own, so that further kinds do not change the script either.
        const fault_class added{kind, 1, mean_added_fault_interval, max_added_duration};
        add_faults(script, added, seed + kind * added_stream_distance, length);
    }
    // Faults end with the script at the latest.
    std::erase_if(script,
                  [length](const planned_fault& f) { return f.at + min_duration > length; });
    for (planned_fault& f : script) {
        f.duration = std::min(f.duration, length - f.at);
    }
    std::sort(script.begin(), script.end(),
              [](const planned_fault& a, const planned_fault& b) { return a.at < b.at; });
    return script;
}

} // namespace currantpitch::soak
