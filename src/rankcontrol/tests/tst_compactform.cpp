#include "rankcontrol/compactform.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace rankcontrol;

TEST_GROUP(compact_form){};

TEST(compact_form, layouts_come_back_as_they_were)
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

TEST(compact_form, other_bytes_are_no_layout)
{
    const std::string good = to_compact(initial_layout({3, 2, 7, 4, 1}));
    CHECK(layout_from_compact(good).has_value());
    CHECK(!layout_from_compact(good + "x").has_value());
    CHECK(!layout_from_compact(good.substr(0, good.size() - 1)).has_value());
    CHECK(!layout_from_compact("").has_value());
    CHECK_PROPERTY("any bytes are read or refused", [] {
        const std::string bytes = *rc::gen::arbitrary<std::string>();
        const std::optional<layout> read = layout_from_compact(bytes);
        RC_ASSERT((!read || read->size() <= 0xffff));
    });
}

TEST(compact_form, counts_keep_their_proportions)
{
    const std::vector<double> back = from_compact(to_compact({10, 200, 1000, 0}));
    DOUBLES_EQUAL(10, back[0], 3);
    DOUBLES_EQUAL(200, back[1], 3);
    DOUBLES_EQUAL(1000, back[2], 10);
    DOUBLES_EQUAL(0, back[3], 1e-9);
    CHECK(from_compact(to_compact(std::vector<double>{})).empty());
    DOUBLES_EQUAL(0, from_compact(to_compact({0, 0}))[1], 1e-9);
}
