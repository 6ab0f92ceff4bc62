#include "membership/entryset.h"

#include "core/hashing.h"
#include "membership/membershipconstants.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace currantpitch::membership {

namespace {

struct ranked_entry {
    std::uint64_t rank = 0;
    /// Position within its failure domain, best first.
    std::size_t round = 0;
    const entry_candidate* candidate = nullptr;
};

} // namespace

std::size_t entry_count(std::size_t asked_for, double share, double total_share,
                        std::size_t entries)
{
    std::size_t wanted = asked_for;
    if (wanted == 0) {
        const double part = total_share > 0 ? share / total_share : 0;
        const double by_share = std::ceil(part * static_cast<double>(entries));
        wanted = std::max(fewest_entries, static_cast<std::size_t>(by_share));
    }
    return std::min(wanted, entries);
}

std::vector<core::host_id> choose_entries(const core::workspace_id& workspace,
                                          const std::vector<entry_candidate>& candidates,
                                          std::size_t count)
{
    const std::uint64_t seed = core::hash64(workspace.str());
    std::vector<ranked_entry> ranked;
    ranked.reserve(candidates.size());
    for (const entry_candidate& c : candidates) {
        ranked.push_back({core::hash64(c.host.str(), seed), 0, &c});
    }
    std::sort(ranked.begin(), ranked.end(), [](const ranked_entry& a, const ranked_entry& b) {
        return a.rank != b.rank ? a.rank > b.rank : a.candidate->host < b.candidate->host;
    });
    std::map<core::failure_domain_id, std::size_t> taken;
    for (ranked_entry& r : ranked) {
        r.round = taken[r.candidate->failure_domain]++;
    }
    std::stable_sort(
        ranked.begin(), ranked.end(),
        [](const ranked_entry& a, const ranked_entry& b) { return a.round < b.round; });
    std::vector<core::host_id> chosen;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
        chosen.push_back(ranked[i].candidate->host);
    }
    return chosen;
}

} // namespace currantpitch::membership
