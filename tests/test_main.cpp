#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>
#include <glog/logging.h>
#include <iostream>

int main(int argc, char** argv)
{
    // Threads and libraries retain memory beyond a test, which CppUTest would report as a leak.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = 3;
    google::InitGoogleLogging(argv[0]);
    const int failed = CommandLineTestRunner::RunAllTests(argc, argv);
    const int total = TestRegistry::getCurrentRegistry()->countTests();
    std::cout << total - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
