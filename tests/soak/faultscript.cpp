#include "soak/faultscript.h"

#include "soak/soakconstants.h"

#include <algorithm>
#include <array>
#include <random>

namespace currantpitch::soak {

namespace {

constexpr std::size_t kinds = static_cast<std::size_t>(fault_kind::last) + 1;
/// Part of the faults that come again soon after, with the same target.
constexpr double repeated = 0.25;
constexpr std::chrono::milliseconds shortest{200};
constexpr std::chrono::milliseconds longest{4000};

constexpr std::array<std::string_view, kinds> names{"gateway_killed",
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
                                                    "key_revoked"};

} // namespace

std::string_view to_string(fault_kind k)
{
    return names[static_cast<std::size_t>(k)];
}

std::vector<planned_fault> make_script(std::uint64_t seed, std::chrono::milliseconds length)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> pause(1.0 / static_cast<double>(fault_interval.count()));
    std::uniform_int_distribution<std::size_t> kind(0, kinds - 1);
    std::uniform_int_distribution<std::int64_t> lasts(shortest.count(), longest.count());
    std::uniform_int_distribution<std::uint32_t> target(0, 1U << 20);
    std::bernoulli_distribution again(repeated);
    std::vector<planned_fault> script;
    std::chrono::milliseconds at{};
    while (true) {
        at += std::chrono::milliseconds(static_cast<std::int64_t>(pause(random)));
        if (at >= length) {
            break;
        }
        planned_fault f;
        f.at = at;
        f.kind = static_cast<fault_kind>(kind(random));
        f.target = target(random);
        f.lasts = std::chrono::milliseconds(lasts(random));
        script.push_back(f);
        if (again(random)) {
            f.at += f.lasts + std::chrono::milliseconds(lasts(random) / 4);
            script.push_back(f);
        }
    }
    // What would outlast the script ends with it.
    std::erase_if(script, [length](const planned_fault& f) { return f.at + shortest > length; });
    for (planned_fault& f : script) {
        f.lasts = std::min(f.lasts, length - f.at);
    }
    std::sort(script.begin(), script.end(),
              [](const planned_fault& a, const planned_fault& b) { return a.at < b.at; });
    return script;
}

} // namespace currantpitch::soak
