#include "intents/catalog.h"
#include "intents/intentsconstants.h"
#include "intents/replica.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using intents::change_set;
using intents::replica;
using objectstore::object;

namespace {

object version_of(const std::string& name, std::uint64_t version, bool deleted = false)
{
    return {{"Workspace", name}, core::revision{version}, deleted ? "" : "{}", deleted};
}

// Random history of a store with a few names, in which each change is a write or a deletion.
std::vector<object> random_history()
{
    const std::size_t length = *rc::gen::inRange<std::size_t>(0, 40);
    std::vector<object> history;
    for (std::size_t i = 0; i < length; ++i) {
        const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
        history.push_back(version_of(name, i + 1, *rc::gen::inRange(0, 3) == 0));
    }
    return history;
}

bool same_content(const replica& a, const replica& b)
{
    std::map<objectstore::object_key, core::revision> left;
    std::map<objectstore::object_key, core::revision> right;
    for (const std::pair<const objectstore::object_key, object>& entry : a.objects()) {
        if (!entry.second.deleted) {
            left[entry.first] = entry.second.version;
        }
    }
    for (const std::pair<const objectstore::object_key, object>& entry : b.objects()) {
        if (!entry.second.deleted) {
            right[entry.first] = entry.second.version;
        }
    }
    return left == right;
}

} // namespace

TEST_GROUP(replicas){};

TEST(replicas, versions_never_decrease_with_reordered_and_duplicate_objects)
{
    CHECK_PROPERTY("order and repeats", [] {
        const std::vector<object> history = random_history();
        replica r;
        std::map<std::string, std::uint64_t> highest;
        const std::size_t deliveries = history.empty() ? 0 : 60;
        for (std::size_t i = 0; i < deliveries; ++i) {
            const object& o = history[*rc::gen::inRange<std::size_t>(0, history.size())];
            const bool applied = r.apply(o);
            RC_ASSERT(applied == (o.version.value > highest[o.key.name]));
            highest[o.key.name] = std::max(highest[o.key.name], o.version.value);
            const object* const held = r.find(o.key);
            RC_ASSERT((held == nullptr || held->version.value == highest[o.key.name]));
        }
    });
}

TEST(replicas, peers_catch_up_from_any_revision_by_changes)
{
    CHECK_PROPERTY("catch up", [] {
        const std::vector<object> history = random_history();
        const std::size_t behind = *rc::gen::inRange<std::size_t>(0, history.size() + 1);
        replica source;
        replica peer;
        for (std::size_t i = 0; i < history.size(); ++i) {
            source.apply(history[i]);
            source.mark_complete(history[i].version);
            if (i < behind) {
                peer.apply(history[i]);
                peer.mark_complete(history[i].version);
            }
        }
        peer.apply(source.changes_since(peer.complete()));
        RC_ASSERT(peer.complete() == source.complete());
        RC_ASSERT(same_content(peer, source));
        RC_ASSERT(peer.content_hash() == source.content_hash());
    });
}

TEST(replicas, late_object_below_the_complete_revision_is_rejected)
{
    replica r;
    r.apply(change_set{{}, core::revision{10}, true, {version_of("a", 4)}});
    CHECK(!r.apply(version_of("b", 9)));
    CHECK(r.apply(version_of("b", 11)));
}

TEST(replicas, older_full_set_does_not_restore_a_deleted_object)
{
    replica r;
    CHECK(r.apply(version_of("a", 1)));
    CHECK(r.apply(version_of("a", 3, true)));
    // Recreated at 4 and deleted at 6. The full set shows the deletion only by leaving it out.
    r.apply(change_set{{}, core::revision{6}, true, {}});
    r.apply(change_set{{}, core::revision{5}, true, {version_of("a", 4)}});
    CHECK(r.find({"Workspace", "a"}) == nullptr);
    CHECK(!r.apply(version_of("a", 4)));
}

TEST(replicas, changes_with_a_gap_do_not_advance_the_complete_revision)
{
    replica r;
    r.apply(change_set{{}, core::revision{10}, true, {}});
    r.apply(change_set{core::revision{12}, core::revision{14}, false, {version_of("a", 14)}});
    CHECK(r.complete() == core::revision{10});
    CHECK(r.find({"Workspace", "a"}) != nullptr);
}

TEST(replicas, missed_change_shows_in_the_hash_and_a_full_set_repairs_it)
{
    replica good;
    replica gapped;
    for (const object& o : {version_of("a", 1), version_of("b", 2), version_of("a", 3, true)}) {
        good.apply(o);
        if (o.version != core::revision{2}) {
            gapped.apply(o);
        }
    }
    good.mark_complete(core::revision{3});
    gapped.mark_complete(core::revision{3});
    CHECK(good.content_hash() != gapped.content_hash());
    gapped.apply(good.changes_since({}));
    CHECK(good.content_hash() == gapped.content_hash());
}

TEST(replicas, deletion_before_a_listing_is_propagated_by_a_full_set)
{
    replica listed;
    listed.apply(change_set{{}, core::revision{3}, true, {}});
    replica behind;
    behind.apply(change_set{{}, core::revision{2}, true, {version_of("a", 1)}});
    behind.apply(listed.changes_since(behind.complete()));
    CHECK(behind.complete() == core::revision{3});
    CHECK(behind.find({"Workspace", "a"}) == nullptr);
}

TEST(replicas, pruned_tombstones_require_a_full_snapshot)
{
    replica r;
    std::uint64_t version = 0;
    for (std::size_t i = 0; i < intents::max_tombstones + 10; ++i) {
        const std::string name = "w" + std::to_string(i);
        r.apply(version_of(name, ++version));
        r.apply(version_of(name, ++version, true));
    }
    r.mark_complete(core::revision{version});
    CHECK(r.changes_since(core::revision{1}).full);
    CHECK(!r.changes_since(core::revision{version - 1}).full);
    CHECK(!r.apply(version_of("w0", 1)));
}

TEST_GROUP(catalogs){};

TEST(catalogs, unreadable_object_keeps_the_last_valid_version)
{
    intents::catalog c;
    intents::resource r;
    r.name = "w";
    r.generation = 1;
    r.nonce = "n";
    r.spec = {{"services", boost::json::array{"g"}}, {"share", 3}};
    c.update({key_of(r), core::revision{1}, to_body(r), false});
    c.update({key_of(r), core::revision{2}, "nonsense", false});
    CHECK(c.workspaces().at(core::workspace_id("w")).spec.share == 3);
    c.update({key_of(r), core::revision{3}, "", true});
    CHECK(c.workspaces().empty());
}
