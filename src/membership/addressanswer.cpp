#include "membership/addressanswer.h"

#include "membership/entryset.h"

#include <algorithm>
#include <map>

namespace currantpitch::membership {

address_answer answer_addresses(const address_query& query, const std::vector<known_entry>& entries)
{
    std::map<core::host_id, const known_entry*> by_host;
    std::vector<entry_candidate> reachable;
    std::vector<entry_candidate> serving;
    for (const known_entry& e : entries) {
        if (e.leaving) {
            continue;
        }
        by_host[e.host] = &e;
        serving.push_back({e.host, e.failure_domain});
        if (e.reachable) {
            reachable.push_back({e.host, e.failure_domain});
        }
    }
    const std::vector<entry_candidate>& candidates = reachable.empty() ? serving : reachable;
    const std::size_t count =
        entry_count(query.requested_entries, query.share, query.total_share, candidates.size());
    address_answer answer;
    answer.lifetime = query.lifetime;
    for (const core::host_id& host : choose_entries(query.workspace, candidates, count)) {
        const known_entry& e = *by_host[host];
        answer.addresses.push_back({e.caller_address, e.failure_domain});
    }
    if (query.caller_failure_domain) {
        std::stable_partition(answer.addresses.begin(), answer.addresses.end(),
                              [&query](const entry_address& a) {
                                  return a.failure_domain == *query.caller_failure_domain;
                              });
    }
    return answer;
}

} // namespace currantpitch::membership
