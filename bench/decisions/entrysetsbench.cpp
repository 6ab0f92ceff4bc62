#include "decisions/entrysetsbench.h"

#include "core/hashing.h"
#include "decisions/stopwatch.h"
#include "membership/entryset.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <random>
#include <set>

namespace currantpitch::bench {

namespace {

using membership::entry_candidate;

constexpr std::size_t entries_per_workspace = 3;

/// Returns the bucket of a key by the jump consistent hash of Lamping and Veach, which the paper on
/// scaling a review system recommends.
std::size_t jump_bucket(std::uint64_t key, std::size_t buckets)
{
    std::int64_t bucket = -1;
    std::int64_t next = 0;
    while (next < static_cast<std::int64_t>(buckets)) {
        bucket = next;
        key = key * 2862933555777941757ULL + 1;
        next = static_cast<std::int64_t>(
            static_cast<double>(bucket + 1) *
            (static_cast<double>(1LL << 31) / static_cast<double>((key >> 33) + 1)));
    }
    return static_cast<std::size_t>(bucket);
}

using entry_set = std::vector<core::host_id>;

struct rendezvous_choice {
    static entry_set choose(const core::workspace_id& w, const std::vector<entry_candidate>& c)
    {
        return membership::choose_entries(w, c, entries_per_workspace);
    }
};

/// Hashes the workspace with increasing seeds until enough different entries are chosen.
template <class Bucket>
entry_set choose_by_hash(const core::workspace_id& w, const std::vector<entry_candidate>& c,
                         Bucket bucket)
{
    entry_set chosen;
    for (std::uint64_t i = 0; chosen.size() < std::min(entries_per_workspace, c.size()); ++i) {
        const core::host_id& host = c[bucket(core::hash64(w.str(), i), c.size())].host;
        if (std::find(chosen.begin(), chosen.end(), host) == chosen.end()) {
            chosen.push_back(host);
        }
    }
    return chosen;
}

struct jump_choice {
    static entry_set choose(const core::workspace_id& w, const std::vector<entry_candidate>& c)
    {
        return choose_by_hash(w, c, jump_bucket);
    }
};

struct modulo_choice {
    static entry_set choose(const core::workspace_id& w, const std::vector<entry_candidate>& c)
    {
        return choose_by_hash(w, c, [](std::uint64_t key, std::size_t n) { return key % n; });
    }
};

std::vector<entry_candidate> candidates_of(std::size_t count, std::size_t domains)
{
    std::vector<entry_candidate> list;
    for (std::size_t i = 0; i < count; ++i) {
        list.push_back({core::host_id("entry-" + std::to_string(i)),
                        core::failure_domain_id("fd-" + std::to_string(i % domains))});
    }
    return list;
}

std::size_t count_added(const entry_set& before, const entry_set& after)
{
    std::size_t count = 0;
    for (const core::host_id& host : after) {
        count += std::find(before.begin(), before.end(), host) == before.end() ? 1 : 0;
    }
    return count;
}

struct entry_set_results {
    /// Fraction of assignments that change when an entry joins.
    double moved_on_join = 0;
    /// Fraction of assignments that change when an entry leaves.
    double moved_on_leave = 0;
    /// Fraction of assignments to the leaving entry, which have to change.
    double needed_on_leave = 0;
    /// Fraction of workspaces that lose all their entries with the first failure domain.
    double lost_with_domain = 0;
    /// Time of one choice of entries.
    double ns = 0;
};

template <class Choice>
entry_set_results measure(std::size_t entries, std::size_t domains, std::size_t workspaces,
                          std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const std::vector<entry_candidate> all = candidates_of(entries, domains);
    const std::vector<entry_candidate> with_joined_entry = candidates_of(entries + 1, domains);
    const std::size_t leaving_index = random() % entries;
    std::vector<entry_candidate> without_leaving_entry = all;
    without_leaving_entry.erase(without_leaving_entry.begin() +
                                static_cast<std::ptrdiff_t>(leaving_index));
    entry_set_results results;
    std::vector<entry_set> sets;
    const stopwatch watch;
    for (std::size_t i = 0; i < workspaces; ++i) {
        sets.push_back(Choice::choose(core::workspace_id("w" + std::to_string(i)), all));
    }
    results.ns = watch.nanoseconds() / static_cast<double>(workspaces);
    for (std::size_t i = 0; i < workspaces; ++i) {
        const core::workspace_id w("w" + std::to_string(i));
        results.moved_on_join +=
            static_cast<double>(count_added(sets[i], Choice::choose(w, with_joined_entry)));
        results.moved_on_leave +=
            static_cast<double>(count_added(sets[i], Choice::choose(w, without_leaving_entry)));
        bool all_in_domain = true;
        for (const core::host_id& host : sets[i]) {
            const std::size_t index = std::stoul(host.str().substr(6));
            results.needed_on_leave += index == leaving_index ? 1 : 0;
            all_in_domain = all_in_domain && index % domains == 0;
        }
        results.lost_with_domain += all_in_domain ? 1 : 0;
    }
    const double assignments =
        static_cast<double>(workspaces * std::min(entries_per_workspace, entries));
    results.moved_on_join /= assignments;
    results.moved_on_leave /= assignments;
    results.needed_on_leave /= assignments;
    results.lost_with_domain /= static_cast<double>(workspaces);
    return results;
}

void add_row(bench_report& report, const std::string& name, std::size_t entries,
             const entry_set_results& results)
{
    report.add({std::to_string(entries), name, format_number(results.moved_on_join, 4),
                format_number(results.moved_on_leave, 4), format_number(results.needed_on_leave, 4),
                format_number(results.lost_with_domain, 4), format_number(results.ns, 0)});
}

} // namespace

bench_report run_entry_sets(std::uint64_t seed)
{
    bench_report report({"entries", "choice", "moved_on_join", "moved_on_leave", "needed_on_leave",
                         "lost_with_domain", "ns"});
    const std::vector<std::array<std::size_t, 3>> sizes = {
        {9, 3, 6300}, {100, 8, 6300}, {2400, 22, 1000}};
    for (const std::array<std::size_t, 3>& size : sizes) {
        std::cerr << "progress entries=" << size[0] << "\n";
        add_row(report, "rendezvous", size[0],
                measure<rendezvous_choice>(size[0], size[1], size[2], seed));
        add_row(report, "jump", size[0], measure<jump_choice>(size[0], size[1], size[2], seed));
        add_row(report, "modulo", size[0], measure<modulo_choice>(size[0], size[1], size[2], seed));
    }
    return report;
}

} // namespace currantpitch::bench
