#include "core/task.h"

#include "core/counters.h"
#include "core/eventlog.h"

#include <string>

namespace currantpitch::core {

void spawn_contained(const asio::any_io_executor& executor, std::string_view name, task<void> work)
{
    asio::co_spawn(executor, std::move(work),
                   [task_name = std::string(name)](std::exception_ptr failure) {
                       if (!failure) {
                           return;
                       }
                       std::string reason = "not a standard exception";
                       try {
                           std::rethrow_exception(failure);
                       }
                       catch (const std::exception& e) {
                           reason = e.what();
                       }
                       catch (...) {
                       }
                       counter_for("tasks_failed_total", "task=\"" + task_name + "\"").add();
                       log_event("task_failed", log_event::level::error)
                           .field("task", task_name)
                           .field("reason", reason);
                   });
}

} // namespace currantpitch::core
