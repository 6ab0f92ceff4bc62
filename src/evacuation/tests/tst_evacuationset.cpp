#include "evacuation/evacuationset.h"

#include "evacuation/evacuationconstants.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace std::chrono_literals;
using evacuation::evacuation_set;
using domains = std::set<core::failure_domain_id>;

namespace {

const core::failure_domain_id a("fd-a");
const core::failure_domain_id b("fd-b");

core::revision at(std::uint64_t number, std::uint64_t era = 1)
{
    return {number, core::store_era{era}};
}

} // namespace

TEST_GROUP(evacuation_sets)
{
    evacuation_set own;
    evacuation_set peer;
    core::time_point now{1h};

    void list(evacuation_set & s, const evacuation::evacuation_versions& listed,
              core::revision revision)
    {
        s.on_listing(listed, {}, revision, now);
    }
    /// A gateway that holds the evacuation of a, which a store restored from an older copy lacks.
    void restore()
    {
        list(own, {{a, at(7)}}, at(7));
        list(own, {}, at(5, 2));
    }
};

TEST(evacuation_sets, overlapping_evacuations_end_independently)
{
    list(own, {}, at(5));
    own.on_change(a, at(6), true, now);
    own.on_change(b, at(7), true, now);
    CHECK((own.evacuated() == domains{a, b}));
    own.on_change(a, at(8), false, now);
    CHECK(own.evacuated() == domains{b});
    own.on_change(a, at(9), true, now);
    own.on_change(b, at(10), false, now);
    CHECK(own.evacuated() == domains{a});
}

// The store may name a deleted object with the version that was deleted.
TEST(evacuation_sets, deletion_with_the_version_of_the_deleted_object_ends_the_evacuation)
{
    list(own, {{a, at(7)}}, at(9));
    own.on_change(a, at(7), false, now);
    CHECK(own.evacuated().empty());
}

TEST(evacuation_sets, listing_ends_evacuations_that_it_lacks)
{
    list(own, {{a, at(6)}}, at(6));
    list(own, {{b, at(9)}}, at(10));
    CHECK(own.evacuated() == domains{b});
}

// A late report must not evacuate a failure domain again whose evacuation has been lifted.
TEST(evacuation_sets, report_of_an_older_revision_changes_nothing)
{
    list(own, {{a, at(7)}}, at(7));
    list(peer, {{a, at(7)}}, at(7));
    own.on_change(a, at(8), false, now);
    own.on_report(peer.report(), now);
    CHECK(own.evacuated().empty());
    own.on_change(a, at(7), true, now);
    CHECK(own.evacuated().empty());
}

// A gateway that is cut off from the store learns of both from its peers.
TEST(evacuation_sets, reports_begin_and_end_evacuations)
{
    list(own, {}, at(5));
    list(peer, {}, at(5));
    peer.on_change(a, at(6), true, now);
    own.on_report(peer.report(), now);
    CHECK(own.evacuated() == domains{a});
    peer.on_change(a, at(7), false, now);
    own.on_report(peer.report(), now);
    CHECK(own.evacuated().empty());
}

// The own watch may be ahead of the peer for one failure domain, and behind it for another.
TEST(evacuation_sets, newest_revision_of_each_failure_domain_counts)
{
    list(own, {{a, at(9)}}, at(6));
    list(peer, {{b, at(7)}}, at(7));
    own.on_report(peer.report(), now);
    CHECK((own.evacuated() == domains{a, b}));
}

TEST(evacuation_sets, gateway_that_starts_in_the_middle_learns_all_from_a_peer)
{
    CHECK(!own.known());
    list(peer, {{a, at(6)}, {b, at(7)}}, at(8));
    own.on_report(peer.report(), now);
    CHECK(own.known());
    CHECK((own.evacuated() == domains{a, b}));
    own.on_report({}, now);
    CHECK((own.evacuated() == domains{a, b}));
}

TEST(evacuation_sets, evacuation_that_a_restored_store_lacks_stays_in_force)
{
    restore();
    CHECK(own.evacuated() == domains{a});
    now += 1s;
    own.on_change(a, at(6, 2), true, now);
    now += evacuation::rewrite_period;
    CHECK(!own.listing_needed(now));
    CHECK(own.evacuated() == domains{a});
    own.on_change(a, at(7, 2), false, now);
    CHECK(own.evacuated().empty());
}

// An evacuation that the operator does not write again must not last for ever.
TEST(evacuation_sets, evacuation_that_is_not_written_again_ends_with_a_listing)
{
    restore();
    now += evacuation::rewrite_period - 1ms;
    CHECK(!own.listing_needed(now));
    list(own, {}, at(5, 2));
    CHECK(own.evacuated() == domains{a});
    now += 1ms;
    CHECK(own.listing_needed(now));
    CHECK(own.evacuated() == domains{a});
    list(own, {}, at(5, 2));
    CHECK(own.evacuated().empty());
    CHECK(!own.listing_needed(now));
}

// The deletion may be the first that is seen of the object after the restore.
TEST(evacuation_sets, evacuation_deleted_after_a_restore_ends_at_once)
{
    restore();
    own.on_change(a, at(6, 2), true, now);
    own.on_change(a, at(7, 2), false, now);
    CHECK(own.evacuated().empty());
    list(peer, {{a, at(7)}}, at(7));
    own.on_report(peer.report(), now);
    CHECK(own.evacuated().empty());
}

// A gateway that starts after the restore has only the older copy to read.
TEST(evacuation_sets, gateway_that_starts_after_a_restore_learns_from_peers_of_both_eras)
{
    list(peer, {{a, at(7)}}, at(7));
    list(own, {}, at(5, 2));
    own.on_report(peer.report(), now);
    CHECK(own.evacuated() == domains{a});
    evacuation_set third;
    list(third, {}, at(5, 2));
    third.on_report(own.report(), now);
    CHECK(third.evacuated() == domains{a});
    now += evacuation::rewrite_period;
    list(own, {}, at(5, 2));
    third.on_report(own.report(), now);
    CHECK(third.evacuated().empty());
    // The others may still hold it.
    own.on_report(peer.report(), now);
    CHECK(own.evacuated().empty());
}

TEST(evacuation_sets, report_from_a_newer_era_keeps_what_it_lacks)
{
    list(own, {{a, at(7)}}, at(7));
    list(peer, {{b, at(4, 2)}}, at(5, 2));
    own.on_report(peer.report(), now);
    CHECK((own.evacuated() == domains{a, b}));
}

// An operator's mistake in an object must neither end nor begin an evacuation.
TEST(evacuation_sets, last_state_stays_while_the_object_is_malformed)
{
    list(own, {{a, at(6)}}, at(6));
    own.on_unreadable(a);
    own.on_unreadable(b);
    CHECK(own.evacuated() == domains{a});
    own.on_listing({}, {a, b}, at(8), now);
    CHECK(own.evacuated() == domains{a});
    own.on_listing({}, {a, b}, at(4, 2), now);
    CHECK(own.evacuated() == domains{a});
    own.on_change(a, at(9, 2), false, now);
    CHECK(own.evacuated().empty());
}

TEST(evacuation_sets, gateway_that_starts_on_a_malformed_object_takes_the_last_state_of_a_peer)
{
    list(peer, {{a, at(6)}}, at(6));
    own.on_listing({}, {a}, at(8), now);
    CHECK(own.evacuated().empty());
    own.on_report(peer.report(), now);
    CHECK(own.evacuated() == domains{a});
}

// In the soak, peers that had not seen the end of an evacuation brought it back after a restore.
TEST(evacuation_sets, lifted_evacuation_does_not_come_back_from_peers_after_a_restore)
{
    list(own, {{a, at(7)}}, at(7));
    list(peer, {{a, at(7)}}, at(7));
    own.on_change(a, at(8), false, now);
    list(own, {}, at(5, 2));
    own.on_report(peer.report(), now);
    CHECK(own.evacuated().empty());
    list(peer, {}, at(5, 2));
    own.on_report(peer.report(), now);
    CHECK(own.evacuated().empty());
}
