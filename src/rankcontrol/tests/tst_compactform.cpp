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
