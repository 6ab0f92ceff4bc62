#include "membership/peerhub.h"
#include "wire/packer.h"
#include "wire/unpacker.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::membership;
namespace asio = core::asio;

namespace {

// The hub of one entry with its listener.
struct hub_process {
    hub_process(asio::io_context& context, const std::string& name)
        : acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          hub(std::make_shared<peer_hub>(
              context.get_executor(),
              peer_hello{core::host_id(name), core::failure_domain_id("fd"), core::incarnation{1}}))
    {
        hub->on_peer_up = [this](const peer_hello&) {
            ++up_count;
        };
        hub->on_peer_down = [this](const peer_hello&) {
            ++down_count;
        };
        hub->on_heartbeat = [this](const peer_hello&, const peer_heartbeat& heartbeat) {
            leaving = heartbeat.leaving;
        };
        hub->on_message = [this](const core::host_id&, std::uint8_t, const std::string& payload) {
            messages.push_back(payload);
        };
        core::spawn(context.get_executor(), accept());
    }
    core::task<void> accept()
    {
        while (acceptor.is_open()) {
            boost::system::error_code failure;
            asio::ip::tcp::socket socket =
                co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
            if (failure) {
                co_return;
            }
            std::shared_ptr<wire::framed_connection> connection =
                std::make_shared<wire::framed_connection>(std::move(socket));
            const core::result<std::string> frame = co_await connection->receive();
            const core::result<peer_hello> hello = wire::decode<peer_hello>(frame.value());
            core::spawn(acceptor.get_executor(), hub->serve(connection, hello.value()));
        }
    }

    asio::ip::tcp::acceptor acceptor;
    std::shared_ptr<peer_hub> hub;
    int up_count = 0;
    int down_count = 0;
    bool leaving = false;
    std::vector<std::string> messages;
};

} // namespace

TEST_GROUP(hubs){};

TEST(hubs, peers_connect_exchange_messages_and_detect_disconnection)
{
    asio::io_context context{1};
    hub_process a(context, "a");
    hub_process b(context, "b");
    a.hub->set_targets({{core::host_id("b"), b.acceptor.local_endpoint()}});
    bool done = false;
    core::spawn(context.get_executor(),
                [](hub_process& first, hub_process& second, bool& finished) -> core::task<void> {
                    while (first.up_count == 0 || second.up_count == 0) {
                        co_await core::sleep_for(std::chrono::milliseconds(1));
                    }
                    const std::string payload = wire::encode(presence_report{});
                    CHECK(second.hub->send(core::host_id("a"), payload));
                    CHECK(!second.hub->send(core::host_id("c"), payload));
                    first.hub->set_leaving();
                    while (first.messages.empty() || !second.leaving) {
                        co_await core::sleep_for(std::chrono::milliseconds(1));
                    }
                    first.hub->stop();
                    while (second.down_count == 0) {
                        co_await core::sleep_for(std::chrono::milliseconds(1));
                    }
                    finished = true;
                    first.acceptor.close();
                    second.acceptor.close();
                    second.hub->stop();
                }(a, b, done));
    context.run_for(std::chrono::seconds(20));
    CHECK(done);
}
