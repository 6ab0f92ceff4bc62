#include "rankcontrol/compactform.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace rankcontrol;

TEST_GROUP(compact_form){};

TEST(compact_form, layouts_survive_a_round_trip)
{
    CHECK_PROPERTY("layouts come back", [] {
        const std::size_t ranks = *rc::gen::inRange<std::size_t>(1, 5);
        const std::size_t layers = *rc::gen::inRange<std::size_t>(1, 4);
        layout experts(layers, layer_layout(ranks));
        for (layer_layout& layer : experts) {
            for (std::vector<expert>& held : layer) {
                held = *rc::gen::container<std::vector<expert>>(rc::gen::inRange<expert>(0, 600));
                held.resize(std::min<std::size_t>(held.size(), 200));
            }
        }
        RC_ASSERT((layout_from_compact(to_compact(experts)) == experts));
    });
}

TEST(compact_form, malformed_bytes_are_rejected)
{
    const std::string valid = to_compact(initial_layout({3, 2, 7, 4, 1}));
    CHECK(layout_from_compact(valid).has_value());
    CHECK(!layout_from_compact(valid + "x").has_value());
    CHECK(!layout_from_compact(valid.substr(0, valid.size() - 1)).has_value());
    CHECK(!layout_from_compact("").has_value());
    CHECK_PROPERTY("any bytes are read or refused", [] {
        const std::string bytes = *rc::gen::arbitrary<std::string>();
        const std::optional<layout> read = layout_from_compact(bytes);
        RC_ASSERT((!read || read->size() <= 0xffff));
    });
}

TEST(compact_form, differences_restore_the_layout)
{
    CHECK_PROPERTY("differences to any layout give the same layout", [] {
        const std::size_t layers = *rc::gen::inRange<std::size_t>(1, 3);
        const std::size_t ranks = *rc::gen::inRange<std::size_t>(1, 6);
        const auto any_layout = [&] {
            layout experts(layers, layer_layout(ranks));
            for (layer_layout& layer : experts) {
                for (std::vector<expert>& held : layer) {
                    const std::size_t count = *rc::gen::inRange<std::size_t>(0, 6);
                    held = *rc::gen::unique<std::vector<expert>>(count,
                                                                 rc::gen::inRange<expert>(0, 9));
                }
            }
            return experts;
        };
        const layout base = any_layout();
        const layout next = any_layout();
        RC_ASSERT((apply_difference(base, to_difference(base, next)) == next));
    });
}

TEST(compact_form, differences_of_a_small_change_are_small)
{
    const layout base = initial_layout({129, 16, 258, 3, 1});
    layout next = base;
    for (std::size_t rank = 0; rank < 129; ++rank) {
        next[rank % 16][rank].push_back(static_cast<expert>((rank + 1) % 258));
    }
    // A complete layout for 128 members takes more than a second on a link of 6 Mbit/s.
    CHECK(to_compact(next).size() > 10'000);
    CHECK(to_difference(base, next).size() < 1200);
    CHECK(apply_difference(base, to_difference(base, next)) == next);
}

TEST(compact_form, malformed_differences_are_rejected)
{
    const layout base = initial_layout({3, 2, 7, 4, 1});
    layout next = base;
    next[1][2] = {1, 6};
    const std::string valid = to_difference(base, next);
    CHECK(!apply_difference(base, valid.substr(0, valid.size() - 1)).has_value());
    CHECK(!apply_difference(initial_layout({2, 1, 7, 4, 1}), valid).has_value());
    CHECK_PROPERTY("any bytes are applied or refused", [&base] {
        const std::string bytes = *rc::gen::arbitrary<std::string>();
        const std::optional<layout> applied = apply_difference(base, bytes);
        RC_ASSERT((!applied || applied->size() == base.size()));
    });
}

TEST(compact_form, counts_keep_their_proportions)
{
    const std::vector<double> restored = from_compact(to_compact({10, 200, 1000, 0}));
    DOUBLES_EQUAL(10, restored[0], 3);
    DOUBLES_EQUAL(200, restored[1], 3);
    DOUBLES_EQUAL(1000, restored[2], 10);
    DOUBLES_EQUAL(0, restored[3], 1e-9);
    CHECK(from_compact(to_compact(std::vector<double>{})).empty());
    DOUBLES_EQUAL(0, from_compact(to_compact({0, 0}))[1], 1e-9);
}
