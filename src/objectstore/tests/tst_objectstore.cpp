#include "fakes/storeserver.h"
#include "objectstore/httpstore.h"
#include "objectstore/internal/storecodec.h"
#include "objectstore/objectstoreconstants.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
namespace asio = core::asio;

namespace {

objectstore::call_context call_within(core::duration d)
{
    return {"test", core::runtime_clock::now() + d};
}

// Runs a script that accesses an in-memory store through the HTTP client and server.
template <class Script>
void run_with_server(Script script)
{
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor(
        context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    fakes::memory_store store(context.get_executor());
    fakes::store_server server(store);
    objectstore::http_store client(context.get_executor(), acceptor.local_endpoint());
    core::spawn(context.get_executor(), http::serve(acceptor, server));
    asio::co_spawn(context, script(client, store), [&context](std::exception_ptr failure) {
        context.stop();
        CHECK(failure == nullptr);
    });
    context.run_for(std::chrono::seconds(20));
}

} // namespace

TEST_GROUP(http_client){};

TEST(http_client, writes_are_conditional)
{
    run_with_server([](objectstore::http_store& client, fakes::memory_store&) -> core::task<void> {
        const objectstore::object_key key{"Workspace", "mali koderi/1"};
        const core::result<objectstore::object> created =
            co_await client.put(key, "one", {}, call_within(std::chrono::seconds(5)));
        CHECK(created.has_value());
        const core::result<objectstore::object> again =
            co_await client.put(key, "two", {}, call_within(std::chrono::seconds(5)));
        CHECK(again.error().code == core::errc::conflict);
        const core::result<objectstore::object> updated = co_await client.put(
            key, "two", created.value().version, call_within(std::chrono::seconds(5)));
        CHECK(updated.value().version > created.value().version);
        const core::result<objectstore::object> read =
            co_await client.get(key, call_within(std::chrono::seconds(5)));
        CHECK(read.value() == updated.value());
        const core::result<objectstore::object> gone = co_await client.remove(
            key, updated.value().version, call_within(std::chrono::seconds(5)));
        CHECK(gone.value().deleted);
        CHECK((co_await client.get(key, call_within(std::chrono::seconds(5)))).error().code ==
              core::errc::not_found);
    });
}

TEST(http_client, watch_carries_changes_and_deletions)
{
    run_with_server([](objectstore::http_store& client,
                       fakes::memory_store& store) -> core::task<void> {
        const objectstore::object_key key{"Workspace", "a"};
        const std::vector<std::string> kinds(1, "Workspace");
        core::result<objectstore::http_watch> watch =
            co_await client.watch(kinds, {}, call_within(std::chrono::seconds(5)));
        const core::result<objectstore::object> created =
            co_await store.put(key, "one", {}, call_within(std::chrono::seconds(5)));
        const objectstore::object_key other{"Other", "x"};
        co_await store.put(other, "one", {}, call_within(std::chrono::seconds(5)));
        co_await store.remove(key, created.value().version, call_within(std::chrono::seconds(5)));
        const core::time_point deadline = core::runtime_clock::now() + std::chrono::seconds(5);
        const core::result<objectstore::watch_event> first = co_await watch.value().next(deadline);
        CHECK(first.value().changed->body == "one");
        const core::result<objectstore::watch_event> second = co_await watch.value().next(deadline);
        CHECK(second.value().changed->deleted);
    });
}

TEST(http_client, outage_and_lost_response_are_distinguished)
{
    run_with_server(
        [](objectstore::http_store& client, fakes::memory_store& store) -> core::task<void> {
            const objectstore::object_key key{"Workspace", "a"};
            store.faults.unavailable = true;
            const core::result<objectstore::object> refused =
                co_await client.put(key, "one", {}, call_within(std::chrono::seconds(5)));
            CHECK(refused.error().code == core::errc::unavailable);
            store.faults.unavailable = false;
            store.faults.responses_to_drop = 1;
            const core::result<objectstore::object> lost =
                co_await client.put(key, "one", {}, call_within(std::chrono::milliseconds(100)));
            CHECK(objectstore::effect_unknown(lost.error()));
            const core::result<objectstore::object> read =
                co_await client.get(key, call_within(std::chrono::seconds(5)));
            CHECK(read.value().body == "one");
        });
}

TEST_GROUP(platform_codec){};

TEST(platform_codec, arbitrary_text_is_refused_or_decoded)
{
    CHECK_PROPERTY("arbitrary text", [](const std::string& text) {
        RC_ASSERT(objectstore::object_from_json(text).has_error());
        RC_ASSERT(objectstore::listing_from_json(text).has_error());
        RC_ASSERT(objectstore::event_from_json(text).has_error());
    });
}
