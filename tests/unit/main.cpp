/** @file main.cpp Runs all registered unit tests, or only the fixture or test that is named. */
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

auto main(int argc, char *argv[]) -> int
{
    CppUnit::TextUi::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    const std::string name = argc > 1 ? argv[1] : "";
    return runner.run(name) ? 0 : 1;
}
