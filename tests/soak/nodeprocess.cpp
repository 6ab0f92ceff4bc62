#include "soak/nodeprocess.h"

#include "core/timer.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace currantpitch::soak {

namespace {

constexpr std::chrono::milliseconds poll_interval{20};

} // namespace

node_process::node_process(std::string program, std::string folder, std::string name,
                           std::string settings)
    : program_(std::move(program)), name_(std::move(name)),
      settings_file_(folder + "/" + name_ + ".yaml"), log_file_(folder + "/" + name_ + ".log")
{
    std::ofstream(settings_file_) << settings;
}

node_process::~node_process()
{
    if (running()) {
        signal(SIGKILL);
        signal(SIGCONT);
        ::waitpid(*process_, &status_, 0);
    }
}

void node_process::start()
{
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_file_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    std::string option = "--settings";
    char* const arguments[] = {program_.data(), option.data(), settings_file_.data(), nullptr};
    pid_t id = 0;
    const int failure = ::posix_spawn(&id, program_.c_str(), &files, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&files);
    if (failure != 0) {
        throw std::runtime_error("cannot start " + program_);
    }
    process_ = id;
    ++starts_;
}

void node_process::signal(int number)
{
    if (process_) {
        ::kill(*process_, number);
    }
}

bool node_process::running()
{
    if (process_ && ::waitpid(*process_, &status_, WNOHANG) == *process_) {
        process_.reset();
    }
    return process_.has_value();
}

core::task<std::optional<int>> node_process::wait_for_end(std::chrono::milliseconds timeout)
{
    const core::time_point deadline = core::runtime_clock::now() + timeout;
    const std::optional<pid_t> waited_for = process_;
    // Another fault may have started the process anew by then.
    while (running() && process_ == waited_for) {
        if (core::runtime_clock::now() >= deadline) {
            co_return std::nullopt;
        }
        co_await core::sleep_for(poll_interval);
    }
    co_return WIFEXITED(status_) ? std::optional<int>(WEXITSTATUS(status_)) : std::nullopt;
}

} // namespace currantpitch::soak
