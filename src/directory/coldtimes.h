#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"
#include "directory/endpointdirectory.h"

#include <map>
#include <set>

namespace currantpitch::directory {

/// Time within which an endpoint that has started again registers anew, until the registration is
/// seen. It may start under the name that it had.
inline constexpr std::chrono::milliseconds renewal_time{2000};
/// Time for which an endpoint counts as cold whose first registration does not tell it.
inline constexpr std::chrono::milliseconds unknown_cold_time{3000};

/// Until when the registered endpoints are cold. The time in a registration runs from when this
/// process first saw it, so that a late one errs on the safe side; an unchanged registration in a
/// later listing does not extend it.
class cold_times {
public:
    struct cold_time {
        core::service_id service;
        core::incarnation incarnation;
        core::time_point until;
        /// The endpoint may have started again since its registration was written, and would be
        /// cold.
        bool assumed = false;
    };

    /// Records a registration in the first listing after the start of this process.
    void on_first_listing(const endpoint_record& record, const core::revision& written_at,
                          core::time_point now);
    /// Records a registration, written at this revision of the store.
    void on_registered(const endpoint_record& record, const core::revision& written_at,
                       core::time_point now);
    /// Forgets the endpoints that are not registered any more.
    void retain(const std::map<core::endpoint_id, endpoint_record>& registered);
    /// Passes each new cold time to the handler until that returns true: it may have to wait for
    /// the configuration of the endpoint's service.
    template <class Handler>
    void take_new(Handler handle)
    {
        for (auto it = new_.begin(); it != new_.end();) {
            it = handle(*it, states_.at(*it).time) ? new_.erase(it) : std::next(it);
        }
    }

private:
    struct state {
        cold_time time;
        core::revision written_at;
    };

    std::map<core::endpoint_id, state> states_;
    std::set<core::endpoint_id> new_;
};

} // namespace currantpitch::directory
