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

} // namespace currantpitch::core
