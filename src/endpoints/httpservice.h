#pragma once

#include "endpoints/internal/engineprotocol.h"
#include "http/clientconnection.h"
#include "sessions/entrysession.h"

namespace currantpitch::endpoints {

/// Client of a plain HTTP service. Calls are forwarded unchanged and never retried.
class http_service {
public:
    http_service(const core::asio::any_io_executor& executor,
                 core::asio::ip::tcp::endpoint address);

    /// Makes one call. The result is refused only if nothing was sent to the service.
    core::task<sessions::work_end> run(sessions::start_work work, sessions::token_sink& sink);
    core::task<core::result<endpoint_status>> status();

private:
    core::asio::any_io_executor executor_;
    core::asio::ip::tcp::endpoint address_;
};

} // namespace currantpitch::endpoints
