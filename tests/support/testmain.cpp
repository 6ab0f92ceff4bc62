#include "core/eventlog.h"

#include "CppUTest/CommandLineTestRunner.h"
#include "CppUTest/TestRegistry.h"

int main(int argc, char** argv)
{
    // Coroutine frames and libraries keep memory beyond one test, which the leak check would count.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    currantpitch::core::silence_log();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
