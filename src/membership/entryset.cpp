#include "membership/entryset.h"

#include "core/hashing.h"
#include "membership/membershipconstants.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace currantpitch::membership {

namespace {

struct ranked_entry {
    std::uint64_t rank = 0;
    const entry_candidate* candidate = nullptr;
};

bool ranks_higher(const ranked_entry& a, const ranked_entry& b)
{
    return a.rank != b.rank ? a.rank > b.rank : a.candidate->host < b.candidate->host;
}

} // namespace

std::size_t entry_count(std::size_t requested_entries, double share, double total_share,
                        std::size_t entries)
{
    std::size_t count = requested_entries;
    if (count == 0) {
        const double fraction = total_share > 0 ? share / total_share : 0;
        const double by_share = std::ceil(fraction * static_cast<double>(entries));
        count = std::max(min_entries_per_workspace, static_cast<std::size_t>(by_share));
    }
    return std::min(count, entries);
}

std::vector<core::host_id> choose_entries(const core::workspace_id& workspace,
                                          const std::vector<entry_candidate>& candidates,
                                          std::size_t count)
{
    return choose_spread(workspace.str(), candidates, count);
}

std::vector<core::host_id> choose_spread(std::string_view key,
                                         const std::vector<entry_candidate>& candidates,
                                         std::size_t count)
{
    const std::uint64_t seed = core::hash64(key);
    std::unordered_map<core::failure_domain_id, std::vector<ranked_entry>> domains;
    for (const entry_candidate& c : candidates) {
        domains[c.failure_domain].push_back({core::hash64(c.host.str(), seed), &c});
    }
    // The first round holds the highest ranked host of each failure domain, the second round the
    // second highest, and so on.
    std::vector<std::vector<ranked_entry>> rounds;
    for (std::pair<const core::failure_domain_id, std::vector<ranked_entry>>& domain : domains) {
        std::vector<ranked_entry>& entries = domain.second;
        const std::size_t needed = std::min(count, entries.size());
        std::partial_sort(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(needed),
                          entries.end(), ranks_higher);
        rounds.resize(std::max(rounds.size(), needed));
        for (std::size_t i = 0; i < needed; ++i) {
            rounds[i].push_back(entries[i]);
        }
    }
    std::vector<core::host_id> chosen;
    for (std::vector<ranked_entry>& round : rounds) {
        std::sort(round.begin(), round.end(), ranks_higher);
        for (const ranked_entry& r : round) {
            if (chosen.size() < count) {
                chosen.push_back(r.candidate->host);
            }
        }
    }
    return chosen;
}

} // namespace currantpitch::membership
