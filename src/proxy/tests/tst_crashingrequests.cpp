#include "flowsite.h"

using namespace currantpitch;
using namespace currantpitch::testing;

namespace {

struct crashing_request_site : flow_site {
    /// Both endpoints crash when they have read the next request.
    void let_both_crash()
    {
        for (scripted_endpoint* e : {&a, &b}) {
            e->replies = {{"", reply::after_reply::crash}};
        }
    }
    void restart_both()
    {
        restart(a);
        restart(b);
    }
    void send(const std::string& target)
    {
        answer.clear();
        send_request("", target);
    }
};

} // namespace

TEST_GROUP_BASE(crashing_requests, crashing_request_site){};

// A request without parts of a prompt must not crash one endpoint after the other.
TEST(crashing_requests, request_that_crashed_two_endpoints_reaches_no_third)
{
    configure(routes::retry_policy::idempotent);
    let_both_crash();
    send("/deadly");
    LONGS_EQUAL(502, status());
    LONGS_EQUAL(2, received_requests());
    restart_both();
    send("/deadly");
    LONGS_EQUAL(503, status());
    LONGS_EQUAL(2, received_requests());
}
