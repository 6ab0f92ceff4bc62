#include "http/internal/messagereader.h"

#include "core/counters.h"
#include "core/eventlog.h"

namespace currantpitch::http {

void record_parse_exception(const std::exception& e)
{
    core::counter_for("http_parse_exceptions_total").add();
    core::log_event("http_parse_exception", core::log_event::level::error)
        .field("reason", e.what());
}

} // namespace currantpitch::http
