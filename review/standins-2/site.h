#pragma once

#include "wire.h"

#include <boost/json.hpp>

#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

namespace json = boost::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// What a case gets from its run.sh.
struct arguments {
    bool trouble = true;
    /// Command of the deploy file, and the folder that it is run in.
    std::string program;
    std::string repository;
    /// Folder for the settings and logs of the processes.
    std::string folder;
    std::string record;
};
arguments read_arguments(int argc, char** argv);

/// The platform's store: objects by kind and name, conditional writes and watches.
class store {
public:
    void put(const std::string& kind, const std::string& name, json::value spec);
    task<void> serve(asio::ip::tcp::socket socket);

private:
    struct change {
        std::uint64_t at = 0;
        std::string kind;
        json::value event;
    };
    task<std::pair<int, json::value>> answer(const message& call);
    json::array events(const std::string& kind, std::uint64_t after) const;

    std::map<std::string, std::map<std::string, json::object>> kinds_;
    std::vector<change> history_;
    std::uint64_t revision_ = 3;
};

/// A request as a replica got it.
struct arrival {
    std::string id;
    std::string replica;
    std::string method;
    std::string target;
    std::size_t body_bytes = 0;
    bool runs = false;
    std::string tenant;
    double at = 0;
};

class site;

/// A replica of a plain service. It runs what is meant for it.
struct replica {
    std::string id;
    std::string address;
    milliseconds work{20};
    /// Reads bodies slowly.
    std::size_t bytes_a_step = 0;
    /// Status of the answer to a request that was run.
    std::function<int(const arrival&)> status = [](const arrival&) {
        return 200;
    };
};

/// A gateway process.
struct gateway {
    std::string name;
    asio::ip::tcp::endpoint callers;
    std::string settings_file;
    std::string log_file;
    pid_t pid = 0;
    int starts = 0;
    /// Times that the process ended by itself, with what wait said, and that the platform ended it
    /// for its memory.
    int own_ends = 0;
    int memory_ends = 0;
    std::size_t peak_bytes = 0;
    /// The platform has sent SIGTERM.
    bool stopping = false;
};

/// A small deployment on loopback. Starts the gateways as separate processes with the command of
/// the deploy file, and starts them again when they end, as the platform does.
class site {
public:
    site(arguments a, json::object limits, json::array tenants);
    ~site();

    void add_replica(replica r);
    void add_gateway();
    /// Writes the configuration and returns when the store has acknowledged it.
    void configure(json::object limits, json::array tenants, bool look_is_public = false);
    /// Changes a setting of all gateways: the line that begins with the name.
    void change_settings(const std::string& name, const std::string& value);
    /// Sends SIGTERM. The platform starts the process again when it has ended.
    void stop(gateway& g);
    /// Ends a gateway that uses more memory, as the platform does; 0 is no limit.
    void limit_memory(std::size_t bytes) { memory_limit_ = bytes; }

    /// Runs the case on all parts of the site. The case returns whether the rule held.
    int run(std::function<task<bool>(site&)> story);

    asio::io_context& context() { return context_; }
    std::vector<std::unique_ptr<gateway>>& gateways() { return gateways_; }
    const std::vector<arrival>& arrivals() const { return arrivals_; }
    const arrival* arrival_of(const std::string& id) const;
    bool trouble() const { return arguments_.trouble; }
    void record(const std::string& line);
    double now() const;
    std::string new_id();

private:
    std::uint16_t free_port(const std::string& ip);
    void start(gateway& g);
    task<void> keep_running(gateway& g);
    task<void> listen(std::string address, std::function<task<void>(asio::ip::tcp::socket)> serve);
    task<void> serve_replica(replica& r, asio::ip::tcp::socket socket);

    arguments arguments_;
    asio::io_context context_{1};
    store store_;
    std::ofstream record_;
    std::string network_;
    std::string store_address_;
    std::vector<std::unique_ptr<replica>> replicas_;
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::vector<arrival> arrivals_;
    std::map<std::string, std::size_t> arrival_by_id_;
    std::uint64_t version_ = 0;
    std::uint64_t last_id_ = 0;
    std::size_t memory_limit_ = 0;
    bool ending_ = false;
    clock::time_point began_ = clock::now();
};

/// A request of a client.
struct call {
    std::string id;
    std::string method = "GET";
    std::string target;
    std::string key;
    std::string body;
    milliseconds deadline{3000};
    std::vector<std::pair<std::string, std::string>> headers;
};
std::string encode(const call& c);

} // namespace review
