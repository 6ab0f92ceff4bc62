#include "intents/resource.h"
#include "intents/specs.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::intents;

namespace {

bool has_finding(const core::findings& problems, const std::string& location)
{
    return std::any_of(problems.begin(), problems.end(),
                       [&location](const core::finding& f) { return f.location == location; });
}

} // namespace

TEST_GROUP(drafts){};

TEST(drafts, every_finding_is_reported_with_its_field_path)
{
    const draft_report report = parse_draft(
        R"({"kind":"ModelGroup","metadata":{"name":"bad name","colour":1},
            "spec":{"model":"","ranks":0,"experts":8,"slots_per_rank":1,"skew_weight":-1,
                    "size":3},"extra":1})");
    CHECK(!report.draft.has_value());
    for (const char* location : {"metadata.name", "metadata.colour", "spec.model", "spec.ranks",
                                 "spec.slots_per_rank", "spec.skew_weight", "spec.size", "extra"}) {
        CHECK_TEXT(has_finding(report.problems, location), location);
    }
}

TEST(drafts, endpoint_requires_checks_fencing)
{
    const draft_report report = parse_draft(R"({"kind":"Endpoint","metadata":{"name":"e"},
                        "spec":{"service":"g","role":"engine","host":"h"}})");
    CHECK(has_finding(report.problems, "spec.checks_fencing"));
}

TEST(drafts, status_is_ignored_and_version_is_read)
{
    const draft_report report =
        parse_draft(R"({"kind":"Workspace","metadata":{"name":"w","version":7},
                        "spec":{"services":["g"]},"status":{"anything":1}})");
    CHECK(report.draft->version == core::revision{7});
}

TEST(drafts, arbitrary_text_gives_findings)
{
    CHECK_PROPERTY("arbitrary text",
                   [](const std::string& text) { RC_ASSERT(!parse_draft(text).problems.empty()); });
}

TEST(drafts, numbers_at_their_limits_are_findings_or_accepted)
{
    CHECK_PROPERTY("limits", [](std::int64_t ranks, double weight) {
        boost::json::object spec{{"model", "m"},
                                 {"ranks", ranks},
                                 {"experts", 1},
                                 {"slots_per_rank", 1},
                                 {"skew_weight", weight}};
        const spec_report<model_group_spec> report = parse_model_group(spec);
        const bool fits = ranks >= 1 && ranks <= 1024 && weight >= 0 && weight <= 1'000'000;
        RC_ASSERT(report.spec.has_value() == fits);
    });
}

TEST_GROUP(resources){};

TEST(resources, body_survives_the_round_trip)
{
    resource r;
    r.name = "w";
    r.generation = 3;
    r.nonce = "n";
    r.spec = {{"services", boost::json::array{"g"}}};
    r.changes = {{core::revision{4}, {"spec.share"}}};
    const core::result<resource> back =
        from_object({key_of(r), core::revision{9}, to_body(r), false});
    CHECK(back.value().generation == 3);
    CHECK(back.value().version == core::revision{9});
    CHECK(back.value().spec == r.spec);
    CHECK(back.value().changes.at(0).fields.at(0) == "spec.share");
}

TEST(resources, stale_writer_receives_the_changed_fields)
{
    resource r;
    r.version = core::revision{9};
    r.changes = {{core::revision{4}, {"spec.share"}}, {core::revision{6}, {"spec.entries"}}};
    CHECK(fields_changed_since(r, core::revision{6}) == std::vector<std::string>({"spec.entries"}));
    CHECK(fields_changed_since(r, core::revision{4})->size() == 2);
    CHECK(!fields_changed_since(r, core::revision{2}).has_value());
}
