#include "core/eventlog.h"

#include <cstdlib>

#include "CppUTest/CommandLineTestRunner.h"
#include "CppUTest/TestRegistry.h"

int main(int argc, char** argv)
{
    // A fixed seed makes test runs reproducible. Soak runs set RC_PARAMS to a seed of their own.
    setenv("RC_PARAMS", "seed=20261204 max_success=200", 0);
    // Coroutine frames and libraries keep memory after a test ends, which the leak detection would
    // report.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    if (std::getenv("TEST_LOG") == nullptr) {
        currantpitch::core::silence_log();
    }
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
