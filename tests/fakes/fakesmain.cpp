#include "core/eventlog.h"
#include "fakes/enginegroup.h"
#include "fakes/plainservice.h"
#include "fakes/storeserver.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <csignal>

using namespace currantpitch;
namespace asio = core::asio;

namespace {

/// An HTTP listener and its handler. Both must outlive the I/O context's run.
template <class Handler>
struct fake_listener {
    fake_listener(asio::io_context& context, std::uint16_t port, Handler h)
        : acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port)),
          handler(std::move(h))
    {
        core::spawn(context.get_executor(), http::serve(acceptor, handler));
    }
    asio::ip::tcp::acceptor acceptor;
    Handler handler;
};

struct rank_handler {
    fakes::engine_group* group;
    std::size_t rank;
    core::task<void> operator()(http::server_connection& c, const http::request& r)
    {
        co_await group->handle(rank, c, r);
    }
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("currantpitch-fakes runs fakes of the platform, one engine group and one plain "
                 "service on consecutive loopback ports: platform, ranks, services.");
    std::uint16_t base_port = 8000;
    fakes::engine_group_options options;
    std::size_t services = 2;
    int step_ms = 5;
    app.add_option("--base-port", base_port, "First port, used by the platform");
    app.add_option("--ranks", options.ranks, "Number of ranks of the engine group");
    app.add_option("--services", services, "Number of endpoints of the plain service");
    app.add_option("--step-ms", step_ms, "Duration of one step of the group in milliseconds");
    CLI11_PARSE(app, argc, argv);
    options.step_time = std::chrono::milliseconds(step_ms);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);

    asio::io_context context{1};
    fakes::memory_store store(context.get_executor());
    fake_listener<fakes::store_server> platform(context, base_port, fakes::store_server(store));
    fakes::engine_group group(context.get_executor(), options);
    std::vector<std::unique_ptr<fake_listener<rank_handler>>> ranks;
    for (std::size_t i = 0; i < options.ranks; ++i) {
        ranks.push_back(std::make_unique<fake_listener<rank_handler>>(
            context, static_cast<std::uint16_t>(base_port + 1 + i), rank_handler{&group, i}));
    }
    fakes::plain_service service;
    std::vector<std::unique_ptr<fake_listener<std::reference_wrapper<fakes::plain_service>>>>
        service_listeners;
    for (std::size_t i = 0; i < services; ++i) {
        service_listeners.push_back(
            std::make_unique<fake_listener<std::reference_wrapper<fakes::plain_service>>>(
                context, static_cast<std::uint16_t>(base_port + 1 + options.ranks + i),
                std::ref(service)));
    }
    core::spawn(context.get_executor(), group.run_steps());
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    core::log_event("fakes_end")
        .field("steps", group.step)
        .field("mismatched_steps", group.mismatched_steps)
        .field("stalled_steps", group.stalled_steps)
        .field("crashes", group.crashes)
        .field("platform_revision", store.last());
    return group.mismatched_steps == 0 ? 0 : 1;
}
