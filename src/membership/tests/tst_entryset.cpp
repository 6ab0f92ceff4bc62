#include "membership/addressanswer.h"
#include "membership/entryset.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::membership;
using namespace std::chrono_literals;

namespace {

std::vector<entry_candidate> candidates_of(std::size_t count, std::size_t domains = 3)
{
    std::vector<entry_candidate> list;
    for (std::size_t i = 0; i < count; ++i) {
        list.push_back({core::host_id("h" + std::to_string(i)),
                        core::failure_domain_id("fd" + std::to_string(i % domains))});
    }
    return list;
}

known_entry known(const std::string& host, const std::string& domain)
{
    return {core::host_id(host), core::failure_domain_id(domain), host + ":80", false, true};
}

} // namespace

TEST_GROUP(entry_sets){};

TEST(entry_sets, removing_an_entry_replaces_only_that_entry)
{
    CHECK_PROPERTY("one entry leaves", [](std::uint16_t workspace) {
        const core::workspace_id id("w" + std::to_string(workspace));
        std::vector<entry_candidate> all = candidates_of(9);
        const std::vector<core::host_id> before = choose_entries(id, all, 3);
        const std::size_t removed_index = *rc::gen::inRange<std::size_t>(0, all.size());
        const core::host_id removed = all[removed_index].host;
        all.erase(all.begin() + static_cast<std::ptrdiff_t>(removed_index));
        const std::vector<core::host_id> after = choose_entries(id, all, 3);
        std::size_t moved = 0;
        for (const core::host_id& host : before) {
            moved += std::find(after.begin(), after.end(), host) == after.end() ? 1 : 0;
        }
        const bool was_chosen = std::find(before.begin(), before.end(), removed) != before.end();
        RC_ASSERT(moved == (was_chosen ? 1U : 0U));
    });
}

TEST(entry_sets, choice_spans_the_failure_domains)
{
    for (int i = 0; i < 200; ++i) {
        const std::vector<core::host_id> chosen =
            choose_entries(core::workspace_id(std::to_string(i)), candidates_of(9), 3);
        std::set<int> domains;
        for (const core::host_id& host : chosen) {
            domains.insert((host.str()[1] - '0') % 3);
        }
        LONGS_EQUAL(3, domains.size());
    }
}

TEST(entry_sets, count_follows_share_within_bounds)
{
    LONGS_EQUAL(2, entry_count(0, 1, 100, 9));
    LONGS_EQUAL(5, entry_count(0, 50, 100, 9));
    LONGS_EQUAL(4, entry_count(4, 1, 100, 9));
    LONGS_EQUAL(1, entry_count(0, 1, 0, 1));
    LONGS_EQUAL(0, entry_count(3, 1, 1, 0));
}

TEST_GROUP(addresses)
{
    std::vector<known_entry> entries{known("a", "x"), known("b", "y"), known("c", "z")};
    address_query query{core::workspace_id("w"), 3, 1, 1, std::nullopt, 5s};
};

TEST(addresses, failure_domain_of_the_caller_comes_first)
{
    query.caller_failure_domain = core::failure_domain_id("z");
    const address_answer answer = answer_addresses(query, entries);
    CHECK(answer.addresses.at(0).address == "c:80");
    LONGS_EQUAL(3, answer.addresses.size());
    CHECK(answer.lifetime == 5s);
}

TEST(addresses, leaving_entries_are_excluded_and_unreachable_ones_are_a_fallback)
{
    entries[0].leaving = true;
    entries[1].reachable = false;
    LONGS_EQUAL(1, answer_addresses(query, entries).addresses.size());
    entries[2].reachable = false;
    LONGS_EQUAL(2, answer_addresses(query, entries).addresses.size());
    entries[1].leaving = true;
    entries[2].leaving = true;
    CHECK(answer_addresses(query, entries).addresses.empty());
}
