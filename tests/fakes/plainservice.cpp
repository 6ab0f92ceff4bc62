#include "fakes/plainservice.h"

#include "core/timer.h"

#include <boost/json.hpp>

namespace currantpitch::fakes {

core::task<void> plain_service::operator()(http::server_connection& connection,
                                           const http::request& received)
{
    http::response answer;
    if (received.path() == "/status") {
        answer.body = "{\"incarnation\":\"1\",\"running\":0}";
        co_await connection.reply(std::move(answer));
        co_return;
    }
    if (received.path() == "/runs") {
        boost::json::object counts;
        for (const std::pair<const std::string, int>& entry : runs) {
            counts[entry.first] = entry.second;
        }
        answer.body = boost::json::serialize(counts);
        co_await connection.reply(std::move(answer));
        co_return;
    }
    if (delay > core::duration::zero()) {
        co_await core::sleep_for(delay);
    }
    int run_count = 0;
    if (received.method == "POST") {
        run_count = ++runs[received.body];
    }
    if (responses_to_drop > 0) {
        --responses_to_drop;
        connection.close();
        co_return;
    }
    const boost::json::object body{{"path", received.path()}, {"runs", run_count}};
    answer.body = boost::json::serialize(body);
    co_await connection.reply(std::move(answer));
}

} // namespace currantpitch::fakes
