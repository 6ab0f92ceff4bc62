#include "entry/internal/answerjson.h"

#include <boost/json.hpp>

namespace currantpitch::entry {

namespace json = boost::json;

namespace {

http::response outcome_answer(unsigned status, std::string_view outcome, std::string_view reason)
{
    http::response answer;
    answer.status = status;
    answer.headers.push_back({"X-Outcome", std::string(outcome)});
    answer.body = json::serialize(json::object{{"outcome", outcome}, {"reason", reason}});
    return answer;
}

} // namespace

http::response not_run_answer(unsigned status, std::string_view reason,
                              std::chrono::milliseconds retry_after)
{
    http::response answer = outcome_answer(status, "not_run", reason);
    set_retry_after(answer, retry_after);
    return answer;
}

http::response unknown_answer(unsigned status, std::string_view reason)
{
    return outcome_answer(status, "unknown", reason);
}

http::response invalid_answer(const core::findings& problems)
{
    json::array list;
    for (const core::finding& f : problems) {
        list.push_back({{"field", f.location}, {"message", f.message}});
    }
    http::response answer;
    answer.status = 422;
    answer.headers.push_back({"X-Outcome", "not_run"});
    answer.body = json::serialize(
        json::object{{"outcome", "not_run"}, {"reason", "invalid"}, {"findings", std::move(list)}});
    return answer;
}

void set_retry_after(http::response& answer, std::chrono::milliseconds retry_after)
{
    if (retry_after <= std::chrono::milliseconds::zero()) {
        return;
    }
    const std::chrono::seconds seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    answer.headers.push_back({"Retry-After", std::to_string(seconds.count())});
    answer.headers.push_back({"X-Retry-After-Ms", std::to_string(retry_after.count())});
}

std::string token_event(std::uint64_t offset, std::string_view text)
{
    return "data: " + json::serialize(json::object{{"offset", offset}, {"token", text}}) + "\n\n";
}

std::string done_event(std::uint64_t count, std::uint64_t checksum)
{
    const json::object data{
        {"outcome", "whole"}, {"count", count}, {"checksum", std::to_string(checksum)}};
    return "event: done\ndata: " + json::serialize(data) + "\n\n";
}

} // namespace currantpitch::entry
