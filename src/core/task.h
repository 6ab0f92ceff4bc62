#pragma once

#include "core/error.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include <exception>
#include <string_view>

namespace currantpitch::core {

namespace asio = boost::asio;

/// A coroutine of the runtime. All tasks of a process run on one thread.
template <class T>
using task = asio::awaitable<T>;

/// Starts a detached task. An exception that escapes from it terminates the process.
template <class Executor>
void spawn(const Executor& executor, task<void> work)
{
    asio::co_spawn(executor, std::move(work), [](std::exception_ptr failure) {
        if (failure) {
            std::rethrow_exception(failure);
        }
    });
}

/// Starts a detached task that serves one connection or one message. An exception that escapes from
/// it ends only this task; it is logged and counted.
void spawn_contained(const asio::any_io_executor& executor, std::string_view name, task<void> work);

/// Starts a task and calls on_complete with its result. An exception that escapes from either
/// terminates the process.
template <class Executor, class T, class OnComplete>
void spawn_then(const Executor& executor, task<T> work, OnComplete on_complete)
{
    spawn(executor, [](task<T> inner, OnComplete callback) -> task<void> {
        callback(co_await std::move(inner));
    }(std::move(work), std::move(on_complete)));
}

} // namespace currantpitch::core
