#pragma once

#include "core/eventlog.h"
#include "core/task.h"

#include <csignal>
#include <functional>

namespace currantpitch::core {

/// Runs a node on this thread until its planned stop has completed. SIGTERM and SIGINT begin the
/// stop. SIGHUP calls on_reload. Returns whether the node started and stopped without an error.
template <class Node, class OnReload>
bool run_node(asio::io_context& context, Node& node, OnReload on_reload)
{
    asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    std::function<void(const boost::system::error_code&, int)> on_signal =
        [&](const boost::system::error_code& failure, int signal_number) {
            if (failure) {
                return;
            }
            if (signal_number == SIGHUP) {
                on_reload();
            }
            else {
                node.begin_stop("signal");
            }
            signals.async_wait(on_signal);
        };
    signals.async_wait(on_signal);
    bool succeeded = true;
    spawn_then(context.get_executor(), node.run(), [&context, &succeeded](result<void> outcome) {
        if (!outcome) {
            log_event("start_failed", log_event::level::error)
                .field("reason", outcome.error().detail);
            succeeded = false;
        }
        context.stop();
    });
    context.run();
    return succeeded;
}

} // namespace currantpitch::core
