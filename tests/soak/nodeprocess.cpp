#include "soak/nodeprocess.h"

#include "core/timer.h"
#include "support/processmemory.h"

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
        ::waitpid(*pid_, &status_, 0);
    }
}

void node_process::start()
{
    posix_spawn_file_actions_t file_actions;
    posix_spawn_file_actions_init(&file_actions);
    posix_spawn_file_actions_addopen(&file_actions, STDOUT_FILENO, log_file_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&file_actions, STDOUT_FILENO, STDERR_FILENO);
    // A socket of the soak that a process inherited would stay open when the soak closes it.
    posix_spawn_file_actions_addclosefrom_np(&file_actions, STDERR_FILENO + 1);
    std::string option = "--settings";
    char* const arguments[] = {program_.data(), option.data(), settings_file_.data(), nullptr};
    pid_t pid = 0;
    const int failure =
        ::posix_spawn(&pid, program_.c_str(), &file_actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&file_actions);
    if (failure != 0) {
        throw std::runtime_error("cannot start " + program_);
    }
    pid_ = pid;
    ++start_count_;
}

void node_process::signal(int number)
{
    if (pid_) {
        ::kill(*pid_, number);
    }
}

std::size_t node_process::peak_memory_bytes()
{
    return running() ? testing::peak_memory_bytes(std::to_string(*pid_)) : 0;
}

bool node_process::running()
{
    if (pid_ && ::waitpid(*pid_, &status_, WNOHANG) == *pid_) {
        pid_.reset();
    }
    return pid_.has_value();
}

core::task<std::optional<int>> node_process::wait_for_exit(std::chrono::milliseconds timeout)
{
    const core::time_point deadline = core::runtime_clock::now() + timeout;
    const std::optional<pid_t> waited_pid = pid_;
    // Another fault may have restarted the process in the meantime.
    while (running() && pid_ == waited_pid) {
        if (core::runtime_clock::now() >= deadline) {
            co_return std::nullopt;
        }
        co_await core::sleep_for(poll_interval);
    }
    co_return WIFEXITED(status_) ? std::optional<int>(WEXITSTATUS(status_)) : std::nullopt;
}

} // namespace currantpitch::soak
