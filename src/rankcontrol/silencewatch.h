#pragma once

#include "rankcontrol/standstillwatch.h"
#include "wire/framedconnection.h"

#include <memory>

namespace currantpitch::rankcontrol {

/// Returns when no frame has arrived on the connection for candidate_heartbeat_timeout. A deadline
/// of each receive would expire first after a standstill, while frames wait to be read.
inline core::task<void> until_silent(std::shared_ptr<wire::framed_connection> connection,
                                     standstill_watch& standstill)
{
    core::time_point heard = core::runtime_clock::now();
    while (true) {
        co_await core::sleep_for(heard + candidate_heartbeat_timeout - core::runtime_clock::now());
        while (standstill.recently_resumed()) {
            co_await core::sleep_for(standstill_check_interval);
        }
        heard = std::max(heard, connection->last_received());
        if (core::runtime_clock::now() - heard >= candidate_heartbeat_timeout) {
            co_return;
        }
    }
}

} // namespace currantpitch::rankcontrol
