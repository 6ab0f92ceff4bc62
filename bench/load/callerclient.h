#pragma once

#include "core/task.h"
#include "core/timer.h"
#include "http/clientconnection.h"
#include "load/loadreport.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace currantpitch::load {

/// Addresses that callers were told to use, kept for their lifetime.
class address_book {
public:
    explicit address_book(std::vector<std::string> seeds) : seeds_(std::move(seeds)) {}

    /// An address for the workspace; asks an entry when the last answer has expired.
    core::task<std::string> address_for(std::string workspace, std::mt19937_64& random);
    /// Drops what is known of a workspace after its addresses failed.
    void forget(const std::string& workspace) { known_.erase(workspace); }

private:
    struct answer {
        std::vector<std::string> addresses;
        core::time_point expires;
    };
    core::task<bool> ask(std::string server, std::string workspace);

    std::vector<std::string> seeds_;
    std::map<std::string, answer> known_;
};

/// One caller: sends requests one after another on its own connections.
class caller {
public:
    caller(address_book& addresses, load_report& report, std::string workspace, std::uint64_t seed)
        : addresses_(addresses), report_(report), workspace_(std::move(workspace)), random_(seed)
    {
    }

    /// Generates answers; each is sent again only after a refusal that proves that nothing ran.
    core::task<void> generate(std::uint64_t count, std::uint64_t tokens);
    /// Makes calls with idempotency keys to a plain service.
    core::task<void> call(std::uint64_t count, std::string service, std::string prefix);

private:
    core::task<request_outcome> generate_once(std::string prompt, std::uint64_t tokens);
    core::task<request_outcome> call_once(std::string service, std::string key);
    core::task<http::client_connection*> connection();
    core::task<request_outcome> read_answer(http::client_connection& client, std::uint64_t tokens,
                                            core::time_point begun);
    void drop_connection();

    address_book& addresses_;
    load_report& report_;
    std::string workspace_;
    std::mt19937_64 random_;
    std::map<std::string, http::client_connection> connections_;
    std::string address_;
    std::uint64_t sent_ = 0;
};

} // namespace currantpitch::load
