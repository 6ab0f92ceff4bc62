#pragma once

#include "core/error.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include <exception>

namespace currantpitch::core {

namespace asio = boost::asio;

/// A coroutine of the runtime. All tasks of a process run on one thread.
template <class T>
using task = asio::awaitable<T>;

/// Starts a task that nobody waits for. An exception that escapes ends the process.
template <class Executor>
void spawn(const Executor& executor, task<void> work)
{
    asio::co_spawn(executor, std::move(work), [](std::exception_ptr failure) {
        if (failure) {
            std::rethrow_exception(failure);
        }
    });
}

/// Starts a task and calls then with its value. An exception that escapes ends the process.
template <class Executor, class T, class Then>
void spawn_then(const Executor& executor, task<T> work, Then then)
{
    spawn(executor, [](task<T> inner, Then next) -> task<void> {
        next(co_await std::move(inner));
    }(std::move(work), std::move(then)));
}

} // namespace currantpitch::core
