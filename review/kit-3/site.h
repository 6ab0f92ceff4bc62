#pragma once

// What the cases share: free ports, the settings of a gateway, and its process.

#include "core/task.h"
#include "core/timer.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <optional>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

extern char** environ;

namespace review {

namespace asio = currantpitch::core::asio;
namespace core = currantpitch::core;

/// An address with a port that is free now, on a loopback address of this process: outgoing
/// connections have another one, so that they don't take the port meanwhile.
inline asio::ip::tcp::endpoint free_address(asio::io_context& context)
{
    const unsigned number = static_cast<unsigned>(::getpid()) % 30000;
    const asio::ip::address_v4 own((127U << 24) | ((64 + number / 250) << 16) |
                                   ((1 + number % 250) << 8) | 1);
    asio::ip::tcp::acceptor probe(context, asio::ip::tcp::endpoint(own, 0));
    return probe.local_endpoint();
}

inline std::string text_of(const asio::ip::tcp::endpoint& a)
{
    return a.address().to_string() + ":" + std::to_string(a.port());
}

struct gateway_addresses {
    asio::ip::tcp::endpoint callers;
    asio::ip::tcp::endpoint directory;
    asio::ip::tcp::endpoint readiness;
    asio::ip::tcp::endpoint peers;
    asio::ip::tcp::endpoint metrics;
};

inline gateway_addresses free_gateway_addresses(asio::io_context& context)
{
    return {free_address(context), free_address(context), free_address(context),
            free_address(context), free_address(context)};
}

/// The settings that deploy/gateway.yaml gives with the bounds of the site kdgl-router.
inline std::string gateway_settings(const std::string& name, const std::string& zone,
                                    const asio::ip::tcp::endpoint& store,
                                    const gateway_addresses& a)
{
    return "role: gateway\nhost: \"" + name + "\"\nfailure_domain: \"" + zone + "\"\nstore: \"" +
           text_of(store) + "\"\nmemory_mib: 260\nstop_timeout: 8s\nlisten:\n  callers: \"" +
           text_of(a.callers) + "\"\n  directory: \"" + text_of(a.directory) +
           "\"\n  readiness: \"" + text_of(a.readiness) + "\"\n  peers: \"" + text_of(a.peers) +
           "\"\n  metrics: \"" + text_of(a.metrics) +
           "\"\nrevocation_time: 5000ms\nretries:\n  ratio: 0.2\n  slack: 94\n  window: 10s\n";
}

/// A process of the system, started as the deploy file says: the program without arguments, the
/// path of its settings in the environment. The destructor kills it.
class system_process {
public:
    system_process(std::string program, std::string folder, std::string name,
                   const std::string& settings)
        : program_(std::move(program)), settings_(folder + "/" + name + ".yaml"),
          log_(folder + "/" + name + ".log")
    {
        std::ofstream(settings_) << settings;
    }
    system_process(const system_process&) = delete;
    system_process& operator=(const system_process&) = delete;
    ~system_process()
    {
        if (running()) {
            send_signal(SIGKILL);
            send_signal(SIGCONT);
            ::waitpid(*pid_, nullptr, 0);
        }
    }

    void start()
    {
        std::vector<std::string> variables{"CURRANTPITCH_BOOT=" + settings_};
        for (const char* name : {"PATH", "HOME", "LANG"}) {
            if (const char* const value = std::getenv(name)) {
                variables.push_back(std::string(name) + "=" + value);
            }
        }
        std::vector<char*> environment;
        for (std::string& v : variables) {
            environment.push_back(v.data());
        }
        environment.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        char* const arguments[] = {program_.data(), nullptr};
        pid_t pid = 0;
        const int failure =
            ::posix_spawn(&pid, program_.c_str(), &actions, nullptr, arguments, environment.data());
        posix_spawn_file_actions_destroy(&actions);
        if (failure != 0) {
            throw std::runtime_error("cannot start " + program_);
        }
        pid_ = pid;
    }
    void send_signal(int number)
    {
        if (pid_) {
            ::kill(*pid_, number);
        }
    }
    bool running()
    {
        if (pid_ && ::waitpid(*pid_, &status_, WNOHANG) == *pid_) {
            pid_.reset();
        }
        return pid_.has_value();
    }
    /// Status of the last end, as waitpid gives it.
    int status() const { return status_; }

private:
    std::string program_;
    std::string settings_;
    std::string log_;
    std::optional<pid_t> pid_;
    int status_ = 0;
};

/// What was sent, answered and run, line by line.
class record {
public:
    explicit record(const std::string& path) : file_(path), begun_(core::runtime_clock::now()) {}

    void line(const std::string& text)
    {
        file_ << core::to_milliseconds(core::runtime_clock::now() - begun_) << " ms  " << text
              << std::endl;
    }

private:
    std::ofstream file_;
    core::time_point begun_;
};

} // namespace review
